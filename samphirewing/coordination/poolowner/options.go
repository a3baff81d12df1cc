package poolowner

import (
	"time"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/coordination/queue"
	"github.com/samphirewing/samphirewing/coordination/retrybudget"
	"github.com/samphirewing/samphirewing/coordination/speed"
	"github.com/samphirewing/samphirewing/coordination/window"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Options configures an owner. Zero values select the defaults.
type Options struct {
	Pool structs.PoolName
	// Shard is the index of this owner's part of the pool, from 0 to Shards-1.
	Shard  int
	Shards int
	Self   instance.Process
	// Seed seeds the sampling of candidates.
	Seed uint64
	// Events receives the owner's numbered events.
	Events events.Sink

	// GrantValidFor is how long after receiving a grant an entry may start the
	// dispatch.
	GrantValidFor time.Duration
	// DrainDelay is how long the slot of a request stays occupied after the
	// request should have ended, if no message about it is received.
	DrainDelay time.Duration
	// ReofferInterval is the interval at which entries offer their requests
	// again. A running request that is missing for maxMissedReoffers intervals
	// is released. Zero means that entries do not repeat offers.
	ReofferInterval time.Duration
	// MaxRunTime is the time to the deadline for requests without one.
	MaxRunTime time.Duration
	// DefaultQueueLimit applies if the pool's configuration sets no limit.
	DefaultQueueLimit int
	// DecisionLimit bounds the decisions retained for Explain.
	DecisionLimit int
	// FinishedLimit and FinishedRetention bound the records of finished
	// requests, which distinguish a late repeat of an offer from a new request.
	FinishedLimit     int
	FinishedRetention time.Duration
	// KeyRetention is how long a granted caller key is retained after its
	// request finished.
	KeyRetention time.Duration
	// MaxPrefixBlocks bounds the prefix index over all endpoints, and
	// MaxPrefixBlocksPerEndpoint its part for one endpoint.
	MaxPrefixBlocks            int
	MaxPrefixBlocksPerEndpoint int
	// Ordering orders the requests of one organisation.
	Ordering queue.Ordering
	// Window bounds the work in flight at one endpoint.
	Window window.Settings
	// SpeedPrior is the assumed speed of endpoints without observations.
	SpeedPrior speed.Prior
	// RetryBudget limits how often returned requests are placed again.
	RetryBudget retrybudget.Settings
	// DecodeWeight scales the decode time in the score of endpoints that meet
	// the deadline.
	DecodeWeight float64
	// ReuseWeight scales the score for prefilling the tokens that the endpoint
	// has not cached.
	ReuseWeight float64
	defect      defect
	// Disabled disables parts of the policy for experiments.
	Disabled Ablation
}

// Defaults of Options.
const (
	DefaultGrantValidFor     = 2 * time.Second
	DefaultDrainDelay        = 10 * time.Second
	DefaultMaxRunTime        = 10 * time.Minute
	DefaultQueueLimit        = 10_000
	DefaultDecisionLimit     = 512
	DefaultFinishedLimit     = 1 << 15
	DefaultFinishedRetention = time.Minute
	DefaultKeyRetention      = 2 * time.Minute

	DefaultMaxPrefixBlocks            = 1 << 18
	DefaultMaxPrefixBlocksPerEndpoint = 1 << 13

	DefaultDecodeWeight = 1.0
	DefaultReuseWeight  = 1.0
)

var defaultOrdering = queue.Ordering{
	SizeFactor:     2,
	AgeLimit:       20 * time.Second,
	DeadlineMargin: 1.5,
}

func (o Options) withDefaults() Options {
	o.Shards = max(o.Shards, 1)
	if o.Events == nil {
		o.Events = events.Discard{}
	}
	setDurationDefault(&o.GrantValidFor, DefaultGrantValidFor)
	setDurationDefault(&o.DrainDelay, DefaultDrainDelay)
	setDurationDefault(&o.MaxRunTime, DefaultMaxRunTime)
	setDurationDefault(&o.FinishedRetention, DefaultFinishedRetention)
	setDurationDefault(&o.KeyRetention, DefaultKeyRetention)
	setIntDefault(&o.DefaultQueueLimit, DefaultQueueLimit)
	setIntDefault(&o.DecisionLimit, DefaultDecisionLimit)
	setIntDefault(&o.FinishedLimit, DefaultFinishedLimit)
	if o.Ordering == (queue.Ordering{}) {
		o.Ordering = defaultOrdering
	}
	setIntDefault(&o.MaxPrefixBlocks, DefaultMaxPrefixBlocks)
	setIntDefault(&o.MaxPrefixBlocksPerEndpoint, DefaultMaxPrefixBlocksPerEndpoint)
	if o.Window == (window.Settings{}) {
		o.Window = window.DefaultSettings
	}
	if o.SpeedPrior == (speed.Prior{}) {
		o.SpeedPrior = speed.DefaultPrior
	}
	if o.RetryBudget == (retrybudget.Settings{}) {
		o.RetryBudget = retrybudget.DefaultSettings
	}
	setFloatDefault(&o.DecodeWeight, DefaultDecodeWeight)
	setFloatDefault(&o.ReuseWeight, DefaultReuseWeight)
	return o
}

// prefixBlocksPerEndpoint is an endpoint's limit in the prefix index, given the
// number of endpoints.
func (o Options) prefixBlocksPerEndpoint(endpoints int) int {
	return min(o.MaxPrefixBlocks/max(endpoints, 1), o.MaxPrefixBlocksPerEndpoint)
}

func setFloatDefault(f *float64, value float64) {
	if *f <= 0 {
		*f = value
	}
}

func setDurationDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

func setIntDefault(i *int, value int) {
	if *i <= 0 {
		*i = value
	}
}
