// Package lease grants named leases by log order, with fencing numbers.
//
// A lease is a record of the log; its fencing number is the record's offset above
// a base, so that it rises with every grant, even after the log was lost. Whether a record grants, renews or fails follows from the records and
// the log service's times alone, so that every reader agrees. A holder measures
// its own lease on its monotonic clock, from before the record was sent.
//
// Table is the fold, Holder the state machine of one process, and Leases the
// shell around it.
package lease
