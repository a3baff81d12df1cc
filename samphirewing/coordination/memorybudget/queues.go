package memorybudget

import (
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrUnread means that a caller does not take its response and that the memory for
// it is needed, so its connection must be closed.
const ErrUnread = errors.ConstError("the response is not read; read it without pauses")

// ErrQueueFull means that the queue can't grow at present.
const ErrQueueFull = errors.ConstError("the memory for unread responses is in use")

// maxQueueShare is the share of the account that one response may fill, so that a
// few slow readers do not displace all others. It is a third of what all responses
// may use.
const maxQueueShare = 0.1

// Queues is the set of responses that callers have not taken completely. It is safe
// for concurrent use.
type Queues struct {
	account *Account

	mu  sync.Mutex
	all map[*Queue]struct{}
	// leaving is the memory of queues that have been told to give way and still hold
	// it.
	leaving int64
}

// Queue is the part of one response that its caller has not taken.
type Queue struct {
	set     *Queues
	giveWay func()

	// The fields below are guarded by set.mu.
	held       int64
	progressed time.Time
	evicted    bool
}

// NewQueues returns an empty set.
func NewQueues(a *Account) *Queues { return &Queues{account: a, all: map[*Queue]struct{}{}} }

// Open adds a queue. giveWay is called, possibly with locks held, when the connection
// must be closed because others need the memory; it must not block.
func (s *Queues) Open(now time.Time, giveWay func()) *Queue {
	q := &Queue{set: s, giveWay: giveWay, progressed: now}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[q] = struct{}{}
	return q
}

// Add reserves memory for n bytes of the response. An empty queue may always hold one
// piece, so that a caller that reads is never kept waiting by those that don't. After
// ErrQueueFull the owner may try again when the caller has taken a part.
func (q *Queue) Add(now time.Time, n int64) error {
	s := q.set
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case q.evicted:
		return ErrUnread
	case q.held == 0:
		s.account.Count(Response, n)
		q.progressed = now
	case q.held+n > int64(maxQueueShare*float64(s.account.Size())):
		return ErrQueueFull
	case !s.account.Reserve(Response, n):
		if s.leaving < n {
			s.evictLocked(now)
		}
		if q.evicted {
			return ErrUnread
		}
		return ErrQueueFull
	}
	q.held += n
	return nil
}

// Evict ends a queue of which nothing was taken for a time.
func (s *Queues) Evict(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictLocked(now)
}

// evictLocked ends the queue that holds the most memory of those of which nothing was
// taken for a time.
func (s *Queues) evictLocked(now time.Time) {
	var victim *Queue
	for q := range s.all {
		if !q.evicted && now.Sub(q.progressed) >= stalledAfter && (victim == nil || q.held > victim.held) {
			victim = q
		}
	}
	if victim == nil || victim.held == 0 {
		return
	}
	victim.evicted = true
	s.leaving += victim.held
	victim.giveWay()
}

// Taken records that the caller has taken n bytes.
func (q *Queue) Taken(now time.Time, n int64) {
	q.set.mu.Lock()
	defer q.set.mu.Unlock()
	q.releaseLocked(n)
	q.progressed = now
}

func (q *Queue) releaseLocked(n int64) {
	q.held -= n
	if q.evicted {
		q.set.leaving -= n
	}
	q.set.account.Release(Response, n)
}

// Unread returns for how long the caller has taken nothing although there is
// something to take.
func (q *Queue) Unread(now time.Time) time.Duration {
	q.set.mu.Lock()
	defer q.set.mu.Unlock()
	if q.held == 0 {
		return 0
	}
	return now.Sub(q.progressed)
}

// Evicted reports whether the queue has given way.
func (q *Queue) Evicted() bool {
	q.set.mu.Lock()
	defer q.set.mu.Unlock()
	return q.evicted
}

// Close ends the queue and returns its memory.
func (q *Queue) Close() {
	q.set.mu.Lock()
	defer q.set.mu.Unlock()
	q.releaseLocked(q.held)
	delete(q.set.all, q)
}
