// Package replication replicates the configuration to every instance.
//
// Replica is the decision part: a state machine that applies the records of the
// configuration stream, catches up from peers or from the log, completes
// commits and decides when to append a snapshot. Runner executes its effects:
// it reads and appends to the log and exchanges messages with peers.
package replication
