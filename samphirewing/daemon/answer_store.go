package daemon

import (
	"container/list"
	"sync"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// answerStore holds the answers of requests in progress and, within limits of
// time and size, of finished ones, so that callers can reconnect and read them.
type answerStore struct {
	retention        time.Duration
	maxFinishedBytes int
	mu               sync.Mutex
	byID             map[structs.RequestID]*answer
	finished         *list.List // of finishedAnswer, oldest first
	finishedBytes    int
}

type finishedAnswer struct {
	answer *answer
	bytes  int
}

func newAnswerStore(retention time.Duration, maxFinishedBytes int) *answerStore {
	return &answerStore{
		retention:        retention,
		maxFinishedBytes: maxFinishedBytes,
		byID:             make(map[structs.RequestID]*answer),
		finished:         list.New(),
	}
}

func (s *answerStore) put(a *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[a.id] = a
}

func (s *answerStore) get(id structs.RequestID) (*answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.byID[id]
	return a, ok
}

// retire moves a finished answer to the bounded part of the store and evicts the
// oldest ones above its size limit.
func (s *answerStore) retire(a *answer) {
	bytes := a.size()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished.PushBack(finishedAnswer{answer: a, bytes: bytes})
	s.finishedBytes += bytes
	for s.finishedBytes > s.maxFinishedBytes {
		s.evictOldest()
	}
}

// evictExpired removes answers that finished longer ago than the retention period.
func (s *answerStore) evictExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.finished.Len() > 0 {
		oldest := s.finished.Front().Value.(finishedAnswer)
		if now.Sub(oldest.answer.finishedAt) < s.retention {
			return
		}
		s.evictOldest()
	}
}

// retainedBytes returns the total size of the retained finished answers.
func (s *answerStore) retainedBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finishedBytes
}

func (s *answerStore) evictOldest() {
	front := s.finished.Front()
	e := front.Value.(finishedAnswer)
	s.finished.Remove(front)
	s.finishedBytes -= e.bytes
	delete(s.byID, e.answer.id)
}
