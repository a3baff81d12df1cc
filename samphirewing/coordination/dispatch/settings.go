package dispatch

import "github.com/samphirewing/samphirewing/coordination/fairshare"

// Settings switches decisions, so that their effect can be measured.
type Settings struct {
	// FairShares divides capacity among the organisations of a rank. Without it, all
	// requests count as of one organisation.
	FairShares bool
}

// DefaultSettings returns the settings of New.
func DefaultSettings() Settings { return Settings{FairShares: true} }

// SetSettings replaces the settings. It must be called before the first request.
func (s *Scheduler) SetSettings(settings Settings) { s.settings = settings }

// key returns the key under which a request's use is charged.
func (s Settings) key(r *Request) fairshare.Key {
	if !s.FairShares {
		return 0
	}
	return fairshare.KeyOf(r.Organisation)
}
