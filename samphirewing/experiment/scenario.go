package experiment

import (
	"time"

	"github.com/juju/errors"
)

// ErrUnknownScenario means that no scenario has the name.
const ErrUnknownScenario = errors.ConstError("unknown scenario; leave the list empty for all")

// Scenario is one load and what goes wrong under it.
type Scenario struct {
	Name string
	// Load is the offered share of the capacity.
	Load     float64
	Duration time.Duration
	// MeasuredFrom is when requests begin to count.
	MeasuredFrom time.Duration
	// BurstFactor multiplies the load from BurstFrom to BurstTo.
	BurstFactor        float64
	BurstFrom, BurstTo time.Duration
	// FaultAt is when SlowFactor slows one engine, or LoseDomain kills one
	// failure domain.
	FaultAt    time.Duration
	SlowFactor float64
	LoseDomain bool
	ReportLag  time.Duration
	CacheLag   time.Duration
	// CacheLoss is the share of cache events that never arrive.
	CacheLoss float64
}

const (
	// queueLimit is the queue bound of every policy.
	queueLimit      = 2000
	defaultDuration = 120 * time.Second
	defaultFrom     = 20 * time.Second
)

func usual(name string, load float64) Scenario {
	return Scenario{
		Name:         name,
		Load:         load,
		Duration:     defaultDuration,
		MeasuredFrom: defaultFrom,
		ReportLag:    time.Second,
		CacheLag:     time.Second,
		CacheLoss:    0.1,
	}
}

// Scenarios returns every scenario in the order of the report.
func Scenarios() []Scenario {
	burst := usual("burst", 0.7)
	burst.BurstFactor = 3
	burst.BurstFrom = 50 * time.Second
	burst.BurstTo = 70 * time.Second

	straggler := usual("straggler", 0.9)
	straggler.FaultAt = 30 * time.Second
	straggler.MeasuredFrom = 30 * time.Second
	straggler.SlowFactor = 6

	lost := usual("domain-lost", 0.9)
	lost.FaultAt = 40 * time.Second
	lost.LoseDomain = true
	lost.MeasuredFrom = 45 * time.Second

	now := usual("reports-0s", 1.2)
	now.ReportLag = 0
	late := usual("reports-5s", 1.2)
	late.ReportLag = 5 * time.Second
	late.CacheLag = 5 * time.Second
	gaps := usual("cache-gaps", 1.2)
	gaps.CacheLoss = 0.4
	return []Scenario{
		usual("load-0.6", 0.6),
		usual("load-0.9", 0.9),
		usual("load-1.2", 1.2),
		usual("load-2.0", 2),
		burst, straggler, lost, now, late, gaps,
	}
}

func findScenarios(names []string) ([]Scenario, error) {
	all := Scenarios()
	if len(names) == 0 {
		return all, nil
	}
	var found []Scenario
	for _, name := range names {
		n := len(found)
		for _, s := range all {
			if s.Name == name {
				found = append(found, s)
			}
		}
		if len(found) == n {
			return nil, errors.Annotatef(ErrUnknownScenario, "scenario %q", name)
		}
	}
	return found, nil
}

// factor is the load at a time over the capacity.
func (s *Scenario) factor(at time.Duration) float64 {
	if s.BurstFactor > 0 && at >= s.BurstFrom && at < s.BurstTo {
		return s.Load * s.BurstFactor
	}
	return s.Load
}
