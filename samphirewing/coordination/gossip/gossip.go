// Package gossip decides when an entry that daemons pass on to each other is sent
// again, since messages may be lost and daemons start at any time.
package gossip

import "time"

const (
	// sendsOfNews is the number of messages in which a change is sent. Where one
	// message in ten is lost, one change in 100,000 has to wait for the refresh of
	// all entries.
	sendsOfNews = 5
	// refreshInterval is the time between two messages with all entries.
	refreshInterval = time.Second
)

// Pending is the number of messages in which an entry is still to be sent.
type Pending int

// Renew marks the entry as changed.
func (p *Pending) Renew() { *p = sendsOfNews }

// Repeat marks the entry to be sent at least once more.
func (p *Pending) Repeat() { *p = max(*p, 1) }

// Due reports whether the entry is to be sent.
func (p *Pending) Due() bool { return *p > 0 }

// Sent counts one message with the entry.
func (p *Pending) Sent() { *p = max(*p-1, 0) }

// Take reports whether the entry goes into the next message. refresh is set if
// all entries do.
func (p *Pending) Take(refresh bool) bool {
	if refresh {
		p.Repeat()
	}
	due := p.Due()
	p.Sent()
	return due
}

// Refresh is the schedule of messages with all entries.
type Refresh struct{ last time.Time }

// Due reports whether the next message has all entries, and counts it as sent.
func (r *Refresh) Due(now time.Time) bool {
	if now.Sub(r.last) < refreshInterval {
		return false
	}
	r.last = now
	return true
}
