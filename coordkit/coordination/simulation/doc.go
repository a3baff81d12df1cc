// Package simulation runs the state machines of several instances in virtual
// time, over an in-memory network and log, with random faults derived from one
// seed.
//
// It checks, through coordkit/protocol/invariant, that the work of a key runs
// at most once, that "not run" is only reported for work that did not run, that
// every instance accepts the same history and its revision never decreases,
// that accepted changes reach every instance in time, and that endpoints never
// accept an order of an earlier lease holder after one of a later holder.
package simulation
