// Package replication keeps one configuration alike on every instance.
//
// Replica is the decision part: a state machine that folds the configuration
// stream, catches up from peers or from the log, settles commits and decides
// when to append a snapshot. Runner is the shell that reads, appends and sends
// for it.
package replication
