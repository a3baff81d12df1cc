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
	testSpeedup  = 8
	testRate     = 40
	testDuration = 4 * time.Second
	faultAfter   = 1500 * time.Millisecond
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

// loadWhile sends the deployment's example requests and runs a fault in the
// middle.
func loadWhile(t *testing.T, s *System, fault func()) load.Report {
	t.Helper()
	var waiting sync.WaitGroup
	waiting.Add(1)
	go func() {
		defer waiting.Done()
		time.Sleep(faultAfter)
		fault()
	}()
	var entries []string
	for _, e := range s.Daemons[0].Entries() {
		entries = append(entries, e.Address)
	}
	report, err := load.Run(context.Background(), load.Options{
		Entries:  entries,
		File:     "../../examples/" + s.deployment.name + ".jsonl",
		Arrivals: load.Arrivals{Rate: testRate, Duration: testDuration, Seed: 7},
		StandIns: s.Directory.URL(),
		Silence:  3 * time.Second,
	})
	assert.NilError(t, err)
	waiting.Wait()
	return report
}

// assertSafe checks what must hold under any fault: nothing is dispatched or
// run twice, nothing ran that was called not run, and an answer called done is
// whole and the caller's own.
func assertSafe(t *testing.T, r load.Report) {
	t.Helper()
	assert.Assert(t, r.Sent > 0)
	assert.Equal(t, r.Wrong, 0, "%+v", r.Faults)
	assert.Equal(t, r.Cut, 0, "%+v", r.Faults)
	assert.Equal(t, r.Doubled, 0, "%+v", r.Faults)
	assert.Equal(t, r.StandIns.DispatchedTwice, 0)
	assert.Equal(t, r.StandIns.KeysRunTwice, 0)
	assert.Equal(t, r.StandIns.NotRunButRan, 0)
}

func count(r load.Report, o load.Outcome) int {
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
	report := loadWhile(t, s, func() { s.Daemons[1].Kill() })
	assertSafe(t, report)
	assert.Assert(t, count(report, load.OutcomeDone) > report.Sent/2, "%+v", report.Outcomes)
}

func TestKilledEngineUnderLoad(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Parapluie)
	report := loadWhile(t, s, func() { s.Engines[0].Close() })
	assertSafe(t, report)
	assert.Equal(t, count(report, load.OutcomeLost), 0, "%+v", report.Outcomes)
}

func TestSilentEngineConnectionsUnderLoad(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Parapluie)
	report := loadWhile(t, s, func() {
		for _, e := range s.Engines {
			e.SilenceOpen()
		}
	})
	assertSafe(t, report)
	assert.Equal(t, count(report, load.OutcomeLost), 0, "%+v", report.Outcomes)
}

func TestCutStreamsAreResumed(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Gemelo)
	report := loadWhile(t, s, func() {
		for _, e := range s.Engines {
			assert.NilError(t, e.SetFaults(engine.Faults{CutAfterFrames: 3}))
		}
	})
	assertSafe(t, report)
	assert.Equal(t, count(report, load.OutcomeUnknown), 0, "%+v", report.Refusals)
}

// A stopping daemon is off every entry list while it still takes requests of
// callers that keep an older list.
func TestStoppingDaemonLeavesTheListBeforeItRefuses(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Gemelo)
	stopping := s.Daemons[2]
	stopped := make(chan error, 1)
	go func() { stopped <- stopping.Stop(context.Background()) }()
	limit := time.Now().Add(readyTimeout)
	for listedAnywhere(s, stopping.Self().ID) {
		assert.Assert(t, time.Now().Before(limit), "the stopping daemon stays on a list")
		time.Sleep(readyPoll)
	}
	_, err := firstTokenThrough(newCallerClient(), stopping.Addresses().Caller)
	assert.NilError(t, err, "refused right after it left the list")
	assert.NilError(t, <-stopped)
}

func listedAnywhere(s *System, id instance.ID) bool {
	for _, d := range s.Daemons {
		for _, e := range d.Entries() {
			if e.Instance == id {
				return true
			}
		}
	}
	return false
}

func TestGracefulStopCutsNothing(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Gemelo)
	report := loadWhile(t, s, func() {
		assert.NilError(t, s.Daemons[2].Stop(context.Background()))
	})
	assertSafe(t, report)
	assert.Equal(t, count(report, load.OutcomeDone), report.Sent, "%+v %+v", report.Outcomes, report.Refusals)
}

func TestLostServiceAnswersAreNotRepeated(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Parapluie)
	for _, server := range s.Services {
		faults := server.Faults()
		faults.LoseAnswers = -1
		assert.NilError(t, server.SetFaults(faults))
	}
	report := loadWhile(t, s, func() {})
	assertSafe(t, report)
	assert.Assert(t, count(report, load.OutcomeUnknown) > 0, "%+v", report.Outcomes)
}

func TestLogOutageRefusesBookingsOnly(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Gemelo)
	report := loadWhile(t, s, func() {
		faults := s.Log.Faults()
		faults.Down = true
		assert.NilError(t, s.Log.SetFaults(faults))
	})
	assertSafe(t, report)
	for _, refusal := range report.Refusals {
		assert.Assert(t, refusal.Outcome != load.OutcomeFailed, "%+v", report.Refusals)
	}
}

func TestPoolOfTwoShardsServesEverything(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Gemelo)
	ctx := context.Background()
	operator := s.Daemons[0].Addresses().Operator
	assert.NilError(t, s.Execute(ctx, operator, "alter pool drafting shards 2"))
	report := loadWhile(t, s, func() {})
	assertSafe(t, report)
	assert.Equal(t, count(report, load.OutcomeDone), report.Sent, "%+v %+v", report.Outcomes, report.Refusals)
}
