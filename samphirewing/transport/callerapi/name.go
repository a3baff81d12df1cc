package callerapi

import "net/http"

// Traced is an Answer that belongs to a trace.
type Traced interface {
	// TraceParent returns the W3C trace context of the request's span, or empty.
	TraceParent() string
}

// nameRequest tells the caller the request's id and, when it is traced, the
// trace to look for.
func nameRequest(w http.ResponseWriter, a Answer) {
	w.Header().Set(HeaderRequestID, string(a.ID()))
	if traced, ok := a.(Traced); ok && traced.TraceParent() != "" {
		w.Header().Set(HeaderTraceParent, traced.TraceParent())
	}
}
