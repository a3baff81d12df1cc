// Package eventlog is the interface to the platform's append-only log service.
//
// A wire format costs one implementation of Log; nothing else in this library
// knows how the service is reached.
package eventlog

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Offset is the position of a record in its stream. The first record has
// offset 1; zero means "none".
type Offset int64

// Stream names one sequence of records.
type Stream string

// Record is one appended record as read back.
type Record struct {
	Offset Offset
	// Time is when the service accepted the record, by the service's clock.
	Time time.Time
	Data []byte
}

// Batch is the answer to one read.
// Invariants: records are in offset order without gaps inside a batch, and
// Oldest <= Next.
type Batch struct {
	Records []Record
	// Oldest is the first offset that the service still keeps.
	Oldest Offset
	// Next is the offset that the next appended record will get.
	Next Offset
}

// Log is the append-only log service.
//
// Append returns the offset of the record, or ErrUnavailable when the record
// was certainly not appended, or ErrFateUnknown when it may have been.
// Read returns records from offset from on, at most limit of them, and
// ErrExpired when from is older than the oldest kept record; the Batch then
// still carries Oldest and Next. An empty stream has Oldest == Next == 1.
type Log interface {
	Append(ctx context.Context, stream Stream, data []byte) (Offset, error)
	Read(ctx context.Context, stream Stream, from Offset, limit int) (Batch, error)
}

const (
	// ErrUnavailable means that the service refused or could not be reached
	// and that nothing was appended.
	ErrUnavailable = errors.ConstError("log service unavailable; nothing was appended, try again later")
	// ErrIndeterminate means that the answer was lost: the record may stand.
	ErrIndeterminate = errors.ConstError("answer to append lost; read the stream back to learn whether the record stands")
	// ErrExpired means that the wanted records are no longer kept.
	ErrExpired = errors.ConstError("records expired; reload from the newest snapshot")
)
