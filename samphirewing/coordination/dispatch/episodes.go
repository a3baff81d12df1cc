package dispatch

import (
	"math"
	"time"

	"github.com/samphirewing/samphirewing/coordination/episode"
	"github.com/samphirewing/samphirewing/state/structs"
)

// EpisodeChange is a change in whether an engine is in a short slow episode.
type EpisodeChange struct {
	Endpoint structs.EndpointName
	Change   episode.Change
	Slowdown float64
}

// SampleEpisodes samples the pace of the streams in progress and returns what has
// changed. It is called every episode.SampleInterval.
func (s *Scheduler) SampleEpisodes(now time.Time) (changes []EpisodeChange) {
	if !s.settings.Episodes {
		return nil
	}
	for _, p := range s.pools {
		if p.engine != nil {
			changes = p.sampleEpisodes(now, changes)
		}
	}
	return changes
}

func (p *pool) sampleEpisodes(now time.Time, changes []EpisodeChange) []EpisodeChange {
	p.pace.BeginSample()
	for name, e := range p.paced {
		if p.endpoints[name] != e || len(e.grants) == 0 && e.pace.Idle() {
			e.episodeSlowdown = 1
			delete(p.paced, name)
			continue
		}
		if !e.pace.Idle() {
			e.pace.Sample(now, len(e.grants)+e.peerTotal.Running, &p.pace)
		}
	}
	p.slowedEngines = 0
	for name, e := range p.paced {
		e.episodeSlowdown = 1
		if e.pace.Idle() {
			continue
		}
		change := e.pace.Judge(now, &p.pace)
		e.episodeSlowdown = e.pace.Slowdown(now)
		if e.episodeSlowdown > 1 {
			p.slowedEngines++
		}
		if change != episode.Unchanged {
			changes = append(changes, EpisodeChange{Endpoint: name, Change: change, Slowdown: e.episodeSlowdown})
		}
	}
	return changes
}

// avoidEpisodes returns the candidates without the engines in an episode that would
// miss the request's target at their present pace, if others are faster. Other
// requests may go to any: avoiding the engines altogether loads the others more than
// it helps.
func (p *pool) avoidEpisodes(now time.Time, candidates []*endpoint, r *Request) []*endpoint {
	if p.slowedEngines == 0 || r.Target == 0 {
		return candidates
	}
	left := durationToMs(r.Arrived.Add(r.Target).Sub(now))
	bestOther := math.Inf(1)
	for _, e := range candidates {
		if e.episodeSlowdown == 1 {
			bestOther = min(bestOther, p.forecastMs(e, r))
		}
	}
	if math.IsInf(bestOther, 1) || left < bestOther {
		return candidates
	}
	kept := candidates[:0]
	for _, e := range candidates {
		if e.episodeSlowdown > 1 {
			slowed := p.forecastMs(e, r) * e.episodeSlowdown
			if slowed > left && slowed >= bestOther {
				continue
			}
		}
		kept = append(kept, e)
	}
	return kept
}

// SlowedEngines returns the number of engines in an episode, or just after one.
func (s *Scheduler) SlowedEngines() (n int) {
	for _, p := range s.pools {
		n += p.slowedEngines
	}
	return n
}

// MeterOf returns the meter of an endpoint's streams, or nil if it is not known.
func (s *Scheduler) MeterOf(name structs.EndpointName) *episode.Meter {
	if p := s.endpointPools[name]; p != nil && p.endpoints[name] != nil {
		return &p.endpoints[name].pace.Meter
	}
	return nil
}
