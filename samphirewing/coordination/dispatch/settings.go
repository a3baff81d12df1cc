package dispatch

// Settings configures a Scheduler. The zero value places requests without regard to
// short episodes, and with a constant cost of leaving the failure domain.
type Settings struct {
	// Episodes keeps requests with a tight target from engines in a short slow
	// episode.
	Episodes bool
	// CrossDomain makes the cost of leaving the failure domain follow the round trip,
	// the price of traffic and the domains' loads, where links are slow or the price
	// is above zero.
	CrossDomain bool
	// TrafficPriceMsPerMiB is how long a caller may rather wait than send a MiB to
	// another failure domain.
	TrafficPriceMsPerMiB float64
}

// Configure sets the settings. It is called before the first request.
func (s *Scheduler) Configure(settings Settings) { s.settings = settings }
