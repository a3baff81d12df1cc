package daemon

import "time"

// pacer is a ticker with a longer interval while its loop is idle, which reduces
// wake-ups of an idle daemon.
type pacer struct {
	ticker                     *time.Ticker
	busyInterval, idleInterval time.Duration
	isIdle                     bool
}

func newPacer(busy, idle time.Duration) *pacer {
	return &pacer{ticker: time.NewTicker(busy), busyInterval: busy, idleInterval: idle}
}

// setIdle selects the interval of the following ticks.
func (p *pacer) setIdle(idle bool) {
	if idle == p.isIdle {
		return
	}
	p.isIdle = idle
	if idle {
		p.ticker.Reset(p.idleInterval)
		return
	}
	p.ticker.Reset(p.busyInterval)
}

func (p *pacer) stop() { p.ticker.Stop() }
