package engine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/samphirewing/samphirewing/protocol/prefix"
	"github.com/samphirewing/samphirewing/standin/netfault"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/engineclient/enginewire"
)

const pollTimeout = 20 * time.Second

func TestAnswerDependsOnlyOnRequest(t *testing.T) {
	prompt := strings.Repeat("the stretcher is bent ", 30)
	a := Answer("m", prompt, 400, 1)
	assert.Equal(t, a, Answer("m", prompt, 400, 1))
	assert.Assert(t, a != Answer("m", prompt, 400, 2))
	assert.Assert(t, a != Answer("n", prompt, 400, 1))
	assert.Assert(t, a != Answer("m", prompt+" ", 400, 1))
}

func TestAnswerLengthsVaryWithinMaxTokens(t *testing.T) {
	lengths := make(map[structs.Tokens]bool)
	for seed := range int64(200) {
		answer := Answer("m", strings.Repeat("x", 2000), 150, seed)
		tokens := prefix.CountTokens(answer)
		assert.Equal(t, len(answer), int(tokens)*prefix.BytesPerToken)
		assert.Assert(t, tokens > tagTokens && tokens <= 150)
		lengths[tokens] = true
	}
	assert.Assert(t, len(lengths) > 20, "%d lengths", len(lengths))
	assert.Equal(t, prefix.CountTokens(Answer("m", "x", 1, 1)), structs.Tokens(1))
}

func TestPrefixCacheEvictsLeastRecentlyUsedBlocks(t *testing.T) {
	c := newPrefixCache(4)
	a := []structs.PrefixHash{1, 2, 3}
	stored, dropped := c.store(a)
	assert.Equal(t, len(stored), 3)
	assert.Equal(t, len(dropped), 0)
	assert.Equal(t, c.lookup(a), structs.Tokens(3*prefix.BlockTokens))
	_, dropped = c.store([]structs.PrefixHash{7, 8})
	assert.Equal(t, len(dropped), 1)
	assert.Equal(t, c.lookup([]structs.PrefixHash{7, 8}), structs.Tokens(2*prefix.BlockTokens))
	assert.Assert(t, c.lookup(a) < structs.Tokens(3*prefix.BlockTokens))
	c.clear()
	assert.Equal(t, c.lookup([]structs.PrefixHash{7}), structs.Tokens(0))
}

func TestPrefixCacheReportsEveryChange(t *testing.T) {
	c := newPrefixCache(16)
	rng := rand.New(rand.NewPCG(1, 2))
	known := make(map[structs.PrefixHash]bool)
	for range 500 {
		base := structs.PrefixHash(rng.IntN(10) * 100)
		var blocks []structs.PrefixHash
		for i := range rng.IntN(12) {
			blocks = append(blocks, base+structs.PrefixHash(i))
		}
		stored, dropped := c.store(blocks)
		for _, h := range stored {
			assert.Assert(t, !known[h])
			known[h] = true
		}
		for _, h := range dropped {
			assert.Assert(t, known[h])
			delete(known, h)
		}
		assert.Equal(t, len(known), len(c.blocks))
		assert.Assert(t, len(known) <= 16)
	}
}

func TestCacheEventsAreDelayedAndDropped(t *testing.T) {
	events := newCacheEvents(Options{EventLag: time.Hour, Speedup: 1})
	events.publish([]structs.PrefixHash{1}, nil)
	assert.Equal(t, len(events.publishedAfter(0)), 0)

	events = newCacheEvents(Options{EventGapRate: 0.5, Seed: 3, Speedup: 1})
	for i := range 100 {
		events.publish([]structs.PrefixHash{structs.PrefixHash(i)}, nil)
	}
	published := events.publishedAfter(0)
	assert.Assert(t, len(published) > 20 && len(published) < 80, "%d published", len(published))
	assert.Equal(t, len(events.publishedAfter(published[3].Sequence)), len(published)-4)
}

func TestBatchAdmitsInOrderWithinLimits(t *testing.T) {
	b := newBatch(Options{MaxBatch: 2, TokenCapacity: 1000, Speedup: 1})
	runs := make([]*run, 4)
	for i, maxTokens := range []structs.Tokens{600, 500, 100, 5000} {
		runs[i] = newRun(enginewire.Generate{Model: "m", Prompt: "x", MaxTokens: maxTokens})
		b.add(runs[i])
	}
	assert.DeepEqual(t, admitted(runs), []bool{true, false, false, false})
	b.remove(runs[0])
	assert.DeepEqual(t, admitted(runs), []bool{true, true, true, false})
	b.remove(runs[1])
	assert.DeepEqual(t, admitted(runs), []bool{true, true, true, false})
	b.remove(runs[2])
	assert.DeepEqual(t, admitted(runs), []bool{true, true, true, true})
	b.remove(runs[3])
	report := b.loadHistory.lagged()
	assert.Equal(t, report.running, 0)
	assert.Equal(t, report.tokens, structs.Tokens(0))
}

func admitted(runs []*run) []bool {
	var flags []bool
	for _, r := range runs {
		select {
		case <-r.admitted:
			flags = append(flags, true)
		default:
			flags = append(flags, false)
		}
	}
	return flags
}

func TestLoadReportsLag(t *testing.T) {
	h := newLoadHistory(time.Hour)
	h.record(loadSample{running: 3})
	assert.Equal(t, h.lagged().running, 0)
	h = newLoadHistory(0)
	h.record(loadSample{running: 3})
	assert.Equal(t, h.lagged().running, 3)
}

func TestRepeatedDispatchIsCountedAndRepeatedAttemptRejected(t *testing.T) {
	s, err := Start(Options{Models: []string{"m"}, DecodeRate: -1, PrefillRate: -1})
	assert.NilError(t, err)
	defer s.Close()
	assert.Equal(t, generate(t, s, 1), http.StatusOK)
	assert.Equal(t, generate(t, s, 1), http.StatusConflict)
	assert.Equal(t, generate(t, s, 2), http.StatusOK)
	assert.DeepEqual(t, s.Dispatches(), []DispatchCount{{Request: "r", Arrived: 3, Ran: 2}})
}

func generate(t *testing.T, s *Server, attempt int) int {
	t.Helper()
	body := fmt.Sprintf(`{"request":"r","attempt":%d,"model":"m","prompt":"x","max_tokens":5}`, attempt)
	response, err := http.Post(s.URL()+enginewire.PathGenerate, "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	defer response.Body.Close()
	return response.StatusCode
}

func TestFaultSwitchesOverHTTP(t *testing.T) {
	s, err := Start(Options{Models: []string{"m"}})
	assert.NilError(t, err)
	defer s.Close()
	put := func(body string) int {
		request, err := http.NewRequest(http.MethodPut, s.URL()+netfault.PathFaults, strings.NewReader(body))
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		defer response.Body.Close()
		return response.StatusCode
	}
	assert.Equal(t, put(`{"hang":true,"slow_factor":4}`), http.StatusOK)
	assert.Equal(t, s.Faults(), Faults{Hang: true, SlowFactor: 4})
	assert.Equal(t, put(`{"no_such_switch":true}`), http.StatusBadRequest)
	assert.Equal(t, put(`{}`), http.StatusOK)
	assert.Equal(t, s.Faults(), Faults{})
}

func TestHungAnswerContinuesWhenHangIsCleared(t *testing.T) {
	s, err := Start(Options{Models: []string{"m"}, DecodeRate: -1, PrefillRate: -1})
	assert.NilError(t, err)
	defer s.Close()
	assert.NilError(t, s.SetFaults(Faults{Hang: true}))
	status := make(chan int)
	go func() { status <- generate(t, s, 1) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(s.Dispatches()) == 1 {
			return poll.Success()
		}
		return poll.Continue("not dispatched")
	}, poll.WithTimeout(pollTimeout))
	assert.NilError(t, s.SetFaults(Faults{}))
	assert.Equal(t, <-status, http.StatusOK)
}

func TestSlowFactorMultipliesPrefillTime(t *testing.T) {
	s, err := Start(Options{Models: []string{"m"}, PrefillRate: 1000})
	assert.NilError(t, err)
	defer s.Close()
	normal := s.workDuration(100, s.options.PrefillRate)
	assert.Equal(t, normal, 100*time.Millisecond)
	assert.NilError(t, s.SetFaults(Faults{SlowFactor: 3}))
	assert.Equal(t, s.workDuration(100, s.options.PrefillRate), 3*normal)
}

func TestLastFrameCarriesTokenUsage(t *testing.T) {
	r := newRun(enginewire.Generate{Attempt: enginewire.Attempt{Request: "r", Attempt: 1}, Model: "m", Prompt: "xxxxx", MaxTokens: 10})
	r.addFrame(1)
	r.addFrame(r.totalTokens)
	assert.Equal(t, r.frame(1).Text+r.frame(2).Text, r.answer)
	assert.Assert(t, !r.frame(1).Last)
	last := r.frame(2)
	assert.Assert(t, last.Last)
	assert.Equal(t, last.PromptTokens, structs.Tokens(2))
	assert.Equal(t, last.OutputTokens, r.totalTokens)
	encoded, err := json.Marshal(last)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(encoded), `"request":"r"`))
}
