package engine

import (
	"cmp"
	"time"

	"github.com/samphirewing/samphirewing/standin/netfault"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	defaultPrefillRate   = 8000
	defaultDecodeRate    = 60
	defaultMaxBatch      = 16
	defaultTokenCapacity = 200_000
	defaultCacheBlocks   = 4096
	defaultKeepAlive     = time.Second
	defaultRetainAnswers = time.Minute
	defaultOrderTime     = 200 * time.Millisecond
)

// Options configures one stand-in engine. A zero field selects the default.
type Options struct {
	// Name labels the engine for its owner; the engine doesn't use it.
	Name string
	// Listen is the listen address; a free loopback port by default.
	Listen string
	// Models and Adapters are loaded at start.
	Models   []string
	Adapters []string
	// Role is the initial role.
	Role string
	// PrefillRate is the prefill rate over all requests, in prompt tokens per
	// second; 8,000 by default, unlimited if negative.
	PrefillRate float64
	// DecodeRate is the decode rate of one answer in a small batch, in tokens
	// per second; 60 by default, unlimited if negative.
	DecodeRate float64
	// MaxBatch is the maximum number of concurrent requests; 16 by default.
	// Further requests wait.
	MaxBatch int
	// BatchSlowdown is the fraction of DecodeRate that is lost in a full
	// batch, 0 to 1.
	BatchSlowdown float64
	// TokenCapacity is the maximum number of prompt and answer tokens of the
	// concurrent requests; 200,000 by default.
	TokenCapacity structs.Tokens
	// CacheBlocks is the capacity of the prefix cache in blocks of
	// prefix.BlockTokens tokens; 4,096 by default, none if negative.
	CacheBlocks int
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// EventLag is the delay before a cache event is published.
	EventLag time.Duration
	// EventGapRate is the fraction of cache events that are lost, 0 to 1.
	EventGapRate float64
	// CheckFencing makes the engine reject orders with a fencing number lower
	// than the highest it has applied.
	CheckFencing bool
	// OrderTime is the time to apply an order that changes the state; 200 ms by
	// default, none if negative.
	OrderTime time.Duration
	// KeepAlive is the interval of the empty lines sent while an answer has no
	// new frames; 1 s by default.
	KeepAlive time.Duration
	// RetainAnswers is how long an answer can be resumed after its run has
	// finished; 1 min by default.
	RetainAnswers time.Duration
	// Seed seeds the choice of the cache events that are lost.
	Seed uint64
	// Speedup divides the durations of prefill, decode, orders, LoadLag and
	// EventLag; 1 by default.
	Speedup float64
}

func (o Options) withDefaults() Options {
	o.PrefillRate = cmp.Or(o.PrefillRate, defaultPrefillRate)
	o.DecodeRate = cmp.Or(o.DecodeRate, defaultDecodeRate)
	o.MaxBatch = cmp.Or(o.MaxBatch, defaultMaxBatch)
	o.TokenCapacity = cmp.Or(o.TokenCapacity, defaultTokenCapacity)
	o.CacheBlocks = cmp.Or(o.CacheBlocks, defaultCacheBlocks)
	o.OrderTime = cmp.Or(o.OrderTime, defaultOrderTime)
	o.KeepAlive = cmp.Or(o.KeepAlive, defaultKeepAlive)
	o.RetainAnswers = cmp.Or(o.RetainAnswers, defaultRetainAnswers)
	o.Speedup = cmp.Or(o.Speedup, 1)
	return o
}

// Faults are the fault switches. The zero value is a healthy engine.
type Faults struct {
	// RefuseConnects makes the operating system refuse new connections.
	RefuseConnects bool `json:"refuse_connects,omitempty"`
	// SwallowNew makes new connections silent: bytes are discarded in both
	// directions.
	SwallowNew bool `json:"swallow_new,omitempty"`
	// Reject answers generate requests with 503, without running them.
	Reject bool `json:"reject,omitempty"`
	// Hang pauses all answers and their keep-alives until it is cleared.
	Hang bool `json:"hang,omitempty"`
	// CutAfterFrames aborts the connection of a generate request after that
	// many frames; 0 aborts none. Resumed answers aren't affected.
	CutAfterFrames int `json:"cut_after_frames,omitempty"`
	// SlowFactor multiplies the time of prefill and decode; 0 and 1 mean
	// normal speed.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// WrongAttemptFrame is the sequence number of a frame that is sent with
	// the attempt of another request; 0 for none.
	WrongAttemptFrame int `json:"wrong_attempt_frame,omitempty"`
	// SkipFrame is the sequence number of a frame that isn't sent; 0 for none.
	SkipFrame int `json:"skip_frame,omitempty"`
	// FailAfterFrames makes a request fail after that many frames; 0 for none.
	FailAfterFrames int `json:"fail_after_frames,omitempty"`
	// IgnoreOrders accepts orders without applying them.
	IgnoreOrders bool `json:"ignore_orders,omitempty"`
	// HideEvents withholds cache events while it is set.
	HideEvents bool `json:"hide_events,omitempty"`
}

// ConnectionFaults returns the switches that all stand-ins share.
func (f Faults) ConnectionFaults() netfault.ConnectionFaults {
	return netfault.ConnectionFaults{RefuseConnects: f.RefuseConnects, SwallowNew: f.SwallowNew}
}
