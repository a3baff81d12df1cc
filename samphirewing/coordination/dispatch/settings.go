package dispatch

// Settings configures a Scheduler. The zero value places requests without regard to
// short episodes.
type Settings struct {
	// Episodes keeps requests with a tight target from engines in a short slow
	// episode.
	Episodes bool
}

// Configure sets the settings. It is called before the first request.
func (s *Scheduler) Configure(settings Settings) { s.settings = settings }
