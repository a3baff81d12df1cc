package journal

import (
	"github.com/samphirewing/coordkit/protocol/journalpb"
	"github.com/samphirewing/coordkit/state/eventlog"
)

// WriterEvent is an input of the Writer.
type WriterEvent interface{ writerEvent() }

// Tick lets the Writer act on the time passed to Step.
type Tick struct{}

// Submit requests the append of one record. A Reply with the same Token
// answers it; token zero requests no answer.
type Submit struct {
	Token  uint64
	Record *journalpb.Record
}

// Appended is the result of an AppendBatch.
type Appended struct {
	BatchID string
	Offset  eventlog.Offset
	Err     error
}

// ReadCompleted is the result of a ReadLog.
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

// AppendBatch requests an append to the partition's stream; at most one is
// outstanding.
type AppendBatch struct {
	ID   string
	Data []byte
}

// ReadLog requests records from the log; at most one read is outstanding.
type ReadLog struct {
	From  eventlog.Offset
	Limit int
}

// Reply answers a Submit.
type Reply struct {
	Token  uint64
	Answer Answer
}

// StreamLost reports that the stream was replaced or lost records that had been
// read. OpenKeys is the number of open keys at that time.
type StreamLost struct{ OpenKeys int }

func (AppendBatch) writerEffect() {}
func (ReadLog) writerEffect()     {}
func (Reply) writerEffect()       {}
func (StreamLost) writerEffect()  {}

// Answer is the result of a submitted record. Existing is set with
// VerdictTaken.
type Answer struct {
	Verdict  Verdict
	Existing KeyStatus
}
