package gateway

import (
	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/state/routing"
)

// isResumable reports whether the request's stream may be resumed.
func (x *exchange) isResumable() bool {
	return x.route.Streaming && x.route.RetrySafety == routing.Resumable
}

// recordStreamBegan binds the stream to the version of the endpoint that has sent its
// first event.
func (x *exchange) recordStreamBegan(grant *dispatch.Grant) {
	if x.isResumable() && !x.scheduled.Binding.Bound {
		x.scheduled.Binding = dispatch.Binding{Bound: true, Version: grant.Endpoint.Version}
	}
}
