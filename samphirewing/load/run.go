package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
)

const (
	defaultConcurrency = 16
	defaultMaxOpen     = 20_000
	defaultIdleTimeout = 15 * time.Second
	defaultTokenPrefix = "demo-"
	progressInterval   = 2 * time.Second
	runIDLength        = 8
)

// Arrivals describes a seeded Poisson process that draws random requests.
type Arrivals struct {
	// Rate is the mean number of requests a second.
	Rate     float64
	Duration time.Duration
	Seed     uint64
}

// Options describes one run. By default every request is sent once, Concurrency
// at a time. When Arrivals.Rate is set, requests arrive by that process
// regardless of the system's speed (open loop).
type Options struct {
	// Entries are the addresses (host:port) from which the entry list is
	// fetched.
	Entries []string
	// File names a file of requests; Requests is used when it is empty.
	File     string
	Requests []Request
	Arrivals Arrivals
	// Concurrency is 16 by default.
	Concurrency int
	// MaxOpen bounds the open requests under Arrivals; those above it are
	// counted as not sent. 20,000 by default.
	MaxOpen int
	// TokenPrefix followed by the organisation's name is the bearer token of
	// requests that specify none; "demo-" by default.
	TokenPrefix string
	// IdleTimeout is how long an answer stream may be silent before the caller
	// reconnects; 15 s by default. It must exceed the system's keep-alive
	// interval.
	IdleTimeout time.Duration
	// RunID replaces "{run}" in keys; a random one by default.
	RunID string
	// StandIns is the base URL of a stand-in directory. When set, the
	// stand-ins' counts of dispatches and runs are checked.
	StandIns string
	// Progress receives a line every 2 s; nil disables it.
	Progress io.Writer
}

func (o Options) withDefaults() Options {
	if o.Concurrency <= 0 {
		o.Concurrency = defaultConcurrency
	}
	if o.MaxOpen <= 0 {
		o.MaxOpen = defaultMaxOpen
	}
	if o.TokenPrefix == "" {
		o.TokenPrefix = defaultTokenPrefix
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.RunID == "" {
		o.RunID = uuid.NewString()[:runIDLength]
	}
	return o
}

// Run sends the requests and returns the report. It returns an error when the
// options are invalid, no entry answers at the start, or the stand-ins' counts
// can't be fetched. When ctx ends, no more requests are sent and the open ones
// end as lost.
func Run(ctx context.Context, o Options) (Report, error) {
	o = o.withDefaults()
	requests, err := o.requests()
	if err != nil {
		return Report{}, err
	}
	r := &runner{
		options: o,
		tally:   newTally(),
		caller: &caller{
			entries:     newEntries(o.Entries, o.IdleTimeout, o.Arrivals.Seed),
			tokenPrefix: o.TokenPrefix,
			runStart:    time.Now(),
		},
	}
	if _, err := r.caller.entries.pick(ctx); err != nil {
		return Report{}, err
	}
	stopProgress := r.startProgress()
	if o.Arrivals.Rate > 0 {
		r.sendArrivals(ctx, requests)
	} else {
		r.sendAll(ctx, requests)
	}
	stopProgress()
	report := r.tally.report(o.RunID, time.Since(r.caller.runStart))
	if o.StandIns != "" {
		if err := r.countStandIns(ctx, &report); err != nil {
			return report, errors.Annotate(err, "counts of the stand-ins")
		}
	}
	return report, nil
}

func (o Options) requests() ([]Request, error) {
	if len(o.Entries) == 0 {
		return nil, errors.New("no entry address; name at least one host:port")
	}
	requests := o.Requests
	if o.File != "" {
		read, err := ReadFile(o.File)
		if err != nil {
			return nil, err
		}
		requests = read
	}
	if len(requests) == 0 {
		return nil, errors.New("no requests; name a file of JSON lines")
	}
	for i, r := range requests {
		if err := r.check(); err != nil {
			return nil, errors.Annotatef(err, "request %d", i+1)
		}
	}
	if o.Arrivals.Rate > 0 && o.Arrivals.Duration <= 0 {
		return nil, errors.New("a rate needs a duration")
	}
	return requests, nil
}

// runner executes one run.
type runner struct {
	options Options
	caller  *caller
	tally   *tally
}

// sendAll sends each request once.
func (r *runner) sendAll(ctx context.Context, requests []Request) {
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(r.options.Concurrency, len(requests)) {
		workers.Go(func() {
			for i := range next {
				r.send(ctx, requests[i].fill(r.options.RunID, i), time.Now())
			}
		})
	}
	for i := range requests {
		if ctx.Err() != nil {
			break
		}
		next <- i
	}
	close(next)
	workers.Wait()
}

// sendArrivals sends random requests at random times. Latencies count from the
// time at which a request was due.
func (r *runner) sendArrivals(ctx context.Context, requests []Request) {
	a := r.options.Arrivals
	rng := rand.New(rand.NewPCG(a.Seed, uint64(len(requests))))
	slots := make(chan struct{}, r.options.MaxOpen)
	var open sync.WaitGroup
	start := time.Now()
	due := start
	for number := 0; ; number++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / a.Rate * float64(time.Second)))
		request, arrived := drawRequest(rng, requests, r.options.RunID, number), due
		if due.Sub(start) > a.Duration || !pause(ctx, time.Until(due)) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			r.tally.addNotSent()
			continue
		}
		open.Go(func() {
			defer func() { <-slots }()
			r.send(ctx, request, arrived)
		})
	}
	open.Wait()
}

// drawRequest returns a random request with a unique key and a seed shifted by
// its number, so that answers differ between draws.
func drawRequest(rng *rand.Rand, requests []Request, run string, number int) Request {
	request := requests[rng.IntN(len(requests))]
	request.Seed += int64(number)
	if request.Key != "" {
		request.Key += "-" + strconv.Itoa(number)
	}
	return request.fill(run, number)
}

func (r *runner) send(ctx context.Context, request Request, arrived time.Time) {
	r.tally.addSent()
	r.tally.add(r.caller.execute(ctx, request, arrived))
}

// startProgress writes progress lines until the returned function is called.
func (r *runner) startProgress() (stop func()) {
	if r.options.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				elapsed := time.Since(r.caller.runStart)
				_, _ = fmt.Fprintf(r.options.Progress, "%6.1fs  %s\n", elapsed.Seconds(), r.tally.progress())
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		writer.Wait()
	}
}
