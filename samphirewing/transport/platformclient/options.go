// Package platformclient implements the HTTP clients of the platform's services:
// the log service, the membership list and the weight store.
package platformclient

import (
	"cmp"
	"time"

	"github.com/samphirewing/coordkit/events"
)

const defaultTimeout = 3 * time.Second

// Options configures a client. Zero fields take the defaults.
type Options struct {
	// Timeout bounds each call, including its response; 3 s by default.
	Timeout time.Duration
	// Events receives the client's events; they are discarded by default.
	Events events.Sink
}

func (o Options) timeout() time.Duration { return cmp.Or(o.Timeout, defaultTimeout) }
