package daemon

import "time"

// pacer is a ticker that slows down while there is nothing to look at, so that
// an idle daemon is seldom woken.
type pacer struct {
	ticker     *time.Ticker
	busy, idle time.Duration
	slow       bool
}

func newPacer(busy, idle time.Duration) *pacer {
	return &pacer{ticker: time.NewTicker(busy), busy: busy, idle: idle}
}

// pace chooses the interval of the ticks to come.
func (p *pacer) pace(idle bool) {
	if idle == p.slow {
		return
	}
	p.slow = idle
	if idle {
		p.ticker.Reset(p.idle)
		return
	}
	p.ticker.Reset(p.busy)
}

func (p *pacer) stop() { p.ticker.Stop() }
