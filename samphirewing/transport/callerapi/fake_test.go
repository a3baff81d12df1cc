package callerapi

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// fakeBackend knows one organisation per token and keeps what was submitted.
type fakeBackend struct {
	mu        sync.Mutex
	submitted []Submission
	answers   map[structs.RequestID]*fakeAnswer
	// reply makes the answer of the next submission.
	reply func(Submission) (*fakeAnswer, error)
}

func newFakeBackend(reply func(Submission) (*fakeAnswer, error)) *fakeBackend {
	return &fakeBackend{answers: make(map[structs.RequestID]*fakeAnswer), reply: reply}
}

func (b *fakeBackend) Entries(context.Context) EntryList {
	return EntryList{
		Entries: []Entry{{Instance: "d1", Address: "127.0.0.1:1", FailureDomain: "a", Weight: 2}},
		MaxAge:  30 * time.Second,
	}
}

func (b *fakeBackend) Authenticate(token string) (structs.OrganisationName, bool) {
	if token != "demo-taller" && token != "demo-paz" {
		return "", false
	}
	return structs.OrganisationName(token[len("demo-"):]), true
}

func (b *fakeBackend) Models(structs.OrganisationName) []structs.Target {
	return []structs.Target{"engraver-large"}
}

func (b *fakeBackend) Submit(_ context.Context, s Submission) (Answer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, err := b.reply(s)
	if err != nil {
		return nil, err
	}
	b.submitted = append(b.submitted, s)
	b.answers[a.id] = a
	a.organisation = s.Organisation
	return a, nil
}

func (b *fakeBackend) Lookup(o structs.OrganisationName, id structs.RequestID) (Answer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.answers[id]
	if !ok || a.organisation != o {
		return nil, false
	}
	return a, true
}

func (b *fakeBackend) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.submitted)
}

// fakeAnswer grows by push and ends by end.
type fakeAnswer struct {
	id           structs.RequestID
	organisation structs.OrganisationName
	attached     atomic.Int64

	mu      sync.Mutex
	changed chan struct{}
	chunks  []Chunk
	ended   bool
	result  Result
}

func newFakeAnswer(id structs.RequestID) *fakeAnswer {
	return &fakeAnswer{id: id, changed: make(chan struct{})}
}

func (a *fakeAnswer) update(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *fakeAnswer) push(texts ...string) *fakeAnswer {
	a.update(func() {
		for _, t := range texts {
			a.chunks = append(a.chunks, Chunk{Sequence: uint64(len(a.chunks) + 1), Text: t, Tokens: 1})
		}
	})
	return a
}

func (a *fakeAnswer) end(r Result) *fakeAnswer {
	a.update(func() { a.ended, a.result = true, r })
	return a
}

func (a *fakeAnswer) ID() structs.RequestID { return a.id }

func (a *fakeAnswer) State() RequestState {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return StateEnded
	}
	return StateRunning
}

func (a *fakeAnswer) Next(ctx context.Context, after uint64) ([]Chunk, bool, error) {
	for {
		a.mu.Lock()
		chunks, ended, changed := a.chunks, a.ended, a.changed
		a.mu.Unlock()
		if after > uint64(len(chunks)) {
			after = uint64(len(chunks))
		}
		if ended || uint64(len(chunks)) > after {
			return chunks[after:], ended, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

func (a *fakeAnswer) Result() Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.result
}

func (a *fakeAnswer) Attach() { a.attached.Add(1) }
func (a *fakeAnswer) Detach() { a.attached.Add(-1) }

func done() Result {
	return Result{Outcome: structs.OutcomeDone, FinishReason: "stop", PromptTokens: 5, CachedTokens: 2, OutputTokens: 3}
}
