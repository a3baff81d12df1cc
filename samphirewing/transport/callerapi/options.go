package callerapi

import (
	"time"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/transport/clock"
	"github.com/samphirewing/samphirewing/state/structs"
)

// The limits that hold unless Options says otherwise.
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
	// maxKeyAhead is how far in the future a key's issue time may lie.
	maxKeyAhead = time.Minute
)

// Options sets limits. Zero fields take the defaults.
type Options struct {
	MaxBodyBytes int64
	// MaxTokens holds for requests that name no output limit.
	MaxTokens   structs.Tokens
	MaxDeadline time.Duration
	// KeepAlive is the longest silence on a streamed answer.
	KeepAlive time.Duration
	// BodyTimeout bounds the time that a request's body may take to arrive.
	BodyTimeout time.Duration
	// WriteTimeout bounds each write to a caller.
	WriteTimeout time.Duration
	Events       events.Sink
	Clock        clock.Clock
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
