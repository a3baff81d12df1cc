// Package lease grants named leases by log order, with fencing numbers.
//
// Leases are acquired, renewed and released by records of a log. The fencing
// number increases with every grant in log order. Its high bits are the time in
// milliseconds, so that it also increases after the log has lost its records and
// offsets start again. Whether a record grants, renews or fails follows only from
// the records and the log service's times, so that all readers agree. A holder
// measures its own lease on its monotonic clock, starting before it sends the
// record.
//
// Table is the state of all leases, Holder the state machine of one process, and
// Leases runs a Holder against the log.
package lease
