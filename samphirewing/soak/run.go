// Package soak runs daemons as separate processes against stand-ins for the
// users' platform, injects faults from outside the processes, and checks what
// callers and endpoints observe against the product's promises.
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
	// checkInterval is the time between checks of the promises during a run.
	checkInterval = time.Second
	// settleTime is the wait after the load stops, so that requests that run
	// late on an endpoint are recorded.
	settleTime = 500 * time.Millisecond
	// minRecoveryRequests is the minimum number of requests within
	// recoveryWindow from which recovery is judged.
	minRecoveryRequests = 60
	recoveryWindow      = 2 * time.Second
	// This process counts as starved of CPU when a sleep of starvationTick
	// takes longer than starvationThreshold.
	starvationTick      = 20 * time.Millisecond
	starvationThreshold = 250 * time.Millisecond
)

// Options configure a run.
type Options struct {
	// Program is the daemon's command line, without the flags that soak adds.
	Program []string
	Daemons int
	Seed    uint64
	// Length is the period within which faults start.
	Length time.Duration
	// Faults names the kinds of faults to inject; empty injects all.
	Faults []string
	// Dir receives the processes' logs and settings; it must exist.
	Dir string
	// ShrinkTries is the maximum number of additional runs to find a smaller
	// failing plan.
	ShrinkTries int
	// Progress receives lines on violations seen during a run and on the runs
	// that shrink a plan; nil disables it.
	Progress io.Writer
}

// Result is the outcome of one run.
type Result struct {
	Seed uint64
	// Faults counts the injected faults by kind.
	Faults map[string]int
	// Requests counts the callers' requests and Served the successful ones.
	// Statuses counts requests by HTTP status; 0 means no answer.
	Requests, Served int
	Statuses         map[int]int
	// TakenUp counts the streams that callers took up, WentOn those that were answered.
	TakenUp, WentOn int
	// Starved counts the periods in which this process was starved of CPU.
	// Checks with a time bound ignore such periods.
	Starved int
	// Violations describes the broken promises and Plan the faults that were
	// injected, or the smaller failing plan found.
	Violations []string
	Plan       string
}

// Run executes the fault plan of a seed. When a promise is broken, it looks for
// a smaller plan that still breaks one.
func Run(ctx context.Context, o Options) (Result, error) {
	only, err := parseKinds(o.Faults)
	if err != nil {
		return Result{}, err
	}
	p := newPlan(o.Seed, o.Length, only)
	result, err := runPlan(ctx, o, p)
	if err != nil || len(result.Violations) == 0 || o.ShrinkTries == 0 {
		return result, err
	}
	options := o
	options.Dir = filepath.Join(o.Dir, "shrink")
	if err := os.MkdirAll(options.Dir, 0o700); err != nil {
		return result, errors.Annotate(err, "directory for the logs of smaller plans")
	}
	smaller := shrink(p, o.ShrinkTries, func(tried plan) bool {
		retried, err := runPlan(ctx, options, tried)
		o.progress("seed %d with %d faults: %d promises broken", o.Seed, len(tried.faults), len(retried.Violations))
		return err == nil && len(retried.Violations) > 0
	})
	result.Plan = smaller.String()
	return result, nil
}

func (o Options) progress(format string, args ...any) {
	if o.Progress != nil {
		fmt.Fprintf(o.Progress, format+"\n", args...)
	}
}

// runPlan starts an environment, runs load and the plan's faults in it, and
// checks the promises.
func runPlan(ctx context.Context, o Options, p plan) (Result, error) {
	env, err := startEnvironment(ctx, o)
	if err != nil {
		return Result{}, err
	}
	defer env.close()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var load, background sync.WaitGroup
	for n := range callerCount + cappedCallerCount {
		load.Go(func() { env.newClient(n).run(loadCtx) })
	}
	background.Go(func() { env.history.monitorStarvation(loadCtx) })
	err = env.injectAll(loadCtx, p)
	recovered := env.awaitRecovery(loadCtx)
	stopLoad()
	load.Wait()
	background.Wait()
	time.Sleep(settleTime)
	result := env.result(p)
	if !recovered && err == nil {
		result.Violations = append(result.Violations, fmt.Sprintf("recovery: %v after the last fault, fewer than %.0f in 100 requests were served", recoverBound, 100*recoveredShare))
	}
	return result, err
}

// injectAll injects the plan's faults and checks the promises meanwhile. It
// returns when the last fault is over.
func (env *environment) injectAll(ctx context.Context, p plan) error {
	in := &injector{env: env}
	started := time.Now()
	var running sync.WaitGroup
	errs := make(chan error, len(p.faults))
	for _, f := range p.faults {
		running.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(started.Add(f.at))):
				if err := in.inject(f); err != nil {
					errs <- errors.Annotatef(err, "fault %v", f)
				}
			}
		})
	}
	done := make(chan struct{})
	go func() {
		running.Wait()
		close(done)
	}()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			close(errs)
			return <-errs
		case <-ticker.C:
			if found := violations(env.collectEvidence()); len(found) > 0 {
				env.options.progress("seed %d: %s: %s", env.options.Seed, found[0].promise, found[0].text)
			}
		}
	}
}

// awaitRecovery waits for recovery and reports whether at least recoveredShare of
// the requests are served again within recoverBound after the last fault.
func (env *environment) awaitRecovery(ctx context.Context) bool {
	for lastFault := time.Now(); ctx.Err() == nil && time.Since(lastFault) < recoverBound+recoveryWindow; {
		time.Sleep(checkInterval)
		served, sent := 0, 0
		since := time.Now().Add(-recoveryWindow)
		for _, o := range env.collectEvidence().outcomes {
			if o.sentAt.Before(since) || o.sentAt.Before(lastFault) || o.capped || o.version != 0 {
				continue
			}
			sent++
			if o.answer.Status == http.StatusOK && o.answer.Err == nil {
				served++
			}
		}
		if sent >= minRecoveryRequests && float64(served) >= recoveredShare*float64(sent) {
			return true
		}
	}
	return false
}

// monitorStarvation records the periods in which this process was starved of
// CPU.
func (h *history) monitorStarvation(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(starvationTick)
		now := time.Now()
		if now.Sub(last) > starvationThreshold {
			h.addSpan(span{kind: starved, from: last, to: now})
		}
		last = now
	}
}

func (env *environment) result(p plan) Result {
	e := env.collectEvidence()
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
		if o.resumes != "" && o.answer.Dialled {
			r.TakenUp++
			if o.answer.Status == http.StatusOK {
				r.WentOn++
			}
		}
		if o.answer.Status == http.StatusOK && o.answer.Err == nil {
			r.Served++
		}
	}
	for _, v := range violations(e) {
		r.Violations = append(r.Violations, fmt.Sprintf("%s: %s", v.promise, v.text))
	}
	return r
}
