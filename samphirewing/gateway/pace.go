package gateway

import (
	"bytes"
	"time"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/coordination/episode"
)

// streamPace counts the events of one stream for its engine's pace.
type streamPace struct {
	meter *episode.Meter
	begun bool
}

// record records complete events. The first ones start the stream's time.
func (s *streamPace) record(complete []byte) {
	if s.begun {
		s.meter.Add(countEvents(complete))
		return
	}
	s.begun = true
	s.meter.Begin()
}

// pause and resume exclude the time in which the caller is written to, since a slow
// caller delays the reading of its stream.
func (s *streamPace) pause() {
	if s.begun {
		s.meter.End()
	}
}

func (s *streamPace) resume() {
	if s.begun {
		s.meter.Begin()
	}
}

// end records the end of the stream.
func (s *streamPace) end() {
	s.pause()
	s.begun = false
}

// countEvents returns the number of events in the bytes of complete events.
func countEvents(complete []byte) int {
	if n := bytes.Count(complete, []byte("\n\n")); n > 0 {
		return n
	}
	return max(bytes.Count(complete, []byte("\n\r\n")), 1)
}

// sampleEpisodesLocked detects short slow episodes of engines.
func (g *Gateway) sampleEpisodesLocked(now time.Time) {
	for _, c := range g.scheduler.SampleEpisodes(now) {
		switch c.Change {
		case episode.Began:
			g.metrics.episodes.Inc(1)
			g.options.Events.Emit(EventEpisodeBegan, events.F("endpoint", c.Endpoint), events.F("slowdown", c.Slowdown))
		default:
			g.options.Events.Emit(EventEpisodeEnded, events.F("endpoint", c.Endpoint), events.F("lasting", c.Change == episode.Lasting))
		}
	}
	g.metrics.slowedEngines.Update(int64(g.scheduler.SlowedEngines()))
}
