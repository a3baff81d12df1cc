package load_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/standin/directory"
	"github.com/samphirewing/samphirewing/standin/engine"
	"github.com/samphirewing/samphirewing/standin/netfault"
	"github.com/samphirewing/samphirewing/standin/service"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/callerapi"
	"github.com/samphirewing/samphirewing/transport/edge"
	"github.com/samphirewing/samphirewing/transport/engineclient"
	"github.com/samphirewing/samphirewing/transport/serviceclient"
)

const (
	testModel   = "mender-small"
	testService = "parts-booking"
)

// testSystem is one entry in front of one engine and one service, without
// scheduling.
type testSystem struct {
	engine  *engine.Server
	service *service.Server
	engines edge.Engine
	calls   edge.Service
	entry   *netfault.Server
	faults  *faultyEntry
	standIn string
	refusal atomic.Pointer[structs.Refusal]
	// mangle changes the chunks of answers; nil leaves them unchanged.
	mangle func(sequence uint64, text string) string
	// dispatches is the number of times that each model request is dispatched.
	dispatches uint64
	// forgetRequests makes Lookup find no request.
	forgetRequests bool
	number         atomic.Int64

	mu      sync.Mutex
	answers map[structs.RequestID]*testAnswer
}

func startSystem(t testing.TB, o engine.Options) *testSystem {
	t.Helper()
	s := &testSystem{dispatches: 1, answers: make(map[structs.RequestID]*testAnswer)}
	o.Models = []string{testModel}
	o.PrefillRate = -1
	var err error
	s.engine, err = engine.Start(o)
	assert.NilError(t, err)
	s.service, err = service.Start(service.Options{})
	assert.NilError(t, err)
	s.engines = engineclient.New("e", s.engine.URL(), engineclient.Options{})
	s.calls = serviceclient.New("s", s.service.URL(), serviceclient.Options{})
	s.faults = &faultyEntry{next: callerapi.New(s, callerapi.Options{KeepAlive: 100 * time.Millisecond})}
	s.entry, err = netfault.Start("", s.faults)
	assert.NilError(t, err)
	s.faults.silence = s.entry.SilenceOpen
	standIns, err := directory.Start("", []directory.Entry{
		{Name: "e", Kind: directory.KindEngine, URL: s.engine.URL(), Handler: s.engine.Debug()},
		{Name: "s", Kind: directory.KindService, URL: s.service.URL(), Handler: s.service.Debug()},
	})
	assert.NilError(t, err)
	s.standIn = standIns.URL()
	t.Cleanup(func() {
		s.engine.Close()
		s.service.Close()
		s.entry.Close()
		standIns.Close()
	})
	return s
}

func (s *testSystem) address() string { return s.entry.Address() }

// Entries lists the entry and an address where nothing listens.
func (s *testSystem) Entries(context.Context) callerapi.EntryList {
	return callerapi.EntryList{
		Entries: []callerapi.Entry{
			{Instance: "a", Address: s.address(), Weight: 10},
			{Instance: "b", Address: unusedAddress(), Weight: 1},
		},
		MaxAge: 50 * time.Millisecond,
	}
}

// unusedAddress returns an address where connections are refused. Its port
// stays bound, so that no other server gets it.
var unusedAddress = sync.OnceValue(func() string {
	server, err := netfault.Start("", nil)
	if err == nil {
		err = server.SetRefuse(true)
	}
	if err != nil {
		panic(err)
	}
	return server.Address()
})

func (s *testSystem) Models(structs.OrganisationName) []structs.Target { return nil }

func (s *testSystem) Authenticate(token string) (structs.OrganisationName, bool) {
	name, ok := strings.CutPrefix(token, "demo-")
	return structs.OrganisationName(name), ok
}

func (s *testSystem) Submit(_ context.Context, submission callerapi.Submission) (callerapi.Answer, error) {
	if r := s.refusal.Load(); r != nil {
		return nil, *r
	}
	id := structs.RequestID("r" + strconv.FormatInt(s.number.Add(1), 10))
	a := &testAnswer{id: id, changed: make(chan struct{})}
	s.mu.Lock()
	s.answers[id] = a
	s.mu.Unlock()
	if submission.Kind == structs.WorkService {
		go s.callService(a, submission)
	} else {
		go s.generate(a, submission)
	}
	return a, nil
}

func (s *testSystem) Lookup(_ structs.OrganisationName, id structs.RequestID) (callerapi.Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.answers[id]
	return a, ok && !s.forgetRequests
}

func (s *testSystem) generate(a *testAnswer, submission callerapi.Submission) {
	var stream edge.FrameStream
	for attempt := range s.dispatches {
		var err error
		stream, err = s.engines.Generate(context.Background(), edge.Generation{
			Attempt:   edge.Attempt{Request: a.id, Number: attempt + 1},
			Model:     string(submission.Target),
			Prompt:    submission.Prompt,
			MaxTokens: submission.MaxTokens,
			Seed:      submission.Seed,
		})
		if err != nil {
			a.end(callerapi.Result{Outcome: structs.OutcomeNotRun, Reason: structs.ReasonConnectFailed})
			return
		}
		defer stream.Close()
	}
	for {
		f, err := stream.Next()
		if err != nil {
			a.end(callerapi.Result{Outcome: structs.OutcomeUnknown, Reason: structs.ReasonStreamBroken})
			return
		}
		if s.mangle != nil {
			f.Text = s.mangle(f.Sequence, f.Text)
		}
		a.add(callerapi.Chunk{Sequence: f.Sequence, Text: f.Text})
		if f.Last {
			a.end(callerapi.Result{Outcome: structs.OutcomeDone, FinishReason: f.FinishReason})
			return
		}
	}
}

func (s *testSystem) callService(a *testAnswer, submission callerapi.Submission) {
	answer, err := s.calls.Call(context.Background(), edge.ServiceCall{
		Service: string(submission.Target),
		Key:     edge.ScopedKey(submission.Organisation, submission.CallerKey),
		Body:    submission.Body,
	})
	if err != nil {
		a.end(callerapi.Result{Outcome: structs.OutcomeUnknown, Reason: structs.ReasonAnswerLost})
		return
	}
	a.end(callerapi.Result{Outcome: structs.OutcomeDone, ServiceStatus: answer.Status, ServiceBody: answer.Body})
}

// testAnswer is an answer that grows chunk by chunk.
type testAnswer struct {
	id structs.RequestID

	mu      sync.Mutex
	chunks  []callerapi.Chunk
	ended   bool
	result  callerapi.Result
	changed chan struct{}
}

func (a *testAnswer) add(c callerapi.Chunk) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.chunks = append(a.chunks, c)
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *testAnswer) end(r callerapi.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.result = r
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *testAnswer) ID() structs.RequestID { return a.id }

func (a *testAnswer) State() callerapi.RequestState {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return callerapi.StateEnded
	}
	return callerapi.StateRunning
}

func (a *testAnswer) Next(ctx context.Context, after uint64) ([]callerapi.Chunk, bool, error) {
	for {
		a.mu.Lock()
		chunks, ended, changed := a.chunks[after:], a.ended, a.changed
		a.mu.Unlock()
		if len(chunks) > 0 || ended {
			return chunks, ended, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

func (a *testAnswer) Result() callerapi.Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.result
}

func (a *testAnswer) Attach() {}
func (a *testAnswer) Detach() {}
