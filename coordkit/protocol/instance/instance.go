// Package instance identifies the instances of a system and where they run.
package instance

import "strconv"

// ID identifies an instance by the name in its settings; it is unchanged by
// restarts, each of which has a new Incarnation.
type ID string

// FailureDomain names a set of instances that can fail together.
type FailureDomain string

// Region names a set of failure domains with a fast network between them.
type Region string

// Incarnation distinguishes the runs of one instance's process. A later run has
// a larger value.
type Incarnation uint64

// String returns the decimal form.
func (i Incarnation) String() string { return strconv.FormatUint(uint64(i), 10) }

// Process identifies one run of an instance's process.
type Process struct {
	ID          ID
	Incarnation Incarnation
}

// String returns "id@incarnation".
func (p Process) String() string { return string(p.ID) + "@" + p.Incarnation.String() }
