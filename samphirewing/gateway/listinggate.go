package gateway

import (
	"context"
	"sync"
	"time"
)

// recordsTimeout is how long a daemon that starts waits for the records of the
// other daemons before it lists the other topics without knowing them.
const recordsTimeout = 500 * time.Millisecond

// ListingGate holds the first listings of a daemon that starts until it knows
// whether it reads them from the store or waits for those of other daemons.
type ListingGate struct {
	once  sync.Once
	known chan struct{}
	until time.Time
}

// NewListingGate returns a gate that holds listings.
func NewListingGate() *ListingGate { return &ListingGate{known: make(chan struct{})} }

// Release lets the listings go on, which wait so long for other daemons. Later
// calls have no effect.
func (g *ListingGate) Release(delay time.Duration) {
	g.once.Do(func() {
		g.until = time.Now().Add(delay)
		close(g.known)
	})
}

// Wait returns how long to wait for the listing of another daemon.
func (g *ListingGate) Wait(ctx context.Context) time.Duration {
	timer := time.NewTimer(recordsTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-g.known:
		return time.Until(g.until)
	}
	return 0
}
