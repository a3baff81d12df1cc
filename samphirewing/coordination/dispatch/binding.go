package dispatch

// Binding restricts the versions of the endpoints that a stream may be sent to. The zero
// value restricts nothing.
type Binding struct {
	// Bound is set once the caller has an event. The rest comes from Version.
	Bound   bool
	Version string
}

// allowsVersion reports whether a stream may be sent to an endpoint.
func (s *Scheduler) allowsVersion(e *endpoint, r *Request) bool {
	return !r.Binding.Bound || e.info.Version == r.Binding.Version
}
