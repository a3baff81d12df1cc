// Package crossdomain decides, for one pool, when sending a request to another
// failure domain is worthwhile, and how much of the traffic to send.
//
// The load that it handles: demand rises in waves that are out of phase in four
// domains, half of the callers move to another domain, and one domain has 1.6 times
// the load that its own endpoints can carry, while traffic between domains is slower
// and billed.
//
// For each other domain, the Controller moves a share of this daemon's traffic
// towards the balance of the domains' delays. A request's cost of leaving the domain
// is the longer round trip and the price of its bytes; it rises as the traffic that
// leaves exceeds the share. The cost only orders endpoints that can take a request:
// no request waits for it.
package crossdomain

import (
	"math"
	"time"
)

const (
	// ConstantCostMs is the cost of leaving the domain where the controller does not
	// take effect, and the least cost elsewhere.
	ConstantCostMs = 2.0
	// slowLinkMs and fastLinkMs are by how much a round trip must be longer than within
	// the domain for the controller to take effect, and to cease to: up to about the
	// constant, that is no reason, and estimates vary by some tenths of a millisecond.
	slowLinkMs = 3.0
	fastLinkMs = ConstantCostMs
	// bytesPerMiB converts the price.
	bytesPerMiB = 1 << 20
	// holdFactor bounds the cost of traffic over the share, in base costs: a request
	// leaves the domain in any case where that saves it four times what it costs.
	holdFactor = 3.0
	// shareSpread is by how much the traffic to all other domains exceeds its shares
	// when its cost is highest.
	shareSpread = 0.1
	// maxRate is the largest change of all shares together in a second, so that a
	// share of a third follows a burst in 0.7 s, and moves little in the age of a view
	// (0.3 s).
	maxRate = 0.5
	// fallTime is the time constant in which a share falls that costs fallRateMs or
	// more, so that two domains do not send each other their loads when their waves
	// cross.
	fallTime   = 700 * time.Millisecond
	fallRateMs = 150.0
	// fullRateMs is the gain at which shares rise with maxRate: the own domain is full,
	// and the other idle.
	fullRateMs = maxDelayMs
	// deadBandCosts is the gain, in base costs, below which a share stays as it is.
	deadBandCosts = 0.5
	// maxDelayMs bounds the delay assumed for a domain that is full.
	maxDelayMs = 300.0
	// maxUtilisation bounds the utilisation in the formula for the wait.
	maxUtilisation = 0.98
	// staleDecay is the time constant in which shares decay without news.
	staleDecay = time.Second
	// placementWindow is the time constant of the traffic that leaves.
	placementWindow = time.Second
	// maxStep bounds the time for which one update changes shares, such as after a
	// pause of this process.
	maxStep = 200 * time.Millisecond
	// beginShare and endShare are the shares at which leaving the domain is logged
	// to begin and to end.
	beginShare = 0.1
	endShare   = 0.02
)

// State is the state of a pool's endpoints in one domain.
type State struct {
	// Listed and Usable are the numbers of endpoints that are listed, and of those that
	// can be used.
	Listed int
	Usable int
	// Slots and Running are sums over the usable endpoints; Running counts the
	// requests of all daemons.
	Slots   int
	Running int
	// WorkMs is the mean time that a request waits at an endpoint for the work ahead
	// and for repeats of failures.
	WorkMs float64
}

// lost reports whether most of the endpoints can't be used. A domain that has been
// lost or partitioned shows at the endpoints that were tried first.
func (s State) lost() bool { return 2*s.Usable <= s.Listed }

// DelayMs returns the expected time by which a domain delays a new request. Its wait
// for a slot is that of a queue with many servers (the approximation of Sakasegawa),
// so that it rises before all slots are taken.
func (s State) DelayMs(residenceMs float64) float64 {
	if s.Usable == 0 || s.Slots == 0 {
		return maxDelayMs
	}
	slots := float64(s.Slots)
	utilisation := min(float64(s.Running)/slots, maxUtilisation)
	wait := residenceMs * math.Pow(utilisation, math.Sqrt(2*(slots+1))-1) / (slots * (1 - utilisation))
	return min(wait+s.WorkMs, maxDelayMs)
}

// Input is what one update is based on.
type Input struct {
	Own    State
	Others map[string]State
	// ResidenceMs is the time for which a request occupies a slot.
	ResidenceMs float64
	// Bytes is the mean size of a request and its answer.
	Bytes float64
	// Fresh is set if recent news of the other daemons is known, or there are none.
	Fresh bool
}

// Settings configures a Controller.
type Settings struct {
	Own string
	// PriceMsPerMiB is how long a caller may rather wait than send a MiB to another
	// domain.
	PriceMsPerMiB float64
	Latencies     Latencies
}

// Controller holds the shares of one daemon and pool. It is not safe for concurrent
// use.
// Invariant: shares are at least zero, and their sum is at most one.
type Controller struct {
	settings  Settings
	links     map[string]*Link
	updatedAt time.Time
	// placed is the decaying number of placements, in any domain.
	placed   float64
	placedAt time.Time
	// active is set while any link is.
	active bool
}

// Link is the way from the own to another domain.
type Link struct {
	controller *Controller
	domain     string
	// slow is set while the link's round trip is long, active while the controller
	// takes effect on the link.
	slow    bool
	active  bool
	extraMs float64
	share   float64
	// left is the decaying number of placements in the other domain.
	left    float64
	leaving bool
	gainMs  float64
}

// Change is logged: a link's traffic begins or ceases to leave by the controller's
// decision.
type Change struct {
	Domain  string
	Leaving bool
	Share   float64
	ExtraMs float64
	// GainMs is how much shorter a request is delayed in the other domain, less the
	// cost.
	GainMs float64
}

// New returns a controller without traffic.
func New(s Settings) *Controller { return &Controller{settings: s, links: map[string]*Link{}} }

// Link returns the link to another domain.
func (c *Controller) Link(domain string) *Link {
	l := c.links[domain]
	if l == nil {
		l = &Link{controller: c, domain: domain}
		c.links[domain] = l
	}
	return l
}

// Record records that a request was placed; link is nil if it stays in the domain.
func (c *Controller) Record(now time.Time, link *Link) {
	c.decay(now)
	c.placed++
	if link != nil {
		link.left++
	}
}

func (c *Controller) decay(now time.Time) {
	elapsed := now.Sub(c.placedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / placementWindow.Seconds())
	c.placed *= factor
	for _, l := range c.links {
		l.left *= factor
	}
	c.placedAt = now
}

// LeftShare returns the recent share of the traffic that left the domain.
func (c *Controller) LeftShare() float64 {
	left := 0.0
	for _, l := range c.links {
		left += l.leftShare()
	}
	return left
}

func (l *Link) leftShare() float64 { return l.left / max(l.controller.placed, 1) }

// Share returns the share of the traffic that is worth sending.
func (l *Link) Share() float64 { return l.share }

// baseMs returns the cost of the longer round trip and of bytes.
func (l *Link) baseMs(bytes float64) float64 {
	return max(l.extraMs, ConstantCostMs) + l.controller.settings.PriceMsPerMiB*bytes/bytesPerMiB
}

// CostMs returns the cost of sending a request over the link. It is at least
// ConstantCostMs, so that no more leaves the domain than with the constant.
func (l *Link) CostMs(bytes float64) float64 {
	if !l.active {
		return ConstantCostMs
	}
	spread := shareSpread / float64(len(l.controller.links))
	excess := min(max((l.leftShare()-l.share)/spread, 0), 1)
	return l.baseMs(bytes) * (1 + holdFactor*excess)
}

// Active reports whether the controller takes effect on any link.
func (c *Controller) Active() bool { return c.active }

// Update moves the shares. It returns the changes to log.
func (c *Controller) Update(now time.Time, in Input) (changes []Change) {
	elapsed := min(now.Sub(c.updatedAt), maxStep).Seconds()
	c.updatedAt = now
	c.decay(now)
	ownDelay := in.Own.DelayMs(in.ResidenceMs)
	rising := 0.0
	c.active = false
	for domain, l := range c.links {
		state, known := in.Others[domain]
		l.extraMs = c.settings.Latencies.ExtraMs(c.settings.Own, domain)
		l.slow = l.extraMs > slowLinkMs || l.slow && l.extraMs > fastLinkMs
		// Without endpoints of its own, the domain has nothing to prefer.
		l.active = in.Own.Usable > 0 && (l.slow || c.settings.PriceMsPerMiB > 0)
		c.active = c.active || l.active
		switch {
		case !l.active || !known || state.lost():
			l.share, l.gainMs = 0, 0
		case !in.Fresh:
			l.share *= math.Exp(-elapsed / staleDecay.Seconds())
		default:
			cost := l.baseMs(in.Bytes)
			l.gainMs = ownDelay - state.DelayMs(in.ResidenceMs) - cost
			l.move(beyond(l.gainMs, deadBandCosts*cost), elapsed)
			rising += l.share
		}
	}
	for _, l := range c.links {
		if rising > 1 {
			l.share /= rising
		}
		if change, ok := l.change(); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

// move changes the share by a gain beyond the dead band.
func (l *Link) move(gainMs, seconds float64) {
	switch {
	case gainMs < 0:
		l.share *= math.Exp(-seconds / fallTime.Seconds() * min(-gainMs/fallRateMs, 1))
	case l.share < l.leftShare()+shareSpread:
		// A larger share would not be used up.
		l.share += maxRate / float64(len(l.controller.links)) * seconds * min(gainMs/fullRateMs, 1)
	}
}

// beyond returns by how much a value lies outside of -band to band.
func beyond(value, band float64) float64 {
	switch {
	case value > band:
		return value - band
	case value < -band:
		return value + band
	}
	return 0
}

func (l *Link) change() (Change, bool) {
	if !l.leaving && l.share < beginShare || l.leaving && l.share > endShare {
		return Change{}, false
	}
	l.leaving = !l.leaving
	return Change{Domain: l.domain, Leaving: l.leaving, Share: l.share, ExtraMs: l.extraMs, GainMs: l.gainMs}, true
}
