package crossdomain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func state(running int) State { return State{Listed: 5, Usable: 5, Slots: 35, Running: running} }

func newController(extraMs, price float64) *Controller {
	latencies := Latencies{}
	for range minSamples {
		latencies.Observe("a", Connect, 1)
		latencies.Observe("b", Connect, 1+extraMs)
	}
	c := New(Settings{Own: "a", PriceMsPerMiB: price, Latencies: latencies})
	c.Link("b")
	return c
}

// play updates the controller for some seconds, in which all of its share is sent.
func play(c *Controller, from time.Time, seconds int, in Input) time.Time {
	in.ResidenceMs = 500
	now := from
	for i := range seconds * 10 {
		now = now.Add(100 * time.Millisecond)
		c.Update(now, in)
		for j := range 20 {
			link := c.Link("b")
			if float64((i*7+j)%20) >= 20*link.Share() {
				link = nil
			}
			c.Record(now, link)
		}
	}
	return now
}

// Guards against a cost other than the constant where a deployment states nothing,
// links are fast or not measured, or the domain has no endpoints of its own.
func TestConstantCostWhereNothingCallsForAnother(t *testing.T) {
	full := Input{Own: state(35), Others: map[string]State{"b": state(0)}, Fresh: true}
	for name, c := range map[string]*Controller{"fast link": newController(2.5, 0), "not measured": New(Settings{Own: "a", Latencies: Latencies{}})} {
		c.Link("b")
		play(c, start, 5, full)
		assert.Equal(t, c.Link("b").CostMs(1<<20), ConstantCostMs, name)
	}
	c := newController(7, 100)
	full.Own = State{}
	play(c, start, 5, full)
	assert.Equal(t, c.Link("b").CostMs(1<<20), ConstantCostMs)
}

// Guards against a share that does not follow an overload within a second and a half,
// or outlasts it, and against a cost below that of the way.
func TestShareFollowsOverload(t *testing.T) {
	c := newController(7, 0)
	overload := Input{Own: state(35), Others: map[string]State{"b": state(10)}, Fresh: true}
	even := Input{Own: state(20), Others: map[string]State{"b": state(20)}, Fresh: true}
	now := play(c, start, 1, even)
	assert.Equal(t, c.Link("b").Share(), 0.0)
	now = play(c, now, 2, overload)
	assert.Assert(t, c.Link("b").Share() >= beginShare)
	assert.Assert(t, c.Link("b").CostMs(0) >= 7)
	even.Own, even.Others = state(10), map[string]State{"b": state(34)}
	play(c, now, 5, even)
	assert.Assert(t, c.Link("b").Share() < endShare)
}

// Guards against traffic that leaves although its price is above what it gains.
func TestPriceOfBytesKeepsTrafficHome(t *testing.T) {
	busy := Input{Own: state(34), Others: map[string]State{"b": state(10)}, Fresh: true, Bytes: 64 << 10}
	free, priced := newController(7, 0), newController(7, 4000)
	play(free, start, 3, busy)
	play(priced, start, 3, busy)
	assert.Assert(t, free.Link("b").Share() > 0)
	assert.Equal(t, priced.Link("b").Share(), 0.0)
	assert.Assert(t, priced.Link("b").CostMs(64<<10) >= 7+4000.0/16)
}

// Guards against a share that rises without news, or is kept for a lost domain.
func TestStaleNewsAndLostDomainsGetNoMore(t *testing.T) {
	overload := Input{Own: state(35), Others: map[string]State{"b": state(0)}, Fresh: true}
	c := newController(7, 0)
	now := play(c, start, 3, overload)
	overload.Fresh = false
	before := c.Link("b").Share()
	now = play(c, now, 1, overload)
	assert.Assert(t, c.Link("b").Share() < before)
	overload.Fresh, overload.Others["b"] = true, State{Listed: 5, Usable: 2, Slots: 14}
	c.Update(now, overload)
	assert.Equal(t, c.Link("b").Share(), 0.0)
}

// Guards against scheduling delay that passes for a long link.
func TestRoundTripIsNearTheShortest(t *testing.T) {
	l := Latencies{}
	for i := range 100 {
		delay := float64(i % 10)
		l.Observe("a", Connect, 0.5+delay)
		l.Observe("b", Connect, 7+delay)
	}
	extra := l.ExtraMs("a", "b")
	assert.Assert(t, extra > 5 && extra < 8, "%v ms", extra)
	assert.Equal(t, l.ExtraMs("a", "c"), 0.0)
}
