package aggregation

import (
	"slices"
	"time"
)

const (
	// listingReaders is the number of daemons that read a topic's listing from the
	// store at once when all daemons start, divided among the groups. So many listings
	// of a megabyte take 0.1 s on a link of 4 Gbit/s. minListingReaders is the minimum
	// in a group.
	listingReaders    = 48
	minListingReaders = 2
	// listingTimeout is how long the others wait for the listing from another
	// daemon. Finding a parent takes about 0.2 s, and the parent's own listing as
	// long.
	listingTimeout = 400 * time.Millisecond
	// listingStagger separates the reads of the daemons of a group that have waited
	// in vain, so that the store is not asked by all of them at a time. The last one
	// of a group reads 0.9 s after its start.
	listingStagger = 15 * time.Millisecond
)

// ListingDelay returns how long a daemon that starts waits for a topic's listing
// from another daemon before it reads the listing from the store itself.
// Otherwise, when all daemons of a large deployment restart, the store has to send
// each of them the listings of all topics at once.
func (n *Node) ListingDelay(now time.Time) time.Duration {
	groups, own := divide(n.options.Record, false, n.options.Table.Reachable(now))
	rank := slices.IndexFunc(groups[own], func(c candidate) bool { return c.id == n.options.Self.ID })
	readers := max(listingReaders/len(groups), minListingReaders)
	if rank < readers {
		return 0
	}
	return listingTimeout + time.Duration(rank-readers)*listingStagger
}
