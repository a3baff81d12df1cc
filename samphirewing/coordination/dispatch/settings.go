package dispatch

import "github.com/samphirewing/samphirewing/coordination/fairshare"

// Settings switches decisions, so that their effect can be measured.
type Settings struct {
	// FairShares divides capacity among the organisations of a rank. Without it, all
	// requests count as of one organisation.
	FairShares bool
	// ScheduledRetries promises refused clients places in a schedule of future
	// capacity. Without it, they are told the expected wait.
	ScheduledRetries bool
	// Episodes keeps requests with a tight target from engines in a short slow
	// episode.
	Episodes bool
	// CrossDomain makes the cost of leaving the failure domain follow the round trip,
	// the price of traffic and the domains' loads, where links are slow or the price
	// is above zero. Otherwise the cost is constant.
	CrossDomain bool
	// TrafficPriceMsPerMiB is how long a caller may rather wait than send a MiB to
	// another failure domain.
	TrafficPriceMsPerMiB float64
}

// DefaultSettings returns the settings of New.
func DefaultSettings() Settings { return Settings{FairShares: true, ScheduledRetries: true} }

// Configure replaces the settings. It must be called before the first request.
func (s *Scheduler) Configure(settings Settings) { s.settings = settings }

// key returns the key under which a request's use is charged.
func (s Settings) key(r *Request) fairshare.Key {
	if !s.FairShares {
		return 0
	}
	return fairshare.KeyOf(r.Organisation)
}
