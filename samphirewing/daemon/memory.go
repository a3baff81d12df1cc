package daemon

import (
	"runtime/debug"

	"github.com/samphirewing/samphirewing/transport/callerapi"
	"github.com/samphirewing/samphirewing/transport/httplimit"
)

const (
	// heapFraction is the fraction of the memory that Go's heap may use; the rest is
	// for stacks and socket buffers.
	heapFraction = 0.75
	// answerKeepShare is the share of the memory for ended answers.
	answerKeepShare = 0.125
)

// applyMemoryLimit limits the heap to a part of the memory in the settings, and
// bounds the retained answers accordingly.
func (s *Settings) applyMemoryLimit() {
	if s.MemoryBytes <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(heapFraction * float64(s.MemoryBytes)))
	s.AnswerKeepBytes = min(s.AnswerKeepBytes, int(answerKeepShare*float64(s.MemoryBytes)))
}

// newGuard returns the guard of the callers' interface.
func (d *Daemon) newGuard() *httplimit.Guard {
	s := d.settings
	return httplimit.NewGuard(httplimit.Limits{
		MemoryBytes: s.MemoryBytes, MaxBodyBytes: s.MaxBodyBytes, MaxConnections: s.MaxConnections, MaxBodies: s.MaxBodies, MaxBodiesPerPeer: s.MaxBodiesPerPeer,
		MinBodyRate: s.MinBodyRate, BodyTimeout: callerapi.DefaultBodyTimeout, UnreadTimeout: s.UnreadTimeout,
	}, d.events, d.meter.registry)
}
