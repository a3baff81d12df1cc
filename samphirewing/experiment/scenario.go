package experiment

import (
	"time"

	"github.com/juju/errors"
)

// ErrUnknownScenario is returned for a name that no scenario has.
const ErrUnknownScenario = errors.ConstError("unknown scenario; leave the list empty for all")

// Scenario is an offered load with the faults and delays that occur under it.
// Times are offsets from the start.
type Scenario struct {
	Name string
	// Load is the offered load divided by the capacity.
	Load     float64
	Duration time.Duration
	// MeasuredFrom is the arrival time from which requests are counted.
	MeasuredFrom time.Duration
	// BurstFactor multiplies the load from BurstFrom to BurstTo.
	BurstFactor        float64
	BurstFrom, BurstTo time.Duration
	// FaultAt is the time of the faults: SlowFactor, if above 1, slows one
	// engine by that factor, and LoseDomain kills the engines of one failure
	// domain.
	FaultAt    time.Duration
	SlowFactor float64
	LoseDomain bool
	// ReportLag and CacheLag delay load reports and cache events, in addition
	// to the network.
	ReportLag time.Duration
	CacheLag  time.Duration
	// CacheLoss is the probability that a cache event is lost.
	CacheLoss float64
}

const (
	// queueLimit is the maximum queue length of every policy.
	queueLimit          = 2000
	defaultDuration     = 120 * time.Second
	defaultMeasuredFrom = 20 * time.Second
)

func defaultScenario(name string, load float64) Scenario {
	return Scenario{
		Name:         name,
		Load:         load,
		Duration:     defaultDuration,
		MeasuredFrom: defaultMeasuredFrom,
		ReportLag:    time.Second,
		CacheLag:     time.Second,
		CacheLoss:    0.1,
	}
}

// Scenarios returns every scenario in the order of the report.
func Scenarios() []Scenario {
	burst := defaultScenario("burst", 0.7)
	burst.BurstFactor = 3
	burst.BurstFrom = 50 * time.Second
	burst.BurstTo = 70 * time.Second

	straggler := defaultScenario("straggler", 0.9)
	straggler.FaultAt = 30 * time.Second
	straggler.MeasuredFrom = 30 * time.Second
	straggler.SlowFactor = 6

	domainLost := defaultScenario("domain-lost", 0.9)
	domainLost.FaultAt = 40 * time.Second
	domainLost.LoseDomain = true
	domainLost.MeasuredFrom = 45 * time.Second

	currentReports := defaultScenario("reports-0s", 1.2)
	currentReports.ReportLag = 0
	lateReports := defaultScenario("reports-5s", 1.2)
	lateReports.ReportLag = 5 * time.Second
	lateReports.CacheLag = 5 * time.Second
	cacheGaps := defaultScenario("cache-gaps", 1.2)
	cacheGaps.CacheLoss = 0.4
	return []Scenario{
		defaultScenario("load-0.6", 0.6),
		defaultScenario("load-0.9", 0.9),
		defaultScenario("load-1.2", 1.2),
		defaultScenario("load-2.0", 2),
		burst, straggler, domainLost, currentReports, lateReports, cacheGaps,
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

// loadAt returns the offered load at an offset from the start, divided by the
// capacity.
func (s *Scenario) loadAt(offset time.Duration) float64 {
	if s.BurstFactor > 0 && offset >= s.BurstFrom && offset < s.BurstTo {
		return s.Load * s.BurstFactor
	}
	return s.Load
}
