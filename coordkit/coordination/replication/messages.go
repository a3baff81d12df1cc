package replication

import (
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog"
)

// Event is an input of the Replica.
type Event interface{ replicaEvent() }

// Tick passes the time and the live peers.
type Tick struct{ Peers []instance.ID }

// LogAnswered is the answer to a ReadLog.
type LogAnswered struct {
	From  eventlog.Offset
	Batch eventlog.Batch
	Err   error
}

// PeerRecords are consecutive records that a peer has read from the log, and
// the peer's revision in force.
type PeerRecords struct {
	Peer       instance.ID
	Generation configstore.Generation
	Records    []eventlog.Record
	Revision   configstore.Revision
	// Fetched is set when the records answer a FetchFromPeer.
	Fetched bool
}

// PeerState is a peer's whole serialised snapshot, answering a FetchFromPeer.
type PeerState struct {
	Peer instance.ID
	Data []byte
}

// PeerFailed tells that a FetchFromPeer had no answer.
type PeerFailed struct{ Peer instance.ID }

// RevisionHeard tells the revision in force on a peer.
type RevisionHeard struct {
	Peer     instance.ID
	Revision configstore.Revision
}

// Submit asks to commit a change set.
type Submit struct{ Change configstore.ChangeSet }

// Forget drops interest in a submitted change.
type Forget struct{ ChangeID string }

// Appended is the answer to an AppendRecord.
type Appended struct {
	Token  uint64
	Offset eventlog.Offset
	Err    error
}

func (Tick) replicaEvent()          {}
func (LogAnswered) replicaEvent()   {}
func (PeerRecords) replicaEvent()   {}
func (PeerState) replicaEvent()     {}
func (PeerFailed) replicaEvent()    {}
func (RevisionHeard) replicaEvent() {}
func (Submit) replicaEvent()        {}
func (Forget) replicaEvent()        {}
func (Appended) replicaEvent()      {}

// Effect is an output of the Replica.
type Effect interface{ replicaEffect() }

// ReadLog asks for records; at most one read is outstanding.
type ReadLog struct {
	From  eventlog.Offset
	Limit int
}

// FetchFromPeer asks a peer for what follows a revision; at most one is
// outstanding.
type FetchFromPeer struct {
	Peer     instance.ID
	Revision configstore.Revision
}

// AppendRecord asks to append to the stream.
type AppendRecord struct {
	Token uint64
	Data  []byte
}

// RelayRecords passes records that were read from the log to every peer.
type RelayRecords struct {
	Generation configstore.Generation
	Records    []eventlog.Record
	Revision   configstore.Revision
}

// InForce publishes a new state.
type InForce struct{ View configstore.View }

// Settled tells what became of a submitted change. Err is set when it is
// certain that nothing was appended.
type Settled struct {
	ChangeID string
	Verdict  configstore.Verdict
	Err      error
}

// Noted reports something that operators should see.
type Noted struct {
	Note   Note
	Detail string
}

// Note names what a Noted effect reports.
type Note int

// The notes.
const (
	// NoteReload: records expired or the stream changed; the state is reloaded.
	NoteReload Note = iota + 1
	// NoteLogLost: the stream lost its records; a snapshot will be appended.
	NoteLogLost
	// NoteReopened: a new generation of the stream is in force.
	NoteReopened
	// NoteDiverged: changes in force here are not in the generation adopted.
	NoteDiverged
	// NoteNoSnapshot: the log holds no usable snapshot; peers are asked.
	NoteNoSnapshot
	// NoteUnknownRules: the fold stopped at a change of a newer release.
	NoteUnknownRules
	// NoteSnapshot: a snapshot was appended.
	NoteSnapshot
)

func (ReadLog) replicaEffect()       {}
func (FetchFromPeer) replicaEffect() {}
func (AppendRecord) replicaEffect()  {}
func (RelayRecords) replicaEffect()  {}
func (InForce) replicaEffect()       {}
func (Settled) replicaEffect()       {}
func (Noted) replicaEffect()         {}
