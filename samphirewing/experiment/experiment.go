// Package experiment compares scheduling policies by simulation in virtual
// time. It runs the production code of the pool owner and two baselines on the
// same seeded arrivals and the same simplified engine model.
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

// ErrUnknownPolicy is returned for a name that no policy has.
const ErrUnknownPolicy = errors.ConstError("unknown policy; leave the list empty for all, see Policies and Ablations")

// Policies compared by default.
const (
	PolicyOwner            = "samphirewing"
	PolicyRoundRobin       = "round-robin"
	PolicyLeastOutstanding = "least-outstanding"
)

// Policies returns the names of the policies compared by default.
func Policies() []string {
	return []string{PolicyOwner, PolicyRoundRobin, PolicyLeastOutstanding}
}

// Options configures an experiment. Empty Scenarios means all scenarios, empty
// Policies those that the function Policies returns.
type Options struct {
	// Deployment is Gemelo or Parapluie.
	Deployment string
	Scenarios  []string
	Policies   []string
	Seed       uint64
	// Workers is the maximum number of concurrent simulations; zero means
	// one. The report does not depend on it.
	Workers int
	// Progress, if set, is called after each simulation with the number
	// completed, the total, and the scenario and policy. Calls are not
	// concurrent.
	Progress func(done, all int, name string)
}

// Run simulates every selected scenario with every selected policy.
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
	runAll(&d, scenarios, o, report.Rows)
	return report, nil
}

// runAll fills the rows. Rows are grouped by scenario: with p policies, row i
// belongs to scenario i/p.
func runAll(d *deployment, scenarios []Scenario, o Options, rows []Row) {
	policyCount := len(rows) / len(scenarios)
	var wg sync.WaitGroup
	var progressMu sync.Mutex
	done := 0
	slots := make(chan struct{}, max(o.Workers, 1))
	for i := range rows {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			runOne(d, scenarios[i/policyCount], o.Seed, &rows[i])
			<-slots
			progressMu.Lock()
			defer progressMu.Unlock()
			done++
			if o.Progress != nil {
				o.Progress(done, len(rows), rows[i].Scenario+" "+rows[i].Policy)
			}
		}()
	}
	wg.Wait()
}

func runOne(d *deployment, s Scenario, seed uint64, row *Row) {
	modelRate, serviceRate := d.capacity()
	totalShare := 0.0
	for _, c := range d.classes {
		if c.kind == structs.WorkModel {
			totalShare += c.share
		}
	}
	rate := func(c *workClass, offset time.Duration) float64 {
		if c.kind == structs.WorkService {
			return s.loadAt(offset) * serviceLoadRatio * serviceRate
		}
		return s.loadAt(offset) * modelRate * c.share / totalShare
	}
	arrivals := newGenerator(d, seed).generate(s.Duration, rate)
	core, err := newCore(d, row.Policy, seed)
	if err != nil {
		panic(fmt.Sprintf("policy %s was checked before: %v", row.Policy, err))
	}
	sim := newSimulation(d, &s, core, seed)
	sim.run(arrivals)
	row.fill(sim.score, s.Duration-s.MeasuredFrom)
}

// serviceLoadRatio is the load of the services divided by that of the models,
// each as a fraction of its own capacity.
const serviceLoadRatio = 0.4

func newCore(d *deployment, policy string, seed uint64) (core, error) {
	switch policy {
	case PolicyRoundRobin:
		return newBaseline(false, queueLimit, d.batchSize), nil
	case PolicyLeastOutstanding:
		return newBaseline(true, queueLimit, d.batchSize), nil
	}
	o := poolowner.Options{
		Pool: "pool",
		Self: instance.Process{ID: "owner", Incarnation: 1},
		Seed: seed,
	}
	disabled, ok := findAblation(policy)
	if !ok {
		return nil, errors.Annotatef(ErrUnknownPolicy, "policy %q", policy)
	}
	o.Disabled = disabled
	return poolowner.New(o), nil
}

func (d *deployment) batchSize(name structs.EndpointName) int {
	for i := range d.engines {
		if d.engines[i].name == name {
			return d.engines[i].kind.MaxBatch
		}
	}
	return 0
}
