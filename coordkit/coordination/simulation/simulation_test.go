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
	// seedsVariable names the environment variable that asks for more seeds,
	// firstVariable the one that names the first.
	seedsVariable = "SIMULATION_SEEDS"
	firstVariable = "SIMULATION_FIRST"
	// traceVariable names a file for the whole trace of a failed seed.
	traceVariable = "SIMULATION_TRACE"
	traceLines    = 120
	// collectAt is the growth of the heap, in per cent, between collections.
	collectAt = 800
)

func fromEnvironment(t *testing.T, name string, fallback uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return n
}

// writeTrace keeps the whole trace of a failed run in the named file.
func writeTrace(t *testing.T, r simulation.Result) {
	if f := os.Getenv(traceVariable); f != "" {
		assert.Check(t, os.WriteFile(f, []byte(strings.Join(r.Trace, "\n")), 0o600))
	}
}

// TestMain lets garbage grow between collections: runs allocate many small
// short-lived values.
func TestMain(m *testing.M) {
	debug.SetGCPercent(collectAt)
	os.Exit(m.Run())
}

// runAll runs seeds on a few goroutines.
func runAll(first, count uint64, broken simulation.Breakage, each func(simulation.Result) bool) {
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
				results <- simulation.Do(s, broken)
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
		if !stopped && !each(r) {
			stopped = true
			close(stop)
		}
	}
}

func TestSeeds(t *testing.T) {
	first := fromEnvironment(t, firstVariable, 1)
	count := fromEnvironment(t, seedsVariable, defaultSeeds)
	var total simulation.Result
	runAll(first, count, "", func(r simulation.Result) bool {
		if r.Failed {
			tail := r.Trace[max(0, len(r.Trace)-traceLines):]
			writeTrace(t, r)
			t.Errorf("seed %d: %s\n%s", r.Seed, r.Breach.Error(), strings.Join(tail, "\n"))
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
