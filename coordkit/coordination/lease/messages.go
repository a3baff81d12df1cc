package lease

import (
	"time"

	"github.com/samphirewing/coordkit/state/eventlog"
)

// Event is an input of the Holder.
type Event interface{ holderEvent() }

// Tick lets the Holder act on the time passed to Step.
type Tick struct{}

// Acquire requests a lease, which is renewed until Release.
type Acquire struct{ Name Name }

// Release releases a lease or withdraws the request for it.
type Release struct{ Name Name }

// Raise requests a fencing number above a number that is in use and was granted
// by a log that has been lost since.
type Raise struct {
	Name  Name
	Above Fencing
}

// Appended is the result of an AppendRecord.
type Appended struct {
	ID  string
	Err error
}

// ReadCompleted is the result of a ReadLog.
type ReadCompleted struct {
	Batch eventlog.Batch
	Err   error
}

func (Tick) holderEvent()          {}
func (Acquire) holderEvent()       {}
func (Release) holderEvent()       {}
func (Raise) holderEvent()         {}
func (Appended) holderEvent()      {}
func (ReadCompleted) holderEvent() {}

// Effect is an output of the Holder.
type Effect interface{ holderEffect() }

// AppendRecord requests an append to the log; at most one is outstanding.
type AppendRecord struct {
	ID   string
	Data []byte
}

// ReadLog requests records from the log; at most one read is outstanding.
type ReadLog struct {
	From  eventlog.Offset
	Limit int
}

// Granted reports that a lease is held.
type Granted struct{ Grant Grant }

// Revoked reports that a lease is no longer held.
type Revoked struct {
	Name    Name
	Fencing Fencing
}

func (AppendRecord) holderEffect() {}
func (ReadLog) holderEffect()      {}
func (Granted) holderEffect()      {}
func (Revoked) holderEffect()      {}

// Grant is a lease that this process holds. Times are by the local clock.
type Grant struct {
	Name    Name
	Fencing Fencing
	// Until is when the grant expires unless it is renewed.
	Until time.Time
	// DisplacedUntil is when the leases of all previous holders have certainly
	// expired. It is zero when they cannot rely on them any more.
	DisplacedUntil time.Time
}
