// Package endpointlimit divides the rate limits that endpoints name among the
// daemons.
//
// An endpoint in need names in its answers how many requests per second it takes
// from all daemons together. Daemons exchange what they last read: the newest
// answer of any daemon decides, whether it names a limit or none.
//
// A limit is used by few daemons, chosen by rendezvous hash, each with an equal
// share that is not below one request per second if the limit allows it. Shares of
// a fraction of a request would be saved up by many daemons and spent at once.
// Two daemons that disagree about who is chosen exceed the limit for a moment
// only, as long as it takes them to learn of each other.
//
// A Table is a state machine: observations and the current time are its input.
package endpointlimit

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/coordkit/coordination/ownership"
	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/gossip"
)

// Unlimited is the limit of an endpoint that names none.
var Unlimited = math.Inf(1)

const (
	// minLimit is the lowest limit in force. An endpoint that gets no requests
	// could not lift its limit.
	minLimit = 0.1
	// maxLimit is the limit, in requests per second, from which it is ignored.
	maxLimit = 1e6
	// minShare is the share, in requests per second, below which a limit is divided
	// among fewer daemons.
	minShare = 1
	// limitRetention is how long a limit is remembered without an answer, and
	// liftedRetention how long it is remembered that an endpoint names none.
	limitRetention  = time.Minute
	liftedRetention = 10 * time.Second
	// maxEndpoints bounds the endpoints remembered.
	maxEndpoints = 4096
)

// Key identifies a start of an endpoint.
type Key uint64

// KeyOf returns the key of an endpoint that started at the given time.
func KeyOf(name string, startedUnixMs int64) Key {
	digest := xxhash.New()
	// Writes to a digest never fail.
	_, _ = digest.WriteString(name)
	for range 8 {
		_, _ = digest.Write([]byte{byte(startedUnixMs)})
		startedUnixMs >>= 8
	}
	return Key(digest.Sum64())
}

// Table holds the limits of endpoints. It is not safe for concurrent use.
type Table struct {
	rows    map[Key]*row
	refresh gossip.Refresh
	// assumed is the number of daemons while the members are unknown; members are
	// all daemons, sorted by name.
	assumed int
	self    instance.ID
	members []ownership.Candidate
}

type row struct {
	perSecond  float64
	observedAt time.Time
	pending    gossip.Pending
}

// New returns an empty table. Limits are divided among the assumed number of
// daemons until SetMembers is called.
func New(assumed int) *Table { return &Table{assumed: max(assumed, 1), rows: map[Key]*row{}} }

// SetMembers replaces the other daemons. It returns true if the shares may have
// changed.
func (t *Table) SetMembers(self instance.ID, others []instance.ID) bool {
	members := make([]ownership.Candidate, 0, len(others)+1)
	for _, id := range append(slices.Clone(others), self) {
		members = append(members, ownership.Candidate{ID: id})
	}
	slices.SortFunc(members, func(a, b ownership.Candidate) int { return cmp.Compare(a.ID, b.ID) })
	if t.self == self && slices.Equal(t.members, members) {
		return false
	}
	t.self, t.members = self, members
	return true
}

// Len returns the number of endpoints remembered.
func (t *Table) Len() int { return len(t.rows) }

// Observe records the limit that an endpoint named in an answer, or Unlimited. It
// returns true if the limit has changed.
func (t *Table) Observe(now time.Time, key Key, perSecond float64) (changed bool) {
	if perSecond >= maxLimit {
		perSecond = Unlimited
	} else {
		perSecond = max(perSecond, minLimit)
	}
	r := t.rows[key]
	if r == nil {
		if perSecond == Unlimited || len(t.rows) >= maxEndpoints {
			return false
		}
		r = &row{perSecond: Unlimited}
		t.rows[key] = r
	}
	if now.Before(r.observedAt) {
		return false
	}
	changed = r.perSecond != perSecond
	if changed {
		r.pending.Renew()
	}
	r.perSecond, r.observedAt = perSecond, now
	return changed
}

// Limit returns the limit of an endpoint, or Unlimited.
func (t *Table) Limit(key Key) float64 {
	if r := t.rows[key]; r != nil {
		return r.perSecond
	}
	return Unlimited
}

// Share returns the requests per second that this daemon may send to an endpoint,
// or Unlimited.
func (t *Table) Share(key Key) float64 {
	limit := t.Limit(key)
	if limit == Unlimited {
		return limit
	}
	if t.members == nil {
		return limit / float64(t.assumed)
	}
	users := min(max(int(limit/minShare), 1), len(t.members))
	if !slices.Contains(ownership.Ranked(strconv.FormatUint(uint64(key), 16), t.members, users), t.self) {
		return 0
	}
	return limit / float64(users)
}

// Expire forgets limits without a recent answer. It returns true if a limit has
// ended.
func (t *Table) Expire(now time.Time) (ended bool) {
	for key, r := range t.rows {
		retention := limitRetention
		if r.perSecond == Unlimited {
			retention = liftedRetention
		}
		if now.Sub(r.observedAt) > retention {
			ended = ended || r.perSecond != Unlimited
			delete(t.rows, key)
		}
	}
	return ended
}
