package catchup

import (
	"math"
	"time"
)

// Relay is what a daemon knows of the one that passes a topic's records on to it.
//
// The load that it handles: the store turns a part of the daemons away and serves the
// others. Records that another daemon has read since this one's last read failed are
// evidence that the topic is still kept up to date elsewhere. A relay that has not
// read it since may be turned away as well.
type Relay struct {
	// Connected is set while the relay responds and can read the topic.
	Connected bool
	// ReadAt is when it last read the topic.
	ReadAt time.Time
	// MaxAge is how long after ReadAt the records count as current; zero sets no limit.
	MaxAge time.Duration
}

// CurrentFor returns how long the records still count as current if the relay does not
// read the topic again.
func (r Relay) CurrentFor(now time.Time) time.Duration {
	if r.MaxAge == 0 {
		return math.MaxInt64
	}
	return max(r.ReadAt.Add(r.MaxAge).Sub(now), 0)
}

// Usable reports whether the records may be relied on. failedAt is when this daemon's
// own last read failed, or zero if it succeeded.
func (r Relay) Usable(now, failedAt time.Time) bool {
	return r.Connected && r.CurrentFor(now) > 0 && (failedAt.IsZero() || r.ReadAt.After(failedAt))
}
