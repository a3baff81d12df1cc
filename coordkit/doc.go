// Package coordkit is a library of coordination parts for processes that share
// nothing but an append-only log service and a lagging membership list.
//
// It is laid out in four layers, each a folder:
//
//   - transport: clocks and sessions between instances
//   - protocol: identities, messages and invariant checks
//   - coordination: membership, ownership, replication, bookings and leases
//   - state: the log interface and the deterministic folds over its records
//
// The decision parts are single-threaded state machines. Events and the time
// go in, effects come out; they start no goroutine, open no socket, read no
// clock and use no global random source.
package coordkit
