package memorybudget

import (
	"sync"
	"time"

	"github.com/juju/errors"
)

// Reasons to refuse a body. The request has not been sent to an endpoint.
const (
	ErrNoMemory    = errors.ConstError("the memory for requests is in use; retry later or send a smaller body")
	ErrTooMany     = errors.ConstError("too many bodies are being sent; retry later")
	ErrTooManyPeer = errors.ConstError("too many bodies are being sent from this address; retry later or use several addresses")
	ErrStalled     = errors.ConstError("the body paused while its memory was needed; send it without pauses")
)

// stalledAfter is how long a body or a queue makes no progress before it may give
// way to others. Ordinary callers on links of 10 Mbit/s with loss pause for less.
const stalledAfter = time.Second

// BodyOptions bounds the bodies in progress.
type BodyOptions struct {
	// Max and MaxPerPeer bound the bodies in progress, in total and by address.
	Max, MaxPerPeer int
	// MinRate is the transfer rate in bytes per second that a body must reach on
	// average after Grace.
	MinRate int64
	Grace   time.Duration
	// Timeout bounds the transfer of one body.
	Timeout time.Duration
}

// Bodies is the set of bodies that are being read. It is safe for concurrent use.
type Bodies struct {
	account *Account
	options BodyOptions

	mu     sync.Mutex
	all    map[*Body]struct{}
	byPeer map[string]int
	// leaving is the memory of bodies that have been told to give way and still hold
	// it.
	leaving int64
}

// Body is one body that is being read, and later the memory of the complete body.
type Body struct {
	set     *Bodies
	peer    string
	started time.Time
	giveWay func()

	// The fields below are guarded by set.mu.
	progressed time.Time
	received   int64
	ordinary   int64
	bulk       int64
	waiting    bool
	evicted    bool
	ended      bool
}

// NewBodies returns an empty set.
func NewBodies(a *Account, o BodyOptions) *Bodies {
	return &Bodies{account: a, options: o, all: map[*Body]struct{}{}, byPeer: map[string]int{}}
}

// Len returns the number of bodies in progress.
func (s *Bodies) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

// Begin adds a body. giveWay is called, possibly with locks held, when the body must
// end at once because others need its place; it must not block.
func (s *Bodies) Begin(now time.Time, peer string, giveWay func()) (*Body, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byPeer[peer] >= s.options.MaxPerPeer && !s.evictLocked(now, peer) {
		return nil, ErrTooManyPeer
	}
	if len(s.all) >= s.options.Max && !s.evictLocked(now, "") {
		return nil, ErrTooMany
	}
	b := &Body{set: s, peer: peer, started: now, progressed: now, giveWay: giveWay}
	s.all[b] = struct{}{}
	s.byPeer[peer]++
	return b, nil
}

// Evict ends up to count stalled bodies and returns their number.
func (s *Bodies) Evict(now time.Time, count int) (evicted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for evicted < count && s.evictLocked(now, "") {
		evicted++
	}
	return evicted
}

// evictLocked ends the stalled body that holds the most memory, of the given peer if
// it is not empty. Among those that hold the same, the one that has paused for
// longest gives way.
func (s *Bodies) evictLocked(now time.Time, peer string) bool {
	var victim *Body
	for b := range s.all {
		if b.waiting || now.Sub(b.progressed) < stalledAfter || peer != "" && b.peer != peer {
			continue
		}
		if victim == nil || b.held() > victim.held() || b.held() == victim.held() && b.progressed.Before(victim.progressed) {
			victim = b
		}
	}
	if victim == nil {
		return false
	}
	victim.evicted = true
	s.leaving += victim.held()
	s.removeLocked(victim)
	victim.giveWay()
	return true
}

func (s *Bodies) removeLocked(b *Body) {
	if _, present := s.all[b]; !present {
		return
	}
	delete(s.all, b)
	if s.byPeer[b.peer]--; s.byPeer[b.peer] == 0 {
		delete(s.byPeer, b.peer)
	}
}

func (b *Body) held() int64 { return b.ordinary + b.bulk }

// Reserve reserves memory for n more bytes. After ErrNoMemory the caller may try
// again when memory has been freed, at most until WaitLimit has passed.
func (b *Body) Reserve(now time.Time, n int64) error {
	s := b.set
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.evicted {
		return ErrStalled
	}
	ordinary := min(n, max(OrdinaryBytes-b.held(), 0))
	if !s.account.Reserve(Ordinary, ordinary) {
		return b.refuseLocked(now, n)
	}
	if !s.account.Reserve(Bulk, n-ordinary) {
		s.account.Release(Ordinary, ordinary)
		return b.refuseLocked(now, n)
	}
	b.ordinary += ordinary
	b.bulk += n - ordinary
	if b.waiting {
		// The wait was for others, not a pause of the sender.
		b.waiting, b.progressed = false, now
	}
	return nil
}

func (b *Body) refuseLocked(now time.Time, n int64) error {
	b.waiting = true
	if b.set.leaving < n {
		b.set.evictLocked(now, "")
	}
	return ErrNoMemory
}

// The bounds of the wait for memory. Bodies that are nearly complete wait for
// longer, so that some complete when all need memory at once.
const (
	minMemoryWait = 500 * time.Millisecond
	maxMemoryWait = 2 * time.Second
	longWaitBytes = 4 << 20
)

// WaitLimit returns how long the body may wait for memory.
func (b *Body) WaitLimit() time.Duration {
	b.set.mu.Lock()
	defer b.set.mu.Unlock()
	share := min(float64(b.received)/longWaitBytes, 1)
	return minMemoryWait + time.Duration(share*float64(maxMemoryWait-minMemoryWait))
}

// Received records that n bytes have arrived. It returns ErrStalled if the body has
// given way.
func (b *Body) Received(now time.Time, n int64) error {
	b.set.mu.Lock()
	defer b.set.mu.Unlock()
	if b.evicted {
		return ErrStalled
	}
	b.received += n
	b.progressed = now
	return nil
}

// Evicted reports whether the body has given way.
func (b *Body) Evicted() bool {
	b.set.mu.Lock()
	defer b.set.mu.Unlock()
	return b.evicted
}

// Deadline returns until when the next byte must arrive.
func (b *Body) Deadline() time.Time {
	b.set.mu.Lock()
	defer b.set.mu.Unlock()
	o := b.set.options
	allowed := o.Timeout
	if o.MinRate > 0 {
		allowed = min(allowed, o.Grace+time.Duration(float64(b.received)/float64(o.MinRate)*float64(time.Second)))
	}
	return b.started.Add(allowed)
}

// Complete marks the body as read. Its memory stays reserved.
func (b *Body) Complete() {
	b.set.mu.Lock()
	defer b.set.mu.Unlock()
	b.set.removeLocked(b)
}

// Shrink returns n bytes of the reservation.
func (b *Body) Shrink(n int64) {
	b.set.mu.Lock()
	defer b.set.mu.Unlock()
	bulk := min(n, b.bulk)
	ordinary := min(n-bulk, b.ordinary)
	b.bulk -= bulk
	b.ordinary -= ordinary
	if b.evicted {
		b.set.leaving -= bulk + ordinary
	}
	b.set.account.Release(Bulk, bulk)
	b.set.account.Release(Ordinary, ordinary)
}

// Release ends the body and returns all of its memory. Further calls do nothing.
func (b *Body) Release() {
	b.set.mu.Lock()
	defer b.set.mu.Unlock()
	if b.ended {
		return
	}
	b.ended = true
	b.set.removeLocked(b)
	if b.evicted {
		b.set.leaving -= b.held()
	}
	b.set.account.Release(Bulk, b.bulk)
	b.set.account.Release(Ordinary, b.ordinary)
	b.bulk, b.ordinary = 0, 0
}
