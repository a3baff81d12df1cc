package engineclient_test

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/samphirewing/standin/engine"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/edge"
	"github.com/samphirewing/samphirewing/transport/engineclient"
)

const (
	testModel   = "mender-small"
	testTimeout = 20 * time.Second
)

var testAttempt = edge.Attempt{Request: "r1", Number: 7}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// startEngine starts an engine whose work takes no time, unless the options
// say otherwise.
func startEngine(t *testing.T, o engine.Options) *engine.Server {
	t.Helper()
	if o.DecodeRate == 0 {
		o.DecodeRate = -1
	}
	if o.PrefillRate == 0 {
		o.PrefillRate = -1
	}
	o.Models = []string{testModel}
	server, err := engine.Start(o)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server
}

func newClient(t *testing.T, url string) *engineclient.Client {
	t.Helper()
	client, _ := newRecordedClient(t, url)
	return client
}

// recorder keeps the numbers of the events.
type recorder struct {
	mu      sync.Mutex
	numbers []int
}

func (r *recorder) Emit(e events.Event, _ ...events.Field) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.numbers = append(r.numbers, e.Number)
}

func (r *recorder) seen() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.numbers)
}

func newRecordedClient(t *testing.T, url string) (*engineclient.Client, *recorder) {
	t.Helper()
	sink := &recorder{}
	client := engineclient.New("e1", url, engineclient.Options{IdleTimeout: 300 * time.Millisecond, Events: sink})
	t.Cleanup(client.Close)
	return client, sink
}

func generation(prompt string) edge.Generation {
	return edge.Generation{Attempt: testAttempt, Model: testModel, Prompt: prompt, MaxTokens: 400, Seed: 3}
}

// collect reads a stream to its end.
func collect(s edge.FrameStream) (text string, last edge.Frame, err error) {
	defer s.Close()
	for {
		f, err := s.Next()
		if err != nil {
			return text, last, err
		}
		text += f.Text
		last = f
	}
}

func longPrompt() string {
	prompt := "The crest shows two herons over a river, the motto runs below. "
	for len(prompt) < 1200 {
		prompt += prompt
	}
	return prompt
}

func TestGenerateReturnsTheWholeAnswer(t *testing.T) {
	server := startEngine(t, engine.Options{})
	stream, err := newClient(t, server.URL()).Generate(testContext(t), generation(longPrompt()))
	assert.NilError(t, err)
	text, last, err := collect(stream)
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, text, engine.Answer(testModel, longPrompt(), 400, 3))
	assert.Assert(t, last.Last)
	assert.Assert(t, last.OutputTokens > 0 && last.PromptTokens > 0)
	assert.DeepEqual(t, server.Dispatches(), []engine.DispatchCount{{Request: "r1", Arrived: 1, Ran: 1}})
}

func TestBrokenAnswerIsResumedWithoutGap(t *testing.T) {
	server := startEngine(t, engine.Options{})
	assert.NilError(t, server.SetFaults(engine.Faults{CutAfterFrames: 2}))
	client := newClient(t, server.URL())
	stream, err := client.Generate(testContext(t), generation(longPrompt()))
	assert.NilError(t, err)
	head, last, err := collect(stream)
	assert.Assert(t, errors.Is(err, edge.ErrIndeterminate), "%v", err)
	assert.Equal(t, last.Sequence, uint64(2))
	stream, err = client.Resume(testContext(t), testAttempt, last.Sequence)
	assert.NilError(t, err)
	tail, _, err := collect(stream)
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, head+tail, engine.Answer(testModel, longPrompt(), 400, 3))
	assert.DeepEqual(t, server.Dispatches(), []engine.DispatchCount{{Request: "r1", Arrived: 1, Ran: 1}})
}

func TestFaultyStreamsEndWithTheirErrors(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults engine.Faults
		want   error
		frames uint64
		events []int
	}{
		{"frame of another attempt", engine.Faults{WrongAttemptFrame: 2}, edge.ErrFrameMismatch, 1, []int{600}},
		{"skipped frame", engine.Faults{SkipFrame: 2}, edge.ErrFrameMismatch, 1, []int{600}},
		{"failure", engine.Faults{FailAfterFrames: 1}, edge.ErrFailed, 1, nil},
		{"silence", engine.Faults{Hang: true}, edge.ErrIndeterminate, 0, []int{601}},
		{"cut", engine.Faults{CutAfterFrames: 1}, edge.ErrIndeterminate, 1, []int{602}},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := startEngine(t, engine.Options{})
			assert.NilError(t, server.SetFaults(c.faults))
			client, sink := newRecordedClient(t, server.URL())
			stream, err := client.Generate(testContext(t), generation(longPrompt()))
			assert.NilError(t, err)
			_, last, err := collect(stream)
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
			assert.Equal(t, last.Sequence, c.frames)
			assert.DeepEqual(t, sink.seen(), c.events)
		})
	}
}

func TestRejectionsBeforeWork(t *testing.T) {
	server := startEngine(t, engine.Options{})
	client := newClient(t, server.URL())
	unknown := generation("label")
	unknown.Model = "no-such-model"
	_, err := client.Generate(testContext(t), unknown)
	assert.Assert(t, errors.Is(err, edge.ErrRejected), "%v", err)
	assert.NilError(t, server.SetFaults(engine.Faults{RefuseConnects: true}))
	_, err = client.Generate(testContext(t), generation("label"))
	assert.Assert(t, errors.Is(err, edge.ErrNotSent), "%v", err)
	assert.DeepEqual(t, server.Dispatches(), []engine.DispatchCount{{Request: "r1", Arrived: 1}})
}

func TestCancelEndsTheAnswer(t *testing.T) {
	server := startEngine(t, engine.Options{DecodeRate: 5})
	client := newClient(t, server.URL())
	stream, err := client.Generate(testContext(t), generation(longPrompt()))
	assert.NilError(t, err)
	_, err = stream.Next()
	assert.NilError(t, err)
	assert.NilError(t, client.Cancel(testContext(t), testAttempt))
	_, _, err = collect(stream)
	assert.Assert(t, errors.Is(err, edge.ErrFailed), "%v", err)
}

func TestAnswerEndedHereIsNoEvent(t *testing.T) {
	server := startEngine(t, engine.Options{DecodeRate: 5})
	client, sink := newRecordedClient(t, server.URL())
	ctx, cancel := context.WithCancel(testContext(t))
	stream, err := client.Generate(ctx, generation(longPrompt()))
	assert.NilError(t, err)
	_, err = stream.Next()
	assert.NilError(t, err)
	cancel()
	_, _, err = collect(stream)
	assert.Assert(t, errors.Is(err, edge.ErrIndeterminate), "%v", err)
	assert.Equal(t, len(sink.seen()), 0)
}

func TestOrdersAndFencing(t *testing.T) {
	server := startEngine(t, engine.Options{CheckFencing: true, OrderTime: -1})
	client := newClient(t, server.URL())
	want := edge.EngineState{Models: []string{"a", "b"}, Adapters: []string{"x"}, Role: "prefill", Fencing: 9}
	got, err := client.Order(testContext(t), edge.EngineOrder{Fencing: 9, Models: want.Models, Adapters: want.Adapters, Role: want.Role})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	_, err = client.Order(testContext(t), edge.EngineOrder{Fencing: 8, Models: []string{"a"}})
	assert.Assert(t, errors.Is(err, edge.ErrFenced), "%v", err)
	got, err = client.State(testContext(t))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}

func TestLoadAndCacheEvents(t *testing.T) {
	server := startEngine(t, engine.Options{})
	client := newClient(t, server.URL())
	stream, err := client.Generate(testContext(t), generation(longPrompt()))
	assert.NilError(t, err)
	_, _, err = collect(stream)
	assert.Equal(t, err, io.EOF)
	events, err := client.CacheEvents(testContext(t), 0)
	assert.NilError(t, err)
	assert.Equal(t, len(events), 1)
	assert.Equal(t, events[0].Sequence, uint64(1))
	assert.Assert(t, len(events[0].Stored) > 0)
	events, err = client.CacheEvents(testContext(t), 1)
	assert.NilError(t, err)
	assert.Equal(t, len(events), 0)
	load, err := client.Load(testContext(t))
	assert.NilError(t, err)
	assert.Equal(t, load.TokenCapacity, structs.Tokens(200_000))
}
