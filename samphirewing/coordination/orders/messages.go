package orders

import (
	"time"

	"github.com/samphirewing/coordkit/coordination/lease"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/edge"
)

// Spec is what operators declare of one endpoint.
type Spec struct {
	Endpoint structs.EndpointName
	// ChecksFencing is set when the engine refuses old fencing numbers.
	ChecksFencing bool
	Models        []string
	// Adapters and Role are left as they are while DeclaresMore is not set.
	DeclaresMore bool
	Adapters     []string
	Role         string
	// Store names the weight store that the models come from.
	Store string
}

// Event is an input of a Controller.
type Event interface{ controllerEvent() }

// Tick passes the time.
type Tick struct{}

// Declared replaces the declaration.
type Declared struct{ Spec Spec }

// LeaseGranted tells that the endpoint's lease is held.
type LeaseGranted struct{ Grant lease.Grant }

// LeaseEnded tells that the endpoint's lease is not held any more.
type LeaseEnded struct{}

// StateRead is the answer to ReadState.
type StateRead struct {
	State edge.EngineState
	Err   error
}

// LoadAnswered is the answer to AskLoad.
type LoadAnswered struct {
	Granted bool
	// RetryAfter is when asking again is useful.
	RetryAfter time.Duration
	// LoadTime is how long the load takes at the store's rate.
	LoadTime time.Duration
	Err      error
}

// OrderAnswered is the answer to SendOrder.
type OrderAnswered struct {
	State edge.EngineState
	Err   error
}

func (Tick) controllerEvent()          {}
func (Declared) controllerEvent()      {}
func (LeaseGranted) controllerEvent()  {}
func (LeaseEnded) controllerEvent()    {}
func (StateRead) controllerEvent()     {}
func (LoadAnswered) controllerEvent()  {}
func (OrderAnswered) controllerEvent() {}

// Effect is an output of a Controller.
type Effect interface{ controllerEffect() }

// WantLease asks for the endpoint's lease, ReleaseLease gives it back.
type WantLease struct{}

// ReleaseLease gives the endpoint's lease back.
type ReleaseLease struct{}

// RaiseFencing asks for a number above one that the engine has seen.
type RaiseFencing struct{ Above lease.Fencing }

// ReadState asks the engine for its state.
type ReadState struct{}

// AskLoad asks the store's keeper for a load of models.
type AskLoad struct {
	Store  string
	Models []string
}

// SendOrder sends an order. The shell checks the lease on the monotonic clock
// right before, and sends nothing when it has ended.
type SendOrder struct{ Order edge.EngineOrder }

// Settled tells that the engine serves what is declared.
type Settled struct{}

func (WantLease) controllerEffect()    {}
func (ReleaseLease) controllerEffect() {}
func (RaiseFencing) controllerEffect() {}
func (ReadState) controllerEffect()    {}
func (AskLoad) controllerEffect()      {}
func (SendOrder) controllerEffect()    {}
func (Settled) controllerEffect()      {}
