// Package platformclient holds the HTTP clients of the platform: the log
// service, the membership list and the weight store.
package platformclient

import (
	"cmp"
	"time"

	"github.com/samphirewing/coordkit/events"
)

const defaultTimeout = 3 * time.Second

// Options bounds the calls. A zero field takes its default.
type Options struct {
	// Timeout bounds one whole call; 3 s by default.
	Timeout time.Duration
	// Events receives the client's events; they are dropped by default.
	Events events.Sink
}

func (o Options) timeout() time.Duration { return cmp.Or(o.Timeout, defaultTimeout) }
