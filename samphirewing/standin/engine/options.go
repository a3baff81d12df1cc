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
	defaultLoadTime      = 200 * time.Millisecond
)

// Options describes one stand-in engine. A zero field takes its default.
type Options struct {
	// Name stands in debug dumps.
	Name string
	// Listen is the address to listen on; a free loopback port by default.
	Listen string
	// Models and Adapters are loaded at start.
	Models   []string
	Adapters []string
	// Role is the role at start.
	Role string
	// PrefillRate is how many prompt tokens a second the engine works
	// through, over all requests; 8,000 by default. Unlimited when negative.
	PrefillRate float64
	// DecodeRate is how many tokens a second one answer grows by while the
	// batch is small; 60 by default. Unlimited when negative.
	DecodeRate float64
	// MaxBatch is how many requests run at once; 16 by default. More wait.
	MaxBatch int
	// BatchSlowdown is the share of DecodeRate that is lost when the batch
	// is full, 0 to 1.
	BatchSlowdown float64
	// TokenCapacity is how many prompt and answer tokens run at once;
	// 200,000 by default.
	TokenCapacity structs.Tokens
	// CacheBlocks bounds the prefix cache, in blocks of prefix.BlockTokens
	// tokens; 4,096 by default, none when negative.
	CacheBlocks int
	// LoadLag is how old load reports are.
	LoadLag time.Duration
	// EventLag is how late cache events are published.
	EventLag time.Duration
	// EventGapRate is the share of cache events that are lost, 0 to 1.
	EventGapRate float64
	// CheckFencing makes the engine refuse orders with an old fencing number.
	CheckFencing bool
	// OrderTime is how long an order that changes something takes; 200 ms by
	// default, none when negative.
	OrderTime time.Duration
	// KeepAlive is the interval of empty lines on a silent answer; 1 s by
	// default.
	KeepAlive time.Duration
	// RetainAnswers is how long a finished answer can be resumed; 1 min by
	// default.
	RetainAnswers time.Duration
	// Seed drives the lost cache events.
	Seed uint64
	// Speedup divides every duration of the engine's own work; 1 by default.
	Speedup float64
}

func (o Options) withDefaults() Options {
	o.PrefillRate = cmp.Or(o.PrefillRate, defaultPrefillRate)
	o.DecodeRate = cmp.Or(o.DecodeRate, defaultDecodeRate)
	o.MaxBatch = cmp.Or(o.MaxBatch, defaultMaxBatch)
	o.TokenCapacity = cmp.Or(o.TokenCapacity, defaultTokenCapacity)
	o.CacheBlocks = cmp.Or(o.CacheBlocks, defaultCacheBlocks)
	o.OrderTime = cmp.Or(o.OrderTime, defaultLoadTime)
	o.KeepAlive = cmp.Or(o.KeepAlive, defaultKeepAlive)
	o.RetainAnswers = cmp.Or(o.RetainAnswers, defaultRetainAnswers)
	o.Speedup = cmp.Or(o.Speedup, 1)
	return o
}

// Faults are the fault switches. The zero value is a healthy engine.
type Faults struct {
	// RefuseConnects makes the system refuse new connections.
	RefuseConnects bool `json:"refuse_connects,omitempty"`
	// SwallowNew makes new connections silent: bytes vanish both ways.
	SwallowNew bool `json:"swallow_new,omitempty"`
	// Reject answers 503 to generations before anything runs.
	Reject bool `json:"reject,omitempty"`
	// Hang stops all answers; they go on when it is cleared. Keep-alives
	// stop too.
	Hang bool `json:"hang,omitempty"`
	// CutAfterFrames cuts a generation's connection after that many frames;
	// 0 cuts none. Resumed connections aren't cut.
	CutAfterFrames int `json:"cut_after_frames,omitempty"`
	// SlowFactor multiplies the time of prefill and decode; 0 and 1 mean
	// usual speed.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// WrongAttemptFrame sends, as the frame with this number, a frame of
	// another attempt; 0 sends none.
	WrongAttemptFrame int `json:"wrong_attempt_frame,omitempty"`
	// SkipFrame leaves out the frame with this number; 0 leaves out none.
	SkipFrame int `json:"skip_frame,omitempty"`
	// FailAfterFrames fails a request after that many frames; 0 fails none.
	FailAfterFrames int `json:"fail_after_frames,omitempty"`
	// IgnoreOrders accepts orders without carrying them out.
	IgnoreOrders bool `json:"ignore_orders,omitempty"`
	// HideEvents publishes no cache events while it is set.
	HideEvents bool `json:"hide_events,omitempty"`
}

// Connections returns the switches that all stand-ins share.
func (f Faults) Connections() netfault.ConnectionFaults {
	return netfault.ConnectionFaults{RefuseConnects: f.RefuseConnects, SwallowNew: f.SwallowNew}
}
