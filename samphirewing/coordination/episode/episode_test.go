package episode

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

const (
	testStreams = 3
	testRunning = 4
	testGapMs   = 8.0
)

// playedEngine plays the streams of one daemon at one engine.
type playedEngine struct {
	Engine
	random *rand.Rand
	// slow is the factor by which the engine is slower than usual.
	slow float64
	// queue holds events that are late on their links.
	queue []time.Time
	due   float64
}

func (e *playedEngine) play(now time.Time, streams, running int) {
	e.due += float64(streams) * ms(SampleInterval) / (testGapMs * (1 + 0.1*float64(running)) * e.slow)
	for ; e.due >= 1; e.due-- {
		e.queue = append(e.queue, now.Add(time.Duration(e.random.Float64()*float64(15*time.Millisecond))))
	}
	var later []time.Time
	for _, at := range e.queue {
		if at.After(now) {
			later = append(later, at)
		} else {
			e.Meter.Add(1)
		}
	}
	e.queue = later
}

type played struct {
	engines []*playedEngine
	now     time.Time
	streams int
	running int
	pace    Pace
	changes map[Change]int
	// first is when the first change was seen.
	first time.Time
}

func newPlayed(engines int) *played {
	p := &played{now: start, streams: testStreams, running: testRunning, changes: map[Change]int{}}
	for i := range engines {
		e := &playedEngine{random: rand.New(rand.NewPCG(1, uint64(i))), slow: 1}
		for range testStreams {
			e.Meter.Begin()
		}
		p.engines = append(p.engines, e)
	}
	p.run(10 * time.Second)
	return p
}

func (p *played) run(length time.Duration) {
	for end := p.now.Add(length); p.now.Before(end); {
		p.now = p.now.Add(SampleInterval)
		p.pace.BeginSample()
		for _, e := range p.engines {
			e.play(p.now, p.streams, p.running)
			e.Sample(p.now, p.running, &p.pace)
		}
		for _, e := range p.engines {
			change := e.Judge(p.now, &p.pace)
			if change != Unchanged && p.first.IsZero() {
				p.first = p.now
			}
			p.changes[change]++
		}
	}
}

// Guards against episodes that are noticed too late to be of use, or not ended.
func TestEpisodeIsNoticedAndEnds(t *testing.T) {
	p := newPlayed(6)
	assert.Equal(t, p.changes[Began], 0)
	p.engines[0].slow = 2.5
	begin := p.now
	p.run(LongestEpisode)
	assert.Equal(t, p.changes[Began], 1)
	delay := p.first.Sub(begin)
	t.Logf("noticed after %v, slowdown %.2f", delay, p.engines[0].Slowdown(p.now))
	assert.Assert(t, delay <= 200*time.Millisecond, "noticed after %v", delay)
	p.engines[0].slow = 1
	p.run(200 * time.Millisecond)
	assert.Equal(t, p.changes[Ended], 1)
	p.run(fadeTime)
	assert.Equal(t, p.engines[0].Slowdown(p.now), 1.0)
}

// Guards against a standing engine that sends no event at all going unnoticed.
func TestStandstillIsNoticed(t *testing.T) {
	p := newPlayed(2)
	p.engines[0].slow = 1e6
	p.run(200 * time.Millisecond)
	assert.Equal(t, p.changes[Began], 1)
}

// Guards against lasting slowness that keeps an engine excluded: it becomes the
// engine's own pace, and its end is no episode of the others.
func TestLastingSlownessIsNoEpisode(t *testing.T) {
	p := newPlayed(6)
	p.engines[0].slow = 2.5
	p.run(10 * time.Second)
	assert.Equal(t, p.changes[Lasting], 1)
	assert.Equal(t, p.changes[Began], 1)
	p.engines[0].slow = 1
	p.run(10 * time.Second)
	assert.Equal(t, p.changes[Began], 1)
}

// Guards against load that passes for an episode: more running requests, a paused
// daemon, prefill work, and slowness of all engines at once, such as on a busy link.
func TestLoadIsNoEpisode(t *testing.T) {
	for name, act := range map[string]func(*played){
		"more running": func(p *played) {
			// The pace by load is learned as the load varies.
			for _, n := range []int{1, 8, 2, 6, 1, 8} {
				p.running = n
				p.run(2 * time.Second)
			}
		},
		"paused daemon": func(p *played) {
			for range 10 {
				p.now = p.now.Add(300 * time.Millisecond)
				p.run(time.Second)
			}
		},
		"own prefill": func(p *played) {
			for range 10 {
				p.engines[0].AddWork(100 * time.Millisecond)
				p.engines[0].slow = 1e6
				p.run(100 * time.Millisecond)
				p.engines[0].slow = 1
				p.run(500 * time.Millisecond)
			}
		},
		"all slow": func(p *played) {
			for _, e := range p.engines {
				e.slow = 2.5
			}
			p.run(LongestEpisode)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlayed(6)
			act(p)
			assert.Equal(t, p.changes[Began], 0)
		})
	}
}

// Guards against an engine that stays excluded after this daemon's last stream there
// has ended, so that nothing shows its recovery.
func TestEpisodeWithoutStreamsEnds(t *testing.T) {
	p := newPlayed(2)
	p.engines[0].slow = 2.5
	p.run(300 * time.Millisecond)
	assert.Assert(t, p.engines[0].InEpisode())
	for range testStreams {
		p.engines[0].Meter.End()
	}
	p.streams = 0
	p.run(maxEpisode)
	assert.Equal(t, p.engines[0].Slowdown(p.now), 1.0)
}

// BenchmarkMeter is the cost of one event.
func BenchmarkMeter(b *testing.B) {
	var m Meter
	for b.Loop() {
		m.End()
		m.Begin()
		m.Add(1)
	}
}
