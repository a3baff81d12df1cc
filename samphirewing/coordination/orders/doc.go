// Package orders reconciles engines with the models that operators declare.
//
// A Controller is the state machine of one endpoint. If the engine differs from
// its declaration, the Controller acquires the endpoint's lease, waits for the
// orders of a displaced holder to expire if the engine does not check fencing
// numbers, reserves a load from the weight store, sends the complete desired
// state, and reads the state back. Budget serialises the loads from one weight
// store. Runner runs the Controllers of the endpoints that this instance owns
// and carries out their effects.
package orders
