// Package soak runs daemons as processes of their own among stand-ins of the
// users' platform, brings faults about from outside them, and holds what
// callers and endpoints see against the product's promises.
package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// checkInterval is how often the promises are checked during a run.
	checkInterval = time.Second
	// settleTime is waited after the load, for requests that run late.
	settleTime = 500 * time.Millisecond
	// recoverySample is how many requests of the last recoveryView tell that
	// service is back.
	recoverySample = 60
	recoveryView   = 2 * time.Second
	// paceTick and paceLimit tell that this process was starved: a tick that
	// comes that late.
	paceTick  = 20 * time.Millisecond
	paceLimit = 250 * time.Millisecond
)

// Options set a run up.
type Options struct {
	// Program is the daemon's command line without flags.
	Program []string
	Daemons int
	Seed    uint64
	// Length is the time in which faults begin.
	Length time.Duration
	// Dir takes the processes' logs and settings; it must exist.
	Dir string
	// ShrinkTries is how many more runs may look for a smaller failing plan.
	ShrinkTries int
	// Progress takes a line on each run; nil writes none.
	Progress io.Writer
}

// Result is the outcome of one run.
type Result struct {
	Seed uint64
	// Faults counts the faults by kind.
	Faults map[string]int
	// Requests and Served count callers' requests; Statuses tells how they
	// ended, zero being no answer.
	Requests, Served int
	Statuses         map[int]int
	// Starved is how often this process was not given the processor; checks
	// with a bound in time pass over such times.
	Starved int
	// Violations are the broken promises, and Plan the faults that led there.
	Violations []string
	Plan       string
}

// Run plays the plan of a seed. When a promise breaks, a smaller plan that
// breaks one too is looked for.
func Run(ctx context.Context, o Options) (Result, error) {
	p := newPlan(o.Seed, o.Length)
	result, err := play(ctx, o, p)
	if err != nil || len(result.Violations) == 0 || o.ShrinkTries == 0 {
		return result, err
	}
	options := o
	options.Dir = filepath.Join(o.Dir, "shrink")
	if err := os.MkdirAll(options.Dir, 0o700); err != nil {
		return result, errors.Annotate(err, "directory for the logs of smaller plans")
	}
	smaller := shrink(p, o.ShrinkTries, func(tried plan) bool {
		again, err := play(ctx, options, tried)
		o.progress("seed %d with %d faults: %d promises broken", o.Seed, len(tried.faults), len(again.Violations))
		return err == nil && len(again.Violations) > 0
	})
	result.Plan = smaller.String()
	return result, nil
}

func (o Options) progress(format string, args ...any) {
	if o.Progress != nil {
		fmt.Fprintf(o.Progress, format+"\n", args...)
	}
}

// play plays one plan.
func play(ctx context.Context, o Options, p plan) (Result, error) {
	w, err := startWorld(ctx, o)
	if err != nil {
		return Result{}, err
	}
	defer w.close()
	loading, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var load, background sync.WaitGroup
	for n := range callers + cappedCallers {
		load.Go(func() { w.newClient(n).run(loading) })
	}
	background.Go(func() { w.history.watchPace(loading) })
	err = w.injectAll(loading, p)
	recovered := w.awaitRecovery(loading)
	stopLoad()
	load.Wait()
	background.Wait()
	time.Sleep(settleTime)
	result := w.result(p)
	if !recovered && err == nil {
		result.Violations = append(result.Violations, fmt.Sprintf("recovery: %v after the last fault, fewer than %.0f in 100 requests were served", recoverBound, 100*recoveredShare))
	}
	return result, err
}

// injectAll brings all faults about and checks the promises meanwhile.
func (w *world) injectAll(ctx context.Context, p plan) error {
	in := &injector{world: w}
	begun := time.Now()
	var running sync.WaitGroup
	failed := make(chan error, len(p.faults))
	for _, f := range p.faults {
		running.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(begun.Add(f.at))):
				if err := in.inject(f); err != nil {
					failed <- errors.Annotatef(err, "fault %v", f)
				}
			}
		})
	}
	over := make(chan struct{})
	go func() {
		running.Wait()
		close(over)
	}()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-over:
			close(failed)
			return <-failed
		case <-ticker.C:
			if found := violations(w.evidence()); len(found) > 0 {
				w.options.progress("seed %d: %s: %s", w.options.Seed, found[0].promise, found[0].text)
			}
		}
	}
}

// awaitRecovery returns whether nearly all requests are served again in time
// after the last fault.
func (w *world) awaitRecovery(ctx context.Context) bool {
	for over := time.Now(); ctx.Err() == nil && time.Since(over) < recoverBound+recoveryView; {
		time.Sleep(checkInterval)
		served, asked := 0, 0
		since := time.Now().Add(-recoveryView)
		for _, o := range w.evidence().outcomes {
			if o.sent.Before(since) || o.sent.Before(over) || o.capped || o.version != 0 {
				continue
			}
			asked++
			if o.answer.Status == http.StatusOK && o.answer.Err == nil {
				served++
			}
		}
		if asked >= recoverySample && float64(served) >= recoveredShare*float64(asked) {
			return true
		}
	}
	return false
}

// watchPace notes the times in which this process was starved.
func (h *history) watchPace(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(paceTick)
		now := time.Now()
		if now.Sub(last) > paceLimit {
			h.note(span{kind: starved, from: last, to: now})
		}
		last = now
	}
}

func (w *world) result(p plan) Result {
	e := w.evidence()
	r := Result{Seed: p.seed, Faults: map[string]int{}, Statuses: map[int]int{}, Requests: len(e.outcomes), Plan: p.String()}
	for _, s := range e.spans {
		if s.kind == starved {
			r.Starved++
			continue
		}
		r.Faults[string(s.kind)]++
	}
	for _, o := range e.outcomes {
		r.Statuses[o.answer.Status]++
		if o.answer.Status == http.StatusOK && o.answer.Err == nil {
			r.Served++
		}
	}
	for _, v := range violations(e) {
		r.Violations = append(r.Violations, fmt.Sprintf("%s: %s", v.promise, v.text))
	}
	return r
}
