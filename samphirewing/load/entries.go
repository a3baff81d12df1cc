package load

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/protocol/fault"
	"github.com/samphirewing/samphirewing/transport/oneshot"
)

// ErrNoEntries means that no known address returned an entry list.
const ErrNoEntries = errors.ConstError("no entry answered; check the addresses and that the daemons run")

const (
	pathEntries        = "/v1/entries"
	entriesTimeout     = 3 * time.Second
	maxEntriesBytes    = 1 << 20
	minEntryListTTL    = 100 * time.Millisecond
	failedEntryBackoff = 2 * time.Second
	callAnswerTimeout  = 2 * time.Minute
)

// entryList is the response body of pathEntries.
type entryList struct {
	Entries   []listedEntry `json:"entries"`
	KeepForMs int64         `json:"keep_for_ms"`
}

type listedEntry struct {
	Address string `json:"address"`
	Weight  int    `json:"weight"`
}

// entry is one entry address of the system and the clients for it.
type entry struct {
	address string
	// streams is for answers with keep-alives, calls for those without.
	streams *oneshot.Client
	calls   *oneshot.Client
}

// entries caches the entry list and picks from it at random by weight. It is
// safe for concurrent use.
type entries struct {
	idleTimeout time.Duration

	mu sync.Mutex
	// seeds are the addresses given in Options.Entries.
	seeds  []string
	listed []listedEntry
	// expires is the time from which the list is fetched again.
	expires  time.Time
	fetching bool
	// avoidUntil maps the addresses of failed entries to the time until which
	// pick avoids them.
	avoidUntil map[string]time.Time
	// known holds every entry that has been used, by address.
	known map[string]*entry
	rng   *rand.Rand
}

func newEntries(seeds []string, silence time.Duration, seed uint64) *entries {
	e := &entries{
		idleTimeout: silence,
		avoidUntil:  make(map[string]time.Time),
		known:       make(map[string]*entry),
		rng:         rand.New(rand.NewPCG(seed, seed)),
	}
	for _, s := range seeds {
		e.seeds = append(e.seeds, strings.TrimSuffix(strings.TrimPrefix(s, "http://"), "/"))
	}
	return e
}

// pick returns a random entry by weight. It fetches the list first when there
// is none; an expired list stays in use while it is fetched again.
func (e *entries) pick(ctx context.Context) (*entry, error) {
	empty, fetch := e.claimFetch()
	switch {
	case empty:
		if err := e.fetch(ctx); err != nil {
			return nil, err
		}
	case fetch:
		go func() { _ = e.fetch(context.WithoutCancel(ctx)) }()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.entryLocked(e.pickAddressLocked()), nil
}

// claimFetch reports whether there is no list, and whether the caller must fetch
// the list again.
func (e *entries) claimFetch() (empty, fetch bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fetch = !e.fetching && time.Now().After(e.expires)
	if fetch {
		e.fetching = true
	}
	return len(e.listed) == 0, fetch
}

// markFailed makes pick avoid an entry for failedEntryBackoff and fetch the list
// again.
func (e *entries) markFailed(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.avoidUntil[address] = time.Now().Add(failedEntryBackoff)
	e.expires = time.Time{}
}

func (e *entries) pickAddressLocked() string {
	now := time.Now()
	usable := slices.DeleteFunc(slices.Clone(e.listed), func(l listedEntry) bool { return e.avoidUntil[l.Address].After(now) })
	if len(usable) == 0 {
		usable = e.listed
	}
	total := 0
	for _, l := range usable {
		total += max(l.Weight, 1)
	}
	draw := e.rng.IntN(total)
	for _, l := range usable {
		draw -= max(l.Weight, 1)
		if draw < 0 {
			return l.Address
		}
	}
	return usable[len(usable)-1].Address
}

func (e *entries) entryLocked(address string) *entry {
	if known, ok := e.known[address]; ok {
		return known
	}
	base := "http://" + address
	created := &entry{
		address: address,
		streams: oneshot.New(base, oneshot.Options{HeaderTimeout: e.idleTimeout, IdleTimeout: e.idleTimeout}),
		calls:   oneshot.New(base, oneshot.Options{HeaderTimeout: callAnswerTimeout, IdleTimeout: callAnswerTimeout}),
	}
	e.known[address] = created
	return created
}

// fetch asks listed entries and seeds in random order until one returns a
// list that isn't empty.
func (e *entries) fetch(ctx context.Context) error {
	var last error
	for _, a := range e.candidates() {
		list, err := e.fetchFrom(ctx, a)
		if err == nil {
			keep := max(time.Duration(list.KeepForMs)*time.Millisecond, minEntryListTTL)
			e.finishFetch(list.Entries, keep)
			return nil
		}
		last = err
	}
	e.finishFetch(nil, minEntryListTTL)
	return fault.New(ErrNoEntries, last)
}

// finishFetch ends a fetch. When it yielded no entries, the previous list stays.
func (e *entries) finishFetch(lines []listedEntry, keep time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fetching = false
	e.expires = time.Now().Add(keep)
	if len(lines) > 0 {
		e.listed = lines
	}
}

func (e *entries) candidates() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	addresses := slices.Clone(e.seeds)
	for _, l := range e.listed {
		addresses = append(addresses, l.Address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	e.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

func (e *entries) entry(address string) *entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.entryLocked(address)
}

func (e *entries) fetchFrom(ctx context.Context, address string) (entryList, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	response, err := e.entry(address).streams.Send(ctx, oneshot.Request{Method: http.MethodGet, Path: pathEntries})
	if err != nil {
		return entryList{}, err
	}
	data, err := response.ReadAll(maxEntriesBytes)
	if err != nil {
		return entryList{}, err
	}
	if response.Status != http.StatusOK {
		return entryList{}, errors.Errorf("%s answered with status %d", address, response.Status)
	}
	var list entryList
	if err := json.Unmarshal(data, &list); err != nil {
		return entryList{}, errors.Annotate(err, address)
	}
	if len(list.Entries) == 0 {
		return entryList{}, errors.Errorf("%s lists no entries", address)
	}
	return list, nil
}
