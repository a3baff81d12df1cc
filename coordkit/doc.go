// Package coordkit is a library of coordination components for processes that
// share only an append-only log service and an eventually consistent membership
// list.
//
// It has four layers, one folder each:
//
//   - transport: clocks and sessions between instances
//   - protocol: identities, messages and invariant checks
//   - coordination: membership, ownership, replication, bookings and leases
//   - state: the log interface and the deterministic state built from its records
//
// Decisions are made by single-threaded state machines. They take events and
// the current time and return effects; they start no goroutine, open no socket,
// read no clock and use no global random source.
package coordkit
