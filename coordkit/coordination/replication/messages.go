package replication

import (
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog"
)

// Event is an input of the Replica.
type Event interface{ replicaEvent() }

// Tick passes the live peers at regular intervals.
type Tick struct{ Peers []instance.ID }

// ReadCompleted is the result of a ReadLog.
type ReadCompleted struct {
	From  eventlog.Offset
	Batch eventlog.Batch
	Err   error
}

// PeerRecords are consecutive records that a peer has read from the log, with
// the peer's current revision.
type PeerRecords struct {
	Peer       instance.ID
	Generation configstore.Generation
	Records    []eventlog.Record
	Revision   configstore.Revision
	// Fetched is set when the records answer a FetchFromPeer.
	Fetched bool
}

// PeerSnapshot is a peer's complete serialised snapshot, in answer to a
// FetchFromPeer.
type PeerSnapshot struct {
	Peer instance.ID
	Data []byte
}

// FetchFailed reports that a FetchFromPeer was not answered.
type FetchFailed struct{ Peer instance.ID }

// PeerRevision reports the current revision of a peer.
type PeerRevision struct {
	Peer     instance.ID
	Revision configstore.Revision
}

// Submit requests the commit of a change set.
type Submit struct{ Change configstore.ChangeSet }

// AbandonCommit stops tracking a submitted change.
type AbandonCommit struct{ ChangeID string }

// Appended is the result of an AppendRecord.
type Appended struct {
	Token  uint64
	Offset eventlog.Offset
	Err    error
}

func (Tick) replicaEvent()          {}
func (ReadCompleted) replicaEvent() {}
func (PeerRecords) replicaEvent()   {}
func (PeerSnapshot) replicaEvent()  {}
func (FetchFailed) replicaEvent()   {}
func (PeerRevision) replicaEvent()  {}
func (Submit) replicaEvent()        {}
func (AbandonCommit) replicaEvent() {}
func (Appended) replicaEvent()      {}

// Effect is an output of the Replica.
type Effect interface{ replicaEffect() }

// ReadLog requests records from the log; at most one read is outstanding.
type ReadLog struct {
	From  eventlog.Offset
	Limit int
}

// FetchFromPeer requests the records after a revision, or a snapshot, from a
// peer; at most one is outstanding.
type FetchFromPeer struct {
	Peer     instance.ID
	Revision configstore.Revision
}

// AppendRecord requests an append to the stream.
type AppendRecord struct {
	Token uint64
	Data  []byte
}

// RelayRecords forwards records that were read from the log to every peer.
type RelayRecords struct {
	Generation configstore.Generation
	Records    []eventlog.Record
	Revision   configstore.Revision
}

// PublishView publishes a new state.
type PublishView struct{ View configstore.View }

// CompleteCommit reports the outcome of a submitted change. Err is set only
// when it is certain that nothing was appended.
type CompleteCommit struct {
	ChangeID string
	Verdict  configstore.Verdict
	Err      error
}

// EmitNotice reports a condition to operators.
type EmitNotice struct {
	Notice Notice
	Detail string
}

// Notice is the kind of condition that an EmitNotice reports.
type Notice int

// The notices.
const (
	// NoticeReload: records expired or the stream changed; the state is reloaded.
	NoticeReload Notice = iota + 1
	// NoticeLogLost: the stream lost its records; a snapshot will be appended.
	NoticeLogLost
	// NoticeReopened: a new generation of the stream was adopted.
	NoticeReopened
	// NoticeDiverged: changes accepted here are missing from the adopted
	// generation.
	NoticeDiverged
	// NoticeNoSnapshot: the log holds no usable snapshot; peers are queried.
	NoticeNoSnapshot
	// NoticeUnknownRules: a change of a newer release cannot be applied.
	NoticeUnknownRules
	// NoticeSnapshot: a snapshot was appended.
	NoticeSnapshot
)

func (ReadLog) replicaEffect()        {}
func (FetchFromPeer) replicaEffect()  {}
func (AppendRecord) replicaEffect()   {}
func (RelayRecords) replicaEffect()   {}
func (PublishView) replicaEffect()    {}
func (CompleteCommit) replicaEffect() {}
func (EmitNotice) replicaEffect()     {}
