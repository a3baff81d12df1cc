// Package simulation runs the state machines of several instances in virtual
// time, over an in-memory network and log, with random faults from one seed.
//
// It checks, through coordkit/protocol/invariant, that the work of a key runs
// at most once, that "not run" is true, that every instance accepts the same
// history and never goes back, that accepted changes are in force everywhere in
// time, and that endpoints never take the orders of two holders out of order.
package simulation
