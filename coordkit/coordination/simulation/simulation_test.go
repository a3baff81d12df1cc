package simulation_test

import (
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/coordination/simulation"
)

const (
	defaultSeeds = 200
	// seedCountVariable names the environment variable for the number of seeds,
	// firstSeedVariable the one for the first seed.
	seedCountVariable = "SIMULATION_SEEDS"
	firstSeedVariable = "SIMULATION_FIRST"
	// traceVariable names the environment variable for the file that receives
	// the complete trace of a failed seed.
	traceVariable = "SIMULATION_TRACE"
	maxTraceLines = 120
	// gcPercent is set high because runs allocate many small short-lived
	// values.
	gcPercent = 800
)

func environmentUint(t *testing.T, name string, fallback uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return n
}

// writeTrace writes the complete trace of a failed run to the file that
// traceVariable names.
func writeTrace(t *testing.T, r simulation.Result) {
	if f := os.Getenv(traceVariable); f != "" {
		assert.Check(t, os.WriteFile(f, []byte(strings.Join(r.Trace, "\n")), 0o600))
	}
}

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}

// runAll runs seeds concurrently and calls handle with each result until it
// returns false.
func runAll(first, count uint64, defect simulation.Defect, handle func(simulation.Result) bool) {
	const workers = 6
	seeds := make(chan uint64)
	results := make(chan simulation.Result)
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range workers {
		running.Add(1)
		go func() {
			defer running.Done()
			for s := range seeds {
				results <- simulation.RunSeed(s, defect)
			}
		}()
	}
	go func() {
		defer close(seeds)
		for s := first; s < first+count; s++ {
			select {
			case seeds <- s:
			case <-stop:
				return
			}
		}
	}()
	go func() {
		running.Wait()
		close(results)
	}()
	stopped := false
	for r := range results {
		if !stopped && !handle(r) {
			stopped = true
			close(stop)
		}
	}
}

func TestInvariantsHoldForSeeds(t *testing.T) {
	first := environmentUint(t, firstSeedVariable, 1)
	count := environmentUint(t, seedCountVariable, defaultSeeds)
	var total simulation.Result
	runAll(first, count, "", func(r simulation.Result) bool {
		if r.Failed {
			tail := r.Trace[max(0, len(r.Trace)-maxTraceLines):]
			writeTrace(t, r)
			t.Errorf("seed %d: %s\n%s", r.Seed, r.Violation.Error(), strings.Join(tail, "\n"))
			return false
		}
		total.Accepted += r.Accepted
		total.Checked += r.Checked
		total.Bookings += r.Bookings
		total.Ran += r.Ran
		total.Orders += r.Orders
		total.LogLosses += r.LogLosses
		return true
	})
	t.Logf("%d seeds: %d changes accepted, %d checked in time, %d bookings, %d ran, %d orders, %d log losses",
		count, total.Accepted, total.Checked, total.Bookings, total.Ran, total.Orders, total.LogLosses)
}
