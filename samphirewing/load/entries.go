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

// ErrNoEntries means that no known address gave an entry list.
const ErrNoEntries = errors.ConstError("no entry answered; check the addresses and that the daemons run")

const (
	pathEntries       = "/v1/entries"
	entriesTimeout    = 3 * time.Second
	maxEntriesBytes   = 1 << 20
	minKeepEntries    = 100 * time.Millisecond
	avoidEntry        = 2 * time.Second
	callAnswerTimeout = 2 * time.Minute
)

// entryList is the answer of pathEntries.
type entryList struct {
	Entries   []entryLine `json:"entries"`
	KeepForMs int64       `json:"keep_for_ms"`
}

type entryLine struct {
	Address string `json:"address"`
	Weight  int    `json:"weight"`
}

// entry is one address of the system with its clients.
type entry struct {
	address string
	// streams serves answers that carry keep-alives, calls those that don't.
	streams *oneshot.Client
	calls   *oneshot.Client
}

// entries keeps the entry list and picks from it by weight. It is safe for
// concurrent use.
type entries struct {
	silence time.Duration

	mu sync.Mutex
	// seeds are the addresses that the caller named.
	seeds []string
	lines []entryLine
	// expires is when the list must be fetched again.
	expires  time.Time
	fetching bool
	// avoid holds, for entries that failed lately, until when they are
	// passed over.
	avoid map[string]time.Time
	// known holds every entry that was ever listed.
	known map[string]*entry
	rng   *rand.Rand
}

func newEntries(seeds []string, silence time.Duration, seed uint64) *entries {
	e := &entries{
		silence: silence,
		avoid:   make(map[string]time.Time),
		known:   make(map[string]*entry),
		rng:     rand.New(rand.NewPCG(seed, seed)),
	}
	for _, s := range seeds {
		e.seeds = append(e.seeds, strings.TrimSuffix(strings.TrimPrefix(s, "http://"), "/"))
	}
	return e
}

// pick returns an entry by weight. It fetches the list when there is none yet;
// one that expired stays in use while it is fetched again.
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
	return e.entryLocked(e.chooseLocked()), nil
}

// claimFetch tells whether there is no list, and whether the caller is the one
// to fetch it again.
func (e *entries) claimFetch() (empty, fetch bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fetch = !e.fetching && time.Now().After(e.expires)
	if fetch {
		e.fetching = true
	}
	return len(e.lines) == 0, fetch
}

// failed makes pick pass an entry over for a while and fetch the list again.
func (e *entries) failed(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.avoid[address] = time.Now().Add(avoidEntry)
	e.expires = time.Time{}
}

func (e *entries) chooseLocked() string {
	now := time.Now()
	usable := slices.DeleteFunc(slices.Clone(e.lines), func(l entryLine) bool { return e.avoid[l.Address].After(now) })
	if len(usable) == 0 {
		usable = e.lines
	}
	total := 0
	for _, l := range usable {
		total += max(l.Weight, 1)
	}
	at := e.rng.IntN(total)
	for _, l := range usable {
		at -= max(l.Weight, 1)
		if at < 0 {
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
	made := &entry{
		address: address,
		streams: oneshot.New(base, oneshot.Options{HeaderTimeout: e.silence, IdleTimeout: e.silence}),
		calls:   oneshot.New(base, oneshot.Options{HeaderTimeout: callAnswerTimeout, IdleTimeout: callAnswerTimeout}),
	}
	e.known[address] = made
	return made
}

// fetch asks listed entries and seeds in a random order until one answers with
// a list that isn't empty.
func (e *entries) fetch(ctx context.Context) error {
	var last error
	for _, a := range e.candidates() {
		list, err := e.fetchFrom(ctx, a)
		if err == nil {
			keep := max(time.Duration(list.KeepForMs)*time.Millisecond, minKeepEntries)
			e.fetched(list.Entries, keep)
			return nil
		}
		last = err
	}
	e.fetched(nil, minKeepEntries)
	return fault.New(ErrNoEntries, last)
}

// fetched ends a fetch. Without new lines the old ones stay.
func (e *entries) fetched(lines []entryLine, keep time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fetching = false
	e.expires = time.Now().Add(keep)
	if len(lines) > 0 {
		e.lines = lines
	}
}

func (e *entries) candidates() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	addresses := slices.Clone(e.seeds)
	for _, l := range e.lines {
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
