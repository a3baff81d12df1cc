package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/load"
	"github.com/samphirewing/samphirewing/standin/engine"
	"github.com/samphirewing/samphirewing/standin/service"
	"github.com/samphirewing/samphirewing/state/structs"
)

const testTimeout = 25 * time.Second

func testRequests(n int) []load.Request {
	var requests []load.Request
	for i := range n {
		r := load.Request{
			Organisation: "plateau",
			Tier:         "corner",
			Kind:         load.KindModel,
			Target:       testModel,
			Prompt:       strings.Repeat(fmt.Sprintf("rib %d is bent at the joint. ", i), 1+i%20),
			Seed:         int64(i),
			DeadlineMs:   20_000,
		}
		if i%5 == 4 {
			r.Kind, r.Target, r.Prompt, r.Tier = load.KindService, testService, "", "depot"
			r.Key = fmt.Sprintf("{run}-%d", i)
			r.Body = json.RawMessage(fmt.Sprintf(`{"cloth":%d}`, i))
		}
		requests = append(requests, r)
	}
	return requests
}

func run(t *testing.T, s *testSystem, o load.Options) load.Report {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	o.Entries = []string{s.address()}
	o.StandIns = s.standIn
	o.IdleTimeout = time.Second
	report, err := load.Run(ctx, o)
	assert.NilError(t, err)
	return report
}

func TestEveryAnswerIsCheckedAndCounted(t *testing.T) {
	s := startSystem(t, engine.Options{DecodeRate: -1})
	report := run(t, s, load.Options{Requests: testRequests(50)})
	assert.DeepEqual(t, report.Outcomes, []load.OutcomeCount{{Outcome: load.OutcomeDone, Count: 50}})
	assert.Assert(t, report.Clean())
	assert.DeepEqual(t, *report.StandIns, load.StandInReport{Dispatched: 40, KeysRun: 10})
	assert.Equal(t, len(report.Tiers), 2)
	assert.Equal(t, report.Tiers[0].Good, 40)
	assert.Equal(t, report.Tiers[1].Good, 10)
	assert.Equal(t, report.Latencies[0].Count, int64(40))
}

func TestArrivalsDrawDistinctRequests(t *testing.T) {
	s := startSystem(t, engine.Options{DecodeRate: -1})
	report := run(t, s, load.Options{
		Requests: testRequests(10),
		Arrivals: load.Arrivals{Rate: 200, Duration: time.Second, Seed: 4},
	})
	assert.Assert(t, report.Sent > 100, "%d sent", report.Sent)
	assert.Assert(t, report.Clean())
	assert.Equal(t, report.StandIns.Dispatched+report.StandIns.KeysRun, report.Sent)
}

func TestFaultyAnswersAreDetected(t *testing.T) {
	for _, c := range []struct {
		name   string
		mangle func(sequence uint64, text string) string
		count  func(load.Report) int
	}{
		{"wrong", func(n uint64, text string) string { return strings.ToUpper(text) }, func(r load.Report) int { return r.Wrong }},
		{"cut", func(n uint64, text string) string { return text[:0] }, func(r load.Report) int { return r.Truncated }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startSystem(t, engine.Options{DecodeRate: -1})
			s.mangle = c.mangle
			report := run(t, s, load.Options{Requests: testRequests(4)})
			assert.Equal(t, c.count(report), 4)
			assert.Assert(t, !report.Clean())
		})
	}
}

// Requests are sent one at a time, because faultSilence affects every open
// connection, including those without a request id yet.
func TestLostStreamsResumeAfterLastChunk(t *testing.T) {
	for name, fault := range map[string]entryFault{"cut": faultDisconnect, "silent": faultSilence} {
		t.Run(name, func(t *testing.T) {
			s := startSystem(t, engine.Options{DecodeRate: 500})
			s.faults.fault.Store(int32(fault))
			report := run(t, s, load.Options{Requests: testRequests(19)[15:], Concurrency: 1})
			assert.DeepEqual(t, report.Outcomes, []load.OutcomeCount{{Outcome: load.OutcomeDone, Count: 4}})
			assert.Assert(t, report.Clean())
			assert.Assert(t, report.Reconnects >= 4, "%d reconnects", report.Reconnects)
			assert.DeepEqual(t, *report.StandIns, load.StandInReport{Dispatched: 4})
		})
	}
}

func TestDuplicateDispatchIsDetected(t *testing.T) {
	s := startSystem(t, engine.Options{DecodeRate: -1})
	s.dispatches = 2
	report := run(t, s, load.Options{Requests: testRequests(4)})
	assert.Equal(t, report.Wrong+report.Truncated+report.Duplicated, 0)
	assert.DeepEqual(t, *report.StandIns, load.StandInReport{Dispatched: 4, DispatchedTwice: 4})
	assert.Assert(t, !report.Clean())
}

// The test's entry ignores keys, so the caller's second call runs.
func TestDuplicateRunOfKeyIsDetected(t *testing.T) {
	s := startSystem(t, engine.Options{})
	s.faults.fault.Store(int32(faultLoseFirst))
	report := run(t, s, load.Options{Requests: testRequests(5)[4:]})
	assert.DeepEqual(t, report.Outcomes, []load.OutcomeCount{{Outcome: load.OutcomeDone, Count: 1}})
	assert.Equal(t, report.Reconnects, 1)
	assert.DeepEqual(t, *report.StandIns, load.StandInReport{KeysRun: 1, KeysRunTwice: 1})
	assert.Assert(t, !report.Clean())
}

func TestLostAnswerIsRetriedOnlyWithKey(t *testing.T) {
	s := startSystem(t, engine.Options{DecodeRate: 200})
	s.faults.fault.Store(int32(faultLoseFirst))
	requests := testRequests(1)
	requests[0].Key = "{run}"
	report := run(t, s, load.Options{Requests: requests})
	assert.DeepEqual(t, report.Outcomes, []load.OutcomeCount{{Outcome: load.OutcomeDone, Count: 1}})
	assert.Equal(t, report.Reconnects, 1)

	s.faults.fault.Store(int32(faultDisconnect))
	s.forgetRequests = true
	report = run(t, s, load.Options{Requests: testRequests(19)[18:]})
	assert.DeepEqual(t, report.Refusals, []load.RefusalCount{
		{Outcome: load.OutcomeLost, Reason: load.ReasonConnectionLost, Count: 1},
	})
	assert.DeepEqual(t, *report.StandIns, load.StandInReport{Dispatched: 1})
}

func TestUnreachableEntriesErrorNamesRemedy(t *testing.T) {
	_, err := load.Run(context.Background(), load.Options{Entries: []string{unusedAddress()}, Requests: testRequests(1)})
	assert.ErrorContains(t, err, "check the addresses")
}

func TestRefusalsAreCountedByReason(t *testing.T) {
	s := startSystem(t, engine.Options{DecodeRate: -1})
	s.refusal.Store(&structs.Refusal{Outcome: structs.OutcomeNotRun, Reason: structs.ReasonQueueFull, RetryAfter: time.Second})
	report := run(t, s, load.Options{Requests: testRequests(5)})
	assert.DeepEqual(t, report.Refusals, []load.RefusalCount{
		{Outcome: load.OutcomeNotRun, Reason: structs.ReasonQueueFull, Count: 5},
	})
	assert.Equal(t, report.Tiers[0].Good, 0)
}

func TestLostServiceAnswersAreUnknownAndRunOnce(t *testing.T) {
	s := startSystem(t, engine.Options{})
	assert.NilError(t, s.service.SetFaults(service.Faults{LoseAnswers: -1}))
	report := run(t, s, load.Options{Requests: testRequests(5)[4:]})
	assert.DeepEqual(t, report.Outcomes, []load.OutcomeCount{{Outcome: load.OutcomeUnknown, Count: 1}})
	assert.DeepEqual(t, *report.StandIns, load.StandInReport{KeysRun: 1})
}

func TestReportIsWrittenAsTableAndJSON(t *testing.T) {
	s := startSystem(t, engine.Options{DecodeRate: -1})
	report := run(t, s, load.Options{Requests: testRequests(5)})
	var table, encoded bytes.Buffer
	assert.NilError(t, report.WriteTable(&table))
	assert.Assert(t, strings.Contains(table.String(), "wrong answers"))
	assert.NilError(t, report.WriteJSON(&encoded))
	var back load.Report
	assert.NilError(t, json.Unmarshal(encoded.Bytes(), &back))
	assert.Equal(t, back.Sent, 5)
}

func TestInvalidRequestFilesAreRejected(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{`{"organisation":"a","kind":"model","target":"m"}`, "prompt is missing"},
		{`{"organisation":"a","kind":"mail","target":"m"}`, "use \"model\" or \"service\""},
		{`{"organisation":"a","kind":"service"}`, "target is missing"},
		{`{"organisation":"a","typo":1}`, "unknown field"},
	} {
		_, err := load.Read(strings.NewReader("\n" + c.line + "\n"))
		assert.ErrorContains(t, err, c.want)
		assert.ErrorContains(t, err, "line 2")
	}
}
