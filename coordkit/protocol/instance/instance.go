// Package instance names the processes of a system and where they run.
package instance

import "strconv"

// ID names one daemon for as long as its settings name it; a restarted
// daemon keeps its ID and takes a new Incarnation.
type ID string

// FailureDomain names a set of instances that can fail together.
type FailureDomain string

// Region names a set of failure domains with a fast network between them.
type Region string

// Incarnation tells the lives of one instance apart. A later life has a
// larger value.
type Incarnation uint64

// String returns the decimal form.
func (i Incarnation) String() string { return strconv.FormatUint(uint64(i), 10) }

// Process is one instance in one incarnation.
type Process struct {
	ID          ID
	Incarnation Incarnation
}

// String returns "id@incarnation".
func (l Process) String() string { return string(l.ID) + "@" + l.Incarnation.String() }
