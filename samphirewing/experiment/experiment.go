// Package experiment compares scheduling policies in virtual time: the pool
// owner's own code and two baselines, on the same seeded arrivals against the
// same small model of an engine.
package experiment

import (
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/coordination/poolowner"
	"github.com/samphirewing/samphirewing/state/structs"
)

// ErrUnknownPolicy means that no policy has the name.
const ErrUnknownPolicy = errors.ConstError("unknown policy; leave the list empty for all, see Policies and Ablations")

// The policies that are compared by default.
const (
	PolicyOwner            = "samphirewing"
	PolicyRoundRobin       = "round-robin"
	PolicyLeastOutstanding = "least-outstanding"
)

// Policies returns the names of the policies compared by default.
func Policies() []string {
	return []string{PolicyOwner, PolicyRoundRobin, PolicyLeastOutstanding}
}

// Options choose what is run. Empty lists mean all.
type Options struct {
	// Deployment is Gemelo or Parapluie.
	Deployment string
	Scenarios  []string
	Policies   []string
	Seed       uint64
	// Workers bounds the runs at the same time; the report does not depend
	// on it. Zero means one.
	Workers int
	// Progress, if set, is called after each run with the runs done and in
	// all. It is not called concurrently.
	Progress func(done, all int, name string)
}

// Run plays every scenario with every policy.
func Run(o Options) (Report, error) {
	d, err := findDeployment(o.Deployment)
	if err != nil {
		return Report{}, err
	}
	scenarios, err := findScenarios(o.Scenarios)
	if err != nil {
		return Report{}, err
	}
	policies := o.Policies
	if len(policies) == 0 {
		policies = Policies()
	}
	for _, p := range policies {
		if _, err := newCore(&d, p, o.Seed); err != nil {
			return Report{}, err
		}
	}
	report := Report{Deployment: o.Deployment, Seed: o.Seed}
	for _, s := range scenarios {
		for _, p := range policies {
			report.Rows = append(report.Rows, Row{Scenario: s.Name, Load: s.Load, Policy: p})
		}
	}
	playAll(&d, scenarios, o, report.Rows)
	return report, nil
}

// playAll fills the rows; row i belongs to scenario i / policies.
func playAll(d *deployment, scenarios []Scenario, o Options, rows []Row) {
	each := len(rows) / len(scenarios)
	var wait sync.WaitGroup
	var progress sync.Mutex
	done := 0
	places := make(chan struct{}, max(o.Workers, 1))
	for i := range rows {
		wait.Add(1)
		places <- struct{}{}
		go func() {
			defer wait.Done()
			play(d, scenarios[i/each], o.Seed, &rows[i])
			<-places
			progress.Lock()
			defer progress.Unlock()
			done++
			if o.Progress != nil {
				o.Progress(done, len(rows), rows[i].Scenario+" "+rows[i].Policy)
			}
		}()
	}
	wait.Wait()
}

func play(d *deployment, s Scenario, seed uint64, row *Row) {
	model, service := d.capacity()
	total := 0.0
	for _, c := range d.classes {
		if c.kind == structs.WorkModel {
			total += c.share
		}
	}
	rate := func(c *workClass, at time.Duration) float64 {
		if c.kind == structs.WorkService {
			return s.factor(at) * serviceLoad * service
		}
		return s.factor(at) * model * c.share / total
	}
	arrivals := newGenerator(d, seed).sequence(s.Duration, rate)
	core, err := newCore(d, row.Policy, seed)
	if err != nil {
		panic(fmt.Sprintf("policy %s was checked before: %v", row.Policy, err))
	}
	w := newWorld(d, &s, core, seed)
	w.run(arrivals)
	row.fill(w.score, s.Duration-s.MeasuredFrom)
}

// serviceLoad is the services' load as a share of the models'.
const serviceLoad = 0.4

func newCore(d *deployment, policy string, seed uint64) (core, error) {
	switch policy {
	case PolicyRoundRobin:
		return newBaseline(false, queueLimit, d.batch), nil
	case PolicyLeastOutstanding:
		return newBaseline(true, queueLimit, d.batch), nil
	}
	o := poolowner.Options{
		Pool: "pool",
		Self: instance.Process{ID: "owner", Incarnation: 1},
		Seed: seed,
	}
	without, ok := ablation(policy)
	if !ok {
		return nil, errors.Annotatef(ErrUnknownPolicy, "policy %q", policy)
	}
	o.Disabled = without
	return poolowner.New(o), nil
}

func (d *deployment) batch(name structs.EndpointName) int {
	for i := range d.engines {
		if d.engines[i].name == name {
			return d.engines[i].kind.Batch
		}
	}
	return 0
}
