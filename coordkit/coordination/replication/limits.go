package replication

import "time"

const (
	// StaleAfter is how long an instance may know of a newer revision without
	// having applied it before it accepts no new work.
	StaleAfter = 4 * time.Second

	// pollIntervalPerPeer, multiplied by the number of instances, is the poll
	// interval of one instance, so that the total read rate does not grow with
	// their number.
	pollIntervalPerPeer = 25 * time.Millisecond
	minPollInterval     = 250 * time.Millisecond
	maxPollInterval     = 10 * time.Second
	// maxPollIntervalWithoutPeers applies once no peer has sent a message for
	// peerTimeout.
	maxPollIntervalWithoutPeers = time.Second
	peerTimeout                 = 3 * time.Second
	// urgentPollInterval applies while a commit is pending.
	urgentPollInterval = 100 * time.Millisecond
	// readRetryDelay is the delay before the next read after a failed one.
	readRetryDelay = time.Second
	// fetchRetryDelay is the minimum interval between requests to peers while
	// behind.
	fetchRetryDelay = 500 * time.Millisecond
	// peerGrace is how long a starting instance waits for peers before it reads
	// the log.
	peerGrace = time.Second
	// newStreamGrace is how long a starting instance waits for peers to confirm
	// that they have no state before it accepts a log without a snapshot: the
	// log may just have lost its records.
	newStreamGrace = 5 * time.Second
	// newStreamMinPeers is how many peers must confirm it.
	newStreamMinPeers = 3
	// newStreamRetryDelay is the interval between loads of such a log.
	newStreamRetryDelay = 100 * time.Millisecond
	// appendRetryDelay is the delay before an append with an unknown outcome is
	// repeated.
	appendRetryDelay = time.Second

	// openingWindow is how long, by the log's clock, instances may offer newer
	// states after a new generation was opened.
	openingWindow = 20 * time.Second
	// lossConfirmTime is how long a stream must appear lost before it is
	// reloaded.
	lossConfirmTime = 2 * time.Second
	// staggerDelay separates the instances that would append the same snapshot.
	staggerDelay = 2 * time.Second
	// snapshotRetryDelay is the delay after a snapshot that could not be
	// appended.
	snapshotRetryDelay = 5 * time.Second

	readBatchRecords  = 256
	loadWindowRecords = 2048
	loadWindowGrowth  = 4
	// maxRecentRecords and maxRecentBytes bound the records cached for peers.
	maxRecentRecords = 1024
	maxRecentBytes   = 1 << 20
	// maxRevisionMarks bounds the newer revisions whose first sighting is
	// recorded.
	maxRevisionMarks = 64
)
