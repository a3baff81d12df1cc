// Package orders brings engines to the models that operators declare.
//
// A Controller is the state machine of one endpoint: it takes the endpoint's
// lease when the engine differs from what is declared, waits out an earlier
// holder where the engine does not check fencing numbers, asks for its share of
// the weight store, sends the full desired state, and reads it back. Budget
// paces the loads of one weight store. Runner is the shell of the endpoints
// that this instance owns.
package orders
