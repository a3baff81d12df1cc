package callerapi

import "net/http"

// Traced is implemented by an Answer that may belong to a trace.
type Traced interface {
	// TraceParent returns the W3C trace context of the request's span, or empty.
	TraceParent() string
}

// setRequestHeaders sets the request's id and, if it is traced, its trace context
// in the response headers.
func setRequestHeaders(w http.ResponseWriter, a Answer) {
	w.Header().Set(HeaderRequestID, string(a.ID()))
	if traced, ok := a.(Traced); ok && traced.TraceParent() != "" {
		w.Header().Set(HeaderTraceParent, traced.TraceParent())
	}
}
