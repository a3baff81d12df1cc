package journal

import (
	"github.com/samphirewing/coordkit/protocol/journalpb"
	"github.com/samphirewing/coordkit/state/eventlog"
)

// WriterEvent is an input of the Writer.
type WriterEvent interface{ writerEvent() }

// Tick passes the time.
type Tick struct{}

// Submit asks to append one record. Token names it in the Decided effect.
type Submit struct {
	Token  uint64
	Record *journalpb.Record
}

// Appended is the answer to an AppendBatch.
type Appended struct {
	BatchID string
	Offset  eventlog.Offset
	Err     error
}

// ReadCompleted is the answer to a ReadLog.
type ReadCompleted struct {
	Batch eventlog.Batch
	Err   error
}

func (Tick) writerEvent()          {}
func (Submit) writerEvent()        {}
func (Appended) writerEvent()      {}
func (ReadCompleted) writerEvent() {}

// WriterEffect is an output of the Writer.
type WriterEffect interface{ writerEffect() }

// AppendBatch asks to append to the partition's stream; at most one is
// outstanding.
type AppendBatch struct {
	ID   string
	Data []byte
}

// ReadLog asks for records; at most one read is outstanding.
type ReadLog struct {
	From  eventlog.Offset
	Limit int
}

// Reply answers a Submit.
type Reply struct {
	Token  uint64
	Answer Answer
}

// StreamLost tells that the stream holds other records than before.
type StreamLost struct{ Open int }

func (AppendBatch) writerEffect() {}
func (ReadLog) writerEffect()     {}
func (Reply) writerEffect()       {}
func (StreamLost) writerEffect()  {}

// Answer tells what became of a submitted record. Settled is set with
// VerdictTaken.
type Answer struct {
	Verdict  Verdict
	Existing KeyStatus
}
