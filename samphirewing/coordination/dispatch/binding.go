package dispatch

import "github.com/samphirewing/samphirewing/state/structs"

// Binding restricts the versions of the endpoints that a stream may be sent to. The zero
// value restricts nothing.
type Binding struct {
	// Begins is set for a stream that may be resumed later. It begins at admitted
	// versions only.
	Begins bool
	// Bound is set once the caller has an event. The rest comes from Version.
	Bound   bool
	Version string
}

// AdmittedVersions knows the versions at which streams may begin.
type AdmittedVersions interface {
	Admits(pool structs.PoolName, version string) bool
}

// SetAdmittedVersions sets the versions at which streams may begin.
func (s *Scheduler) SetAdmittedVersions(v AdmittedVersions) { s.admitted = v }

// allowsVersion reports whether a stream may be sent to an endpoint.
func (s *Scheduler) allowsVersion(e *endpoint, r *Request) bool {
	switch {
	case r.Binding.Bound:
		return e.info.Version == r.Binding.Version
	case r.Binding.Begins && s.admitted != nil:
		return s.admitted.Admits(r.Pool, e.info.Version)
	}
	return true
}
