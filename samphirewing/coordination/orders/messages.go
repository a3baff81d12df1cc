package orders

import (
	"time"

	"github.com/samphirewing/coordkit/coordination/lease"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/edge"
)

// Spec is the declared state of one endpoint.
type Spec struct {
	Endpoint structs.EndpointName
	// ChecksFencing is set if the engine rejects stale fencing numbers.
	ChecksFencing bool
	Models        []string
	// DeclaresAdaptersAndRole is set if Adapters and Role are declared;
	// otherwise they are left unchanged.
	DeclaresAdaptersAndRole bool
	Adapters                []string
	Role                    string
	// Store names the weight store from which the models are loaded.
	Store string
}

// Event is an input of a Controller.
type Event interface{ controllerEvent() }

// Tick reports the passage of time.
type Tick struct{}

// SpecChanged replaces the declaration.
type SpecChanged struct{ Spec Spec }

// LeaseGranted reports that the endpoint's lease was acquired.
type LeaseGranted struct{ Grant lease.Grant }

// LeaseEnded reports that the endpoint's lease was lost.
type LeaseEnded struct{}

// StateRead is the result of ReadState.
type StateRead struct {
	State edge.EngineState
	Err   error
}

// LoadResult is the result of RequestLoad.
type LoadResult struct {
	Granted bool
	// RetryAfter is the delay after which another request is useful.
	RetryAfter time.Duration
	// LoadTime is how long the load takes at the store's rate.
	LoadTime time.Duration
	Err      error
}

// OrderResult is the result of SendOrder.
type OrderResult struct {
	State edge.EngineState
	Err   error
}

func (Tick) controllerEvent()         {}
func (SpecChanged) controllerEvent()  {}
func (LeaseGranted) controllerEvent() {}
func (LeaseEnded) controllerEvent()   {}
func (StateRead) controllerEvent()    {}
func (LoadResult) controllerEvent()   {}
func (OrderResult) controllerEvent()  {}

// Effect is an output of a Controller.
type Effect interface{ controllerEffect() }

// AcquireLease requests the endpoint's lease.
type AcquireLease struct{}

// ReleaseLease releases the endpoint's lease.
type ReleaseLease struct{}

// RaiseFencing requests a fencing number greater than one that the engine has
// seen.
type RaiseFencing struct{ Above lease.Fencing }

// ReadState reads the engine's state.
type ReadState struct{}

// RequestLoad asks the holder of the store's budget for a load of models.
type RequestLoad struct {
	Store  string
	Models []string
}

// SendOrder sends an order. The Runner checks the lease on the monotonic clock
// immediately before, and sends nothing if it has ended.
type SendOrder struct{ Order edge.EngineOrder }

// Settled reports that the engine is in its declared state.
type Settled struct{}

func (AcquireLease) controllerEffect() {}
func (ReleaseLease) controllerEffect() {}
func (RaiseFencing) controllerEffect() {}
func (ReadState) controllerEffect()    {}
func (RequestLoad) controllerEffect()  {}
func (SendOrder) controllerEffect()    {}
func (Settled) controllerEffect()      {}
