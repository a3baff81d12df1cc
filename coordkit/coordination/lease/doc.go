// Package lease grants named leases by log order, with fencing numbers.
//
// A lease is a record of the log. Its fencing number rises with every grant in log
// order; it begins with the time in milliseconds, so that it also rises when the
// log has lost its records and offsets begin again. Whether a record grants, renews or fails follows from the records and
// the log service's times alone, so that every reader agrees. A holder measures
// its own lease on its monotonic clock, from before the record was sent.
//
// Table is the fold, Holder the state machine of one process, and Leases the
// shell around it.
package lease
