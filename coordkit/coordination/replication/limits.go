package replication

import "time"

const (
	// StaleAfter is how long an instance may know of a newer revision without
	// having it in force before it takes no new work.
	StaleAfter = 4 * time.Second

	// pollPerPeer times the number of instances is the time between two reads
	// of one instance, so that all together read at a steady rate.
	pollPerPeer = 25 * time.Millisecond
	pollMin     = 250 * time.Millisecond
	pollMax     = 10 * time.Second
	// pollAlone is the time between reads when no peer is heard.
	pollAlone = time.Second
	// aloneAfter is the silence of peers after which pollAlone is used.
	aloneAfter = 3 * time.Second
	// pollUrgent is the time between reads while a commit waits or a peer
	// could not help an instance that is behind.
	pollUrgent = 100 * time.Millisecond
	// pollFailed is the time to the next read after a failed one.
	pollFailed = time.Second
	// fetchRetry is the time between requests to peers while behind.
	fetchRetry = 500 * time.Millisecond
	// peerGrace is how long a starting instance waits for peers before it
	// reads the log.
	peerGrace = time.Second
	// youngGrace is how long a starting instance waits for peers to tell that
	// they hold nothing, before it believes a log without any snapshot: the
	// log may just have lost its records.
	youngGrace = 5 * time.Second
	// youngPeers is how many peers must tell so.
	youngPeers = 3
	// youngRetry is the time between looks at such a log.
	youngRetry = 100 * time.Millisecond
	// appendRetry is when an append of unknown fate is made again.
	appendRetry = time.Second

	// openingWindow is the time, by the log's clock, in which instances may
	// offer newer states after a stream was lost.
	openingWindow = 20 * time.Second
	// lossConfirm is how long a stream must look lost before it is treated so.
	lossConfirm = 2 * time.Second
	// turnDelay separates instances that would append the same snapshot.
	turnDelay = 2 * time.Second
	// snapshotRetry is the pause after a snapshot that could not be appended.
	snapshotRetry = 5 * time.Second

	readLimitRecords  = 256
	loadWindowRecords = 2048
	loadWindowGrowth  = 4
	// recentRecords and recentBytes bound the records kept for peers.
	recentRecords = 1024
	recentBytes   = 1 << 20
	// behindMarks bounds the newer revisions that are remembered with a time.
	behindMarks = 64
)
