package command

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/daemon"
	"github.com/samphirewing/samphirewing/soak"
)

type soakCommand struct {
	program              string
	firstSeed            uint64
	seeds, parallel      int
	daemons, shrinkTries int
	length               time.Duration
	faults               []string
	keep                 string
}

func addSoak(app *kingpin.Application) *soakCommand {
	c := &soakCommand{}
	cmd := app.Command("soak", "Run daemons as processes under seeded faults and hold them against the product's promises.")
	cmd.Flag("program", "Path of samphirewingd.").Default("target/samphirewingd").Envar(daemon.EnvName("soak-program")).StringVar(&c.program)
	cmd.Flag("first-seed", "Seed of the first run.").Default("1").Uint64Var(&c.firstSeed)
	cmd.Flag("seeds", "How many runs.").Default("10").IntVar(&c.seeds)
	cmd.Flag("parallel", "How many runs at a time.").Default("2").IntVar(&c.parallel)
	cmd.Flag("daemons", "Daemons of a run.").Default("3").IntVar(&c.daemons)
	cmd.Flag("length", "Time in which faults begin.").Default("16s").DurationVar(&c.length)
	cmd.Flag("fault", "Inject only faults of this kind; may be repeated.").StringsVar(&c.faults)
	cmd.Flag("shrink", "How many more runs may look for a smaller plan that fails too.").Default("0").IntVar(&c.shrinkTries)
	cmd.Flag("keep", "Directory for the logs of runs that fail.").Default(filepath.Join(os.TempDir(), "samphirewing-soak")).StringVar(&c.keep)
	return c
}

func (c *soakCommand) run(stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	summary := soakSummary{faults: map[string]int{}, out: stdout}
	var running sync.WaitGroup
	slots := make(chan struct{}, max(c.parallel, 1))
	for n := range c.seeds {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		running.Go(func() {
			defer func() { <-slots }()
			summary.add(c.runSeed(ctx, c.firstSeed+uint64(n), stderr))
		})
	}
	running.Wait()
	return summary.report()
}

// runSeed runs one seed and keeps its logs if the run fails.
func (c *soakCommand) runSeed(ctx context.Context, seed uint64, progress io.Writer) (soak.Result, string, error) {
	dir := filepath.Join(c.keep, fmt.Sprintf("seed-%d-%d", seed, time.Now().UnixMilli()))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return soak.Result{Seed: seed}, dir, errors.Annotate(err, "directory for logs; choose another --keep")
	}
	result, err := soak.Run(ctx, soak.Options{
		Program: []string{c.program, platformCommand}, Daemons: c.daemons, Seed: seed, Length: c.length, Faults: c.faults, Dir: dir, ShrinkTries: c.shrinkTries, Progress: progress,
	})
	if err != nil || len(result.Violations) > 0 {
		return result, dir, err
	}
	return result, dir, errors.Trace(os.RemoveAll(dir))
}

// soakSummary sums up the results of all runs.
type soakSummary struct {
	mu                                      sync.Mutex
	out                                     io.Writer
	runs, failed, requests, served, starved int
	faults                                  map[string]int
}

func (s *soakSummary) add(r soak.Result, dir string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	s.requests += r.Requests
	s.served += r.Served
	s.starved += r.Starved
	for kind, n := range r.Faults {
		s.faults[kind] += n
	}
	if err == nil && len(r.Violations) == 0 {
		fmt.Fprintf(s.out, "seed %d: kept; %d requests, %d served, answers %v, %d of %d streams taken up went on, starved %d times\n", r.Seed, r.Requests, r.Served, r.Statuses, r.WentOn, r.TakenUp, r.Starved)
		return
	}
	s.failed++
	fmt.Fprintf(s.out, "seed %d: FAILED; logs in %s; starved %d times\n", r.Seed, dir, r.Starved)
	if err != nil {
		fmt.Fprintf(s.out, "  %v\n", err)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(s.out, "  %s\n", v)
	}
	fmt.Fprintf(s.out, "plan:\n%s\n", r.Plan)
}

func (s *soakSummary) report() int {
	fmt.Fprintf(s.out, "%d runs, %d failed; %d requests, %d served; starved %d times\n", s.runs, s.failed, s.requests, s.served, s.starved)
	for _, kind := range slices.Sorted(maps.Keys(s.faults)) {
		fmt.Fprintf(s.out, "  %-24s %d\n", kind, s.faults[kind])
	}
	if s.failed > 0 {
		return ExitFailed
	}
	return ExitOK
}
