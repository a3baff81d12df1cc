package demo

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/daemon"
	"github.com/samphirewing/samphirewing/load"
	"github.com/samphirewing/samphirewing/standin/engine"
)

const (
	testSpeedup           = 8
	testRequestsPerSecond = 40
	testDuration          = 4 * time.Second
	faultDelay            = 1500 * time.Millisecond
)

func startSystem(t *testing.T, deployment string) *System {
	t.Helper()
	s, err := Start(context.Background(), Options{
		Deployment: deployment,
		Speedup:    testSpeedup,
		Adjust: func(s *daemon.Settings) {
			s.EntriesKeepFor = time.Second
			s.DrainGrace = 500 * time.Millisecond
		},
	})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

// runLoadWithFault sends the deployment's example requests and injects a fault
// faultDelay after the start.
func runLoadWithFault(t *testing.T, s *System, injectFault func()) load.Report {
	t.Helper()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		time.Sleep(faultDelay)
		injectFault()
	}()
	var entries []string
	for _, e := range s.Daemons[0].Entries() {
		entries = append(entries, e.Address)
	}
	report, err := load.Run(context.Background(), load.Options{
		Entries:     entries,
		File:        "../../examples/" + s.deployment.name + ".jsonl",
		Arrivals:    load.Arrivals{Rate: testRequestsPerSecond, Duration: testDuration, Seed: 7},
		StandIns:    s.Directory.URL(),
		IdleTimeout: 3 * time.Second,
	})
	assert.NilError(t, err)
	wg.Wait()
	return report
}

// assertSafetyInvariants checks the invariants that hold under any fault: no
// request is dispatched or run twice, no request reported as not run has run,
// and every answer reported as done is complete and belongs to its caller.
func assertSafetyInvariants(t *testing.T, r load.Report) {
	t.Helper()
	assert.Assert(t, r.Sent > 0)
	assert.Equal(t, r.Wrong, 0, "%+v", r.FaultyAnswers)
	assert.Equal(t, r.Truncated, 0, "%+v", r.FaultyAnswers)
	assert.Equal(t, r.Duplicated, 0, "%+v", r.FaultyAnswers)
	assert.Equal(t, r.StandIns.DispatchedTwice, 0)
	assert.Equal(t, r.StandIns.KeysRunTwice, 0)
	assert.Equal(t, r.StandIns.NotRunButRan, 0)
}

func outcomeCount(r load.Report, o load.Outcome) int {
	for _, c := range r.Outcomes {
		if c.Outcome == o {
			return c.Count
		}
	}
	return 0
}

func TestKilledDaemonUnderLoad(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Gemelo)
	report := runLoadWithFault(t, s, func() { s.Daemons[1].Kill() })
	assertSafetyInvariants(t, report)
	assert.Assert(t, outcomeCount(report, load.OutcomeDone) > report.Sent/2, "%+v", report.Outcomes)
}

func TestKilledEngineUnderLoad(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Parapluie)
	report := runLoadWithFault(t, s, func() { s.Engines[0].Close() })
	assertSafetyInvariants(t, report)
	assert.Equal(t, outcomeCount(report, load.OutcomeLost), 0, "%+v", report.Outcomes)
}

func TestUnresponsiveEngineConnectionsUnderLoad(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Parapluie)
	report := runLoadWithFault(t, s, func() {
		for _, e := range s.Engines {
			e.SilenceOpen()
		}
	})
	assertSafetyInvariants(t, report)
	assert.Equal(t, outcomeCount(report, load.OutcomeLost), 0, "%+v", report.Outcomes)
}

func TestTruncatedStreamsAreResumed(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Gemelo)
	report := runLoadWithFault(t, s, func() {
		for _, e := range s.Engines {
			assert.NilError(t, e.SetFaults(engine.Faults{CutAfterFrames: 3}))
		}
	})
	assertSafetyInvariants(t, report)
	assert.Equal(t, outcomeCount(report, load.OutcomeUnknown), 0, "%+v", report.Refusals)
}

// A stopping daemon is removed from every entry list while it still accepts
// requests from callers with an older list.
func TestStoppingDaemonIsUnlistedBeforeItRefuses(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Gemelo)
	stopping := s.Daemons[2]
	stopped := make(chan error, 1)
	go func() { stopped <- stopping.Stop(context.Background()) }()
	deadline := time.Now().Add(readyTimeout)
	for isListedByAnyDaemon(s, stopping.Self().ID) {
		assert.Assert(t, time.Now().Before(deadline), "the stopping daemon is still on an entry list")
		time.Sleep(readyPoll)
	}
	_, err := firstTokenViaEntry(newCallerClient(), stopping.Addresses().Caller)
	assert.NilError(t, err, "refused right after it left the list")
	assert.NilError(t, <-stopped)
}

func isListedByAnyDaemon(s *System, id instance.ID) bool {
	for _, d := range s.Daemons {
		for _, e := range d.Entries() {
			if e.Instance == id {
				return true
			}
		}
	}
	return false
}

func TestGracefulStopInterruptsNoRequests(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Gemelo)
	report := runLoadWithFault(t, s, func() {
		assert.NilError(t, s.Daemons[2].Stop(context.Background()))
	})
	assertSafetyInvariants(t, report)
	assert.Equal(t, outcomeCount(report, load.OutcomeDone), report.Sent, "%+v %+v", report.Outcomes, report.Refusals)
}

func TestCallsWithLostAnswersAreNotRepeated(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Parapluie)
	for _, server := range s.Services {
		faults := server.Faults()
		faults.LoseAnswers = -1
		assert.NilError(t, server.SetFaults(faults))
	}
	report := runLoadWithFault(t, s, func() {})
	assertSafetyInvariants(t, report)
	assert.Assert(t, outcomeCount(report, load.OutcomeUnknown) > 0, "%+v", report.Outcomes)
}

func TestLogOutageRefusesBookingsOnly(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Gemelo)
	report := runLoadWithFault(t, s, func() {
		faults := s.Log.Faults()
		faults.Down = true
		assert.NilError(t, s.Log.SetFaults(faults))
	})
	assertSafetyInvariants(t, report)
	for _, refusal := range report.Refusals {
		assert.Assert(t, refusal.Outcome != load.OutcomeFailed, "%+v", report.Refusals)
	}
}

func TestPoolOfTwoShardsServesAllRequests(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Gemelo)
	ctx := context.Background()
	operator := s.Daemons[0].Addresses().Operator
	assert.NilError(t, s.Execute(ctx, operator, "alter pool drafting shards 2"))
	report := runLoadWithFault(t, s, func() {})
	assertSafetyInvariants(t, report)
	assert.Equal(t, outcomeCount(report, load.OutcomeDone), report.Sent, "%+v %+v", report.Outcomes, report.Refusals)
}
