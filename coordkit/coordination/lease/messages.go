package lease

import (
	"time"

	"github.com/samphirewing/coordkit/state/eventlog"
)

// Event is an input of the Holder.
type Event interface{ holderEvent() }

// Tick passes the time.
type Tick struct{}

// Acquire asks for a lease and keeps it until Release.
type Acquire struct{ Name Name }

// Release gives a lease back, or stops asking for it.
type Release struct{ Name Name }

// Raise asks for a lease with a fencing number above a number that is in use:
// the log that gave it was lost.
type Raise struct {
	Name  Name
	Above Fencing
}

// Appended is the answer to an AppendRecord.
type Appended struct {
	ID  string
	Err error
}

// ReadCompleted is the answer to a ReadLog.
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

// AppendRecord asks to append; at most one is outstanding.
type AppendRecord struct {
	ID   string
	Data []byte
}

// ReadLog asks for records; at most one read is outstanding.
type ReadLog struct {
	From  eventlog.Offset
	Limit int
}

// Granted tells that a lease is held.
type Granted struct{ Grant Grant }

// Revoked tells that a lease is not held any more.
type Revoked struct {
	Name    Name
	Fencing Fencing
}

func (AppendRecord) holderEffect() {}
func (ReadLog) holderEffect()      {}
func (Granted) holderEffect()      {}
func (Revoked) holderEffect()      {}

// Grant is a lease that this process holds. Times are on its own clock.
type Grant struct {
	Name    Name
	Fencing Fencing
	// Until is when the grant ends unless it is renewed.
	Until time.Time
	// DisplacedUntil is when the holder before is surely past its lease; it is
	// zero when that holder gave the lease back.
	DisplacedUntil time.Time
}
