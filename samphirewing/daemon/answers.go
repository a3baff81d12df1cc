package daemon

import (
	"container/list"
	"sync"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// answers keeps the answers of held requests and, for a bounded time and
// size, of ended ones, so that a caller can come back for them.
type answers struct {
	keepEnded  time.Duration
	keepBytes  int
	mu         sync.Mutex
	byID       map[structs.RequestID]*answer
	ended      *list.List // of endedAnswer, oldest first
	endedBytes int
}

type endedAnswer struct {
	answer *answer
	bytes  int
}

func newAnswers(keepEnded time.Duration, keepBytes int) *answers {
	return &answers{
		keepEnded: keepEnded,
		keepBytes: keepBytes,
		byID:      make(map[structs.RequestID]*answer),
		ended:     list.New(),
	}
}

func (s *answers) put(a *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[a.id] = a
}

func (s *answers) get(id structs.RequestID) (*answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.byID[id]
	return a, ok
}

// retire moves an ended answer to the bounded part.
func (s *answers) retire(a *answer) {
	bytes := a.size()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended.PushBack(endedAnswer{answer: a, bytes: bytes})
	s.endedBytes += bytes
	for s.endedBytes > s.keepBytes {
		s.dropOldest()
	}
}

// expire drops answers that ended longer ago than they are kept.
func (s *answers) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.ended.Len() > 0 {
		oldest := s.ended.Front().Value.(endedAnswer)
		if now.Sub(oldest.answer.endedAt) < s.keepEnded {
			return
		}
		s.dropOldest()
	}
}

// bytes returns the size of the ended answers that are kept.
func (s *answers) bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endedBytes
}

func (s *answers) dropOldest() {
	front := s.ended.Front()
	e := front.Value.(endedAnswer)
	s.ended.Remove(front)
	s.endedBytes -= e.bytes
	delete(s.byID, e.answer.id)
}
