package callerapi

import (
	"time"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/transport/clock"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/httplimit"
)

// Default limits. Options and ServerOptions override them.
const (
	DefaultMaxBodyBytes   int64          = 1 << 20
	DefaultMaxHeaderBytes                = 16 << 10
	DefaultMaxConnections                = 16384
	DefaultMaxStreams                    = 250
	DefaultMaxTokens      structs.Tokens = 512
	DefaultMaxDeadline                   = time.Hour
	DefaultKeepAlive                     = 5 * time.Second
	DefaultHeaderTimeout                 = 5 * time.Second
	DefaultBodyTimeout                   = 10 * time.Second
	DefaultWriteTimeout                  = 30 * time.Second
	DefaultIdleTimeout                   = 60 * time.Second
)

const (
	// maxKeyBytes bounds X-Caller-Key and Idempotency-Key.
	maxKeyBytes = 256
	// maxWorkClassBytes bounds X-Work-Class.
	maxWorkClassBytes = 64
	// maxKeyIssueSkew is how far in the future a key's issue time may lie, since
	// callers' clocks differ.
	maxKeyIssueSkew = time.Minute
)

// Options configures the handler. Zero fields take the defaults.
type Options struct {
	MaxBodyBytes int64
	// MaxTokens is the output limit of requests that set none.
	MaxTokens   structs.Tokens
	MaxDeadline time.Duration
	// KeepAlive is the interval after which a keep-alive comment is sent on a
	// stream without new chunks.
	KeepAlive time.Duration
	// BodyTimeout bounds the time to receive a request's body.
	BodyTimeout time.Duration
	// WriteTimeout bounds each write to a caller.
	WriteTimeout time.Duration
	// Guard bounds what is held for callers; nil applies the default limits.
	Guard  *httplimit.Guard
	Events events.Sink
	Clock  clock.Clock
}

func (o Options) withDefaults() Options {
	o.MaxBodyBytes = orDefault(o.MaxBodyBytes, DefaultMaxBodyBytes)
	o.MaxTokens = orDefault(o.MaxTokens, DefaultMaxTokens)
	o.MaxDeadline = orDefault(o.MaxDeadline, DefaultMaxDeadline)
	o.KeepAlive = orDefault(o.KeepAlive, DefaultKeepAlive)
	o.BodyTimeout = orDefault(o.BodyTimeout, DefaultBodyTimeout)
	o.WriteTimeout = orDefault(o.WriteTimeout, DefaultWriteTimeout)
	if o.Events == nil {
		o.Events = events.Discard{}
	}
	if o.Guard == nil {
		o.Guard = httplimit.NewGuard(httplimit.Limits{BodyTimeout: o.BodyTimeout}, o.Events, nil)
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	return o
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
