package endpointset

import "time"

// lateWriteWindow is how long after a newer entry of an endpoint an older one is
// taken for a write that the registry has executed late. The platform executes
// writes seconds late at most.
const lateWriteWindow = 15 * time.Second

// revision is the position of an entry among all that the endpoint has written,
// as the endpoint itself states it. Sequences count anew with each start.
type revision struct{ startedUnixMs, sequence int64 }

func (e Endpoint) revision() revision { return revision{e.StartedUnixMs, e.Sequence} }

// before reports whether the endpoint wrote r before other. Revisions that lack
// their start can't be compared, nor can those of the same start that lack their
// sequence: the order of the registry decides.
func (r revision) before(other revision) bool {
	switch {
	case r.startedUnixMs == 0 || other.startedUnixMs == 0:
		return false
	case r.startedUnixMs != other.startedUnixMs:
		return r.startedUnixMs < other.startedUnixMs
	}
	return r.sequence != 0 && r.sequence < other.sequence
}

// ignoresLate reports whether an entry with a higher offset was written before the
// current one, and records it if so.
func (e *entry) ignoresLate(now time.Time, written Endpoint, offset int64) bool {
	r := written.revision()
	if e.earlier && e.removed && r == e.endpoint.revision() && r.startedUnixMs != 0 {
		// The copy from which the registry was restored has the entry that was removed.
		return true
	}
	if !r.before(e.endpoint.revision()) || now.Sub(e.readAt) > lateWriteWindow && !e.earlier {
		return false
	}
	// A clock that was set back gives a new start an earlier time. Such a start
	// goes on writing, while a late write stands alone.
	succession := r.startedUnixMs == e.late.startedUnixMs && r.sequence >= e.late.sequence && offset > e.lateOffset
	if succession && r.startedUnixMs < e.endpoint.StartedUnixMs {
		return false
	}
	e.late, e.lateOffset = r, offset
	return true
}
