// Package episode detects short slow episodes of an engine from the pace of the
// streams that it serves.
//
// The load that it handles: at any moment a part of the engines, such as 15 in
// 100, decodes 2.5 times slower for 0.6 s. The time to first event, from which an
// engine's lasting speed is estimated, is known too late and too rarely for that;
// a running stream shows the engine's pace every few milliseconds.
//
// All streams of one daemon at one engine count into a Meter. Samples of the meter
// are compared with the engine's own pace, which depends on its number of running
// requests. Three causes of a slow stream are told apart: more running requests and
// prefill work that this daemon gave the engine (load), a pace that stays slow for
// longer than maxEpisode (lasting slowness, which becomes the engine's own pace),
// and slowness of all engines at once (this daemon or its network).
package episode

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/samphirewing/samphirewing/coordination/linefit"
)

const (
	// SampleInterval is the intended time between two samples.
	SampleInterval = 20 * time.Millisecond
	// maxSampleGap is the longest time between two samples that are compared. A
	// longer one means that this process was paused, and streams with it.
	maxSampleGap = 100 * time.Millisecond
	// minWindow and maxWindow bound the time constant of the recent pace. Within
	// them it is long enough for twice minExpected events.
	minWindow = 100 * time.Millisecond
	maxWindow = 250 * time.Millisecond
	// minExpected is the number of events that the recent window must contain at
	// the engine's own pace for a judgement.
	minExpected = 8.0
	// minMissing is the number of events that must be missing in the recent window
	// at the start of an episode, so that the jitter of a link is none.
	minMissing = 4.0
	// beginSlowdown and endSlowdown are the slowdowns at which an episode begins
	// and ends. The window shows 1.6 after 0.1 s of an engine 2.5 times slower.
	beginSlowdown = 1.6
	endSlowdown   = 1.25
	// maxSlowdown bounds the slowdown of an engine that sends nothing.
	maxSlowdown = 8.0
	// LongestEpisode is the longest slow period that counts as short.
	LongestEpisode = 600 * time.Millisecond
	// minGapMs bounds the expected time between two events of a stream.
	minGapMs = 0.1
	// maxEpisode is the time after which a slow period counts as lasting:
	// LongestEpisode, and the time in which its begin and end are noticed.
	maxEpisode = LongestEpisode + 2*minWindow
	// fadeTime is the time in which the slowdown fades out after an episode, so
	// that the engine is not flooded.
	fadeTime = 2 * minWindow
	// observationTime and observationEvents are the least time and number of events in
	// one observation of the own pace. What is observed as an episode is noticed is
	// dropped.
	observationTime   = 200 * time.Millisecond
	observationEvents = 20.0
	// observationWeight is the weight of an observation in the own pace, which thus
	// follows some seconds: long compared with an episode.
	observationWeight = 0.03
	// minObservations is the number of observations from which the own pace is known.
	minObservations = 3
	// modelDecay makes the pool's model follow its last few hundred observations;
	// minModelWeight is the weight from which it is used.
	modelDecay     = 0.995
	minModelWeight = 20.0
	// minGrowth bounds the factor by which the model expects fewer running requests to
	// be faster.
	minGrowth = 0.3
	// fasterThanOwn is the ratio of events over expected events above which, after
	// maxEpisode, the own pace is outdated: lasting slowness has ended.
	fasterThanOwn = 1.5
)

// Meter counts the events of one daemon's streams at one engine. It is safe for
// concurrent use.
type Meter struct{ events, streams atomic.Int64 }

// Begin records the first event of a stream.
func (m *Meter) Begin() { m.streams.Add(1) }

// End records the end of a stream that has begun.
func (m *Meter) End() { m.streams.Add(-1) }

// Streams returns the number of streams that have begun and not ended.
func (m *Meter) Streams() int64 { return m.streams.Load() }

// Add records events of a stream that has begun.
func (m *Meter) Add(events int) { m.events.Add(int64(events)) }

// Change is how a judgement changes an engine's state.
type Change int8

// The changes of state.
const (
	Unchanged Change = iota
	Began
	// Ended episodes were short.
	Ended
	// Lasting means that the slow period outlasts an episode.
	Lasting
)

// Pace holds what the engines of a pool have in common.
type Pace struct {
	// expected and observed are the sums of the recent windows of the last samples.
	expected, observed float64
	// growth is the time between two events, relative to the engine's own pace, over
	// the number of running requests.
	growth linefit.Line
}

// BeginSample is called before the engines are sampled.
func (p *Pace) BeginSample() { p.expected, p.observed = 0, 0 }

// factor returns how much longer the time between two events is than with one
// running request.
func (p *Pace) factor(running float64) float64 {
	if p.growth.Weight() < minModelWeight {
		return 1
	}
	base, slope := p.growth.Fit()
	if base+slope <= 0 {
		return 1
	}
	return max((base+slope*running)/(base+slope), minGrowth)
}

// Engine holds the pace of one engine. It is not safe for concurrent use, except
// for its Meter.
type Engine struct {
	Meter Meter

	sampledAt   time.Time
	lastEvents  int64
	lastStreams int64
	// expected and observed are the events of the recent window at the engine's
	// own pace and in fact.
	expected, observed float64
	// ownWork is the time for which prefill that this daemon gave the engine still
	// explains a pause.
	ownWork time.Duration

	// ownMs is the time between two events with one running request, by so many
	// observations. The next fields accumulate the next one: the time sampled, the time
	// of streams, and that times the running requests.
	ownMs                                  float64
	observations                           int
	nextTime                               time.Duration
	nextMs, nextEvents, nextMsTimesRunning float64
	// fasterSince is since when the engine is faster than its own pace; zero if it is
	// not.
	fasterSince time.Time

	// slowdown is above zero during an episode, and while it fades out.
	slowdown float64
	beganAt  time.Time
	endedAt  time.Time
}

// AddWork records prefill work that this daemon gives the engine. Streams pause for
// it without an episode.
func (e *Engine) AddWork(d time.Duration) {
	e.ownWork = min(e.ownWork+d, LongestEpisode)
}

// Idle reports whether sampling the engine has no effect.
func (e *Engine) Idle() bool {
	return e.slowdown == 0 && e.lastStreams == 0 && e.Meter.Streams() == 0
}

// Sample reads the meter. running is the number of requests that the engine runs for
// all daemons.
func (e *Engine) Sample(now time.Time, running int, pool *Pace) {
	events, streams := e.Meter.events.Load(), e.Meter.Streams()
	elapsed := now.Sub(e.sampledAt)
	observed, meanStreams := float64(events-e.lastEvents), float64(streams+e.lastStreams)/2
	e.sampledAt, e.lastEvents, e.lastStreams = now, events, streams
	if elapsed > maxSampleGap {
		e.ownWork = max(0, e.ownWork-elapsed)
		e.expected, e.observed = 0, 0
		return
	}
	explained := min(e.ownWork, elapsed)
	e.ownWork -= explained
	if meanStreams == 0 {
		e.decay(elapsed, minWindow)
		return
	}
	if e.observations >= minObservations {
		gap := max(e.ownMs*pool.factor(float64(running)), minGapMs)
		window := time.Duration(2 * minExpected * gap / meanStreams * float64(time.Millisecond))
		e.decay(elapsed, min(max(window, minWindow), maxWindow))
		e.expected += meanStreams * ms(elapsed-explained) / gap
		e.observed += observed
		pool.expected += e.expected
		pool.observed += e.observed
	}
	if e.slowdown == 0 && explained == 0 {
		e.nextTime += elapsed
		e.nextMs += meanStreams * ms(elapsed)
		e.nextEvents += observed
		e.nextMsTimesRunning += meanStreams * ms(elapsed) * float64(running)
		if e.nextTime >= observationTime && e.nextEvents >= observationEvents {
			e.learn(pool)
		}
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (e *Engine) decay(elapsed, window time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / window.Seconds())
	e.expected *= factor
	e.observed *= factor
}

// learn adds an observation to the own pace and to the pool's model.
func (e *Engine) learn(pool *Pace) {
	running, gap := e.nextMsTimesRunning/e.nextMs, e.nextMs/e.nextEvents
	e.dropNext()
	if e.observations >= minObservations {
		pool.growth.Observe(modelDecay, running, gap/e.ownMs)
	}
	e.observations++
	e.ownMs += max(1/float64(e.observations), observationWeight) * (gap/pool.factor(running) - e.ownMs)
}

func (e *Engine) dropNext() {
	e.nextTime, e.nextMs, e.nextEvents, e.nextMsTimesRunning = 0, 0, 0, 0
}

// adopt makes the recent pace, slower by a ratio, the own pace.
func (e *Engine) adopt(ratio float64) {
	e.ownMs *= ratio
	e.observations = minObservations
	e.expected, e.observed = 0, 0
	e.fasterSince = time.Time{}
	e.dropNext()
}

// Judge updates the engine's state after all engines of its pool have been sampled.
func (e *Engine) Judge(now time.Time, pool *Pace) Change {
	ratio, known := e.recentSlowdown(pool)
	switch {
	case e.inEpisode() && now.Sub(e.beganAt) > maxEpisode:
		if known {
			e.adopt(ratio)
		}
		e.slowdown = 0
		return Lasting
	case e.inEpisode() && known && ratio <= endSlowdown:
		e.endedAt = now
		return Ended
	case e.inEpisode():
		if known {
			e.slowdown = ratio
		}
	case known && ratio >= beginSlowdown && e.expected-e.observed >= minMissing:
		e.dropNext()
		e.slowdown, e.beganAt, e.endedAt = ratio, now, time.Time{}
		return Began
	case e.slowdown > 0 && now.Sub(e.endedAt) >= fadeTime:
		e.slowdown = 0
	}
	e.checkFaster(now, known)
	return Unchanged
}

// checkFaster adopts a pace that has been faster than the own one for long. Events
// that arrive in a burst after a pause on their way are faster for a moment only.
func (e *Engine) checkFaster(now time.Time, known bool) {
	switch {
	case !known || e.observed < fasterThanOwn*e.expected:
		e.fasterSince = time.Time{}
	case e.fasterSince.IsZero():
		e.fasterSince = now
	case now.Sub(e.fasterSince) > maxEpisode:
		e.adopt(e.expected / e.observed)
	}
}

func (e *Engine) inEpisode() bool { return e.slowdown > 0 && e.endedAt.IsZero() }

// recentSlowdown returns how slow the engine has been in the recent window, and
// whether the window contains enough to judge that.
func (e *Engine) recentSlowdown(pool *Pace) (ratio float64, known bool) {
	if e.expected < minExpected {
		return 0, false
	}
	ratio = e.expected / max(e.observed, 1)
	if others := pool.expected - e.expected; others >= minExpected {
		ratio /= max(1, others/max(pool.observed-e.observed, 1))
	}
	return min(ratio, maxSlowdown), true
}

// InEpisode reports whether the engine is in an episode. An episode without
// evidence, since this daemon has no stream there any more, ends after maxEpisode.
func (e *Engine) InEpisode() bool { return e.inEpisode() }

// Slowdown returns how many times slower than usual the engine is now, at least 1.
// It fades out after an episode.
func (e *Engine) Slowdown(now time.Time) float64 {
	if e.slowdown == 0 {
		return 1
	}
	if e.endedAt.IsZero() {
		return e.slowdown
	}
	left := 1 - now.Sub(e.endedAt).Seconds()/fadeTime.Seconds()
	return 1 + max(0, left)*(e.slowdown-1)
}
