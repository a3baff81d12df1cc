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

// Options are the settings of one owner. Zero values take the defaults.
type Options struct {
	Pool structs.PoolName
	// Shard is this owner's part of the pool, from 0 to Shards-1.
	Shard  int
	Shards int
	Self   instance.Process
	// Seed starts the generator that samples candidates.
	Seed uint64
	// Events receives the owner's numbered events.
	Events events.Sink

	// GrantValidFor is how long after receipt an entry may start a dispatch.
	GrantValidFor time.Duration
	// DrainDelay is how long a place stays taken after its request should
	// have ended and nothing was heard.
	DrainDelay time.Duration
	// ReofferInterval is how often entries offer again what they hold; a running
	// request that was left out missedReoffers times is taken as ended. Zero
	// means that entries do not do so.
	ReofferInterval time.Duration
	// LongestRun stands in for the deadline of requests without one.
	LongestRun time.Duration
	// DefaultQueueLimit is used when the pool's configuration sets none.
	DefaultQueueLimit int
	// DecisionLimit bounds the decisions kept for Explain.
	DecisionLimit int
	// EndedLimit and EndedFor bound what is remembered of ended requests, so
	// that a late repeat of an offer is not taken for a new one.
	EndedLimit int
	EndedFor   time.Duration
	// KeyFor is how long a granted caller key is remembered after its
	// request ended.
	KeyFor time.Duration
	// PrefixBlocks bounds the prefix index over all endpoints, and
	// PrefixBlocksEach over one.
	PrefixBlocks     int
	PrefixBlocksEach int
	// Ordering orders the requests of one organisation.
	Ordering queue.Ordering
	// Window bounds the work in flight at one endpoint.
	Window window.Settings
	// SpeedPrior is assumed of endpoints that nothing is known of.
	SpeedPrior speed.Prior
	// Retries bounds placing returned requests again.
	Retries retrybudget.Settings
	// DecodeWeight scales the time of the answer itself in the choice among
	// endpoints that meet the deadline.
	DecodeWeight float64
	// ReuseWeight scales what prefilling again costs the pool.
	ReuseWeight float64
	breakage    breakage
	// Disabled switches parts off, for measurements.
	Disabled Ablation
}

// Defaults of Options.
const (
	DefaultGrantValidFor = 2 * time.Second
	DefaultDrainDelay    = 10 * time.Second
	DefaultLongestRun    = 10 * time.Minute
	DefaultQueueLimit    = 10_000
	DefaultDecisionLimit = 512
	DefaultEndedLimit    = 1 << 15
	DefaultEndedFor      = time.Minute
	DefaultKeyFor        = 2 * time.Minute

	DefaultPrefixBlocks     = 1 << 18
	DefaultPrefixBlocksEach = 1 << 13

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
	setDuration(&o.GrantValidFor, DefaultGrantValidFor)
	setDuration(&o.DrainDelay, DefaultDrainDelay)
	setDuration(&o.LongestRun, DefaultLongestRun)
	setDuration(&o.EndedFor, DefaultEndedFor)
	setDuration(&o.KeyFor, DefaultKeyFor)
	setInt(&o.DefaultQueueLimit, DefaultQueueLimit)
	setInt(&o.DecisionLimit, DefaultDecisionLimit)
	setInt(&o.EndedLimit, DefaultEndedLimit)
	if o.Ordering == (queue.Ordering{}) {
		o.Ordering = defaultOrdering
	}
	setInt(&o.PrefixBlocks, DefaultPrefixBlocks)
	setInt(&o.PrefixBlocksEach, DefaultPrefixBlocksEach)
	if o.Window == (window.Settings{}) {
		o.Window = window.DefaultSettings
	}
	if o.SpeedPrior == (speed.Prior{}) {
		o.SpeedPrior = speed.DefaultPrior
	}
	if o.Retries == (retrybudget.Settings{}) {
		o.Retries = retrybudget.DefaultSettings
	}
	setFloat(&o.DecodeWeight, DefaultDecodeWeight)
	setFloat(&o.ReuseWeight, DefaultReuseWeight)
	return o
}

// prefixBlocksEach is the part of the prefix index that one of so many
// endpoints may take.
func (o Options) prefixBlocksEach(endpoints int) int {
	return min(o.PrefixBlocks/max(endpoints, 1), o.PrefixBlocksEach)
}

func setFloat(f *float64, value float64) {
	if *f <= 0 {
		*f = value
	}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

func setInt(i *int, value int) {
	if *i <= 0 {
		*i = value
	}
}
