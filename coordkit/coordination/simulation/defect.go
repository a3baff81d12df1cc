package simulation

import (
	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/protocol/configpb"
	"github.com/samphirewing/coordkit/state/eventlog"
)

// Defect is a deliberate error in the code under test; it shows that the checks
// can fail.
type Defect string

// The defects.
const (
	// DefectNoReadBack: a writer answers as soon as its append is acknowledged.
	DefectNoReadBack Defect = "journal does not read back"
	// DefectTrustIndex: a writer grants a key because its index does not
	// contain it.
	DefectTrustIndex Defect = "writer trusts its index"
	// DefectDispatchEarly: an entry sends before its intent has won.
	DefectDispatchEarly Defect = "dispatch before the intent is won"
	// DefectLateWin: an abandoned attempt sends after a late win.
	DefectLateWin Defect = "late win is used"
	// DefectNoSendByCheck: an entry does not check the send-by time before it
	// sends.
	DefectNoSendByCheck Defect = "send-by time is not checked"
	// DefectFalseNotRun: a lost answer of the service is recorded as "not run".
	DefectFalseNotRun Defect = "lost answer recorded as not run"
	// DefectIgnoreRevisions: preconditions on revisions are ignored.
	DefectIgnoreRevisions Defect = "fold ignores revisions"
	// DefectDivergentState: one instance skips the writes of changes.
	DefectDivergentState Defect = "one instance folds other records"
	// DefectOldSnapshot: an instance restores a snapshot older than its state.
	DefectOldSnapshot Defect = "older snapshot restored"
	// DefectStalledReplica: an instance stops following the stream.
	DefectStalledReplica Defect = "instance stops following"
	// DefectNoLeaseCheck: a holder does not check its lease before an order.
	DefectNoLeaseCheck Defect = "lease not checked before an order"
	// DefectNoWaitOut: a holder does not wait until the orders of the previous
	// holder have arrived.
	DefectNoWaitOut Defect = "earlier holder not waited out"
)

// tamperedNode is the instance with DefectDivergentState.
const tamperedNode = 1

// tamperRecords changes the records that a Replica reads, for
// DefectIgnoreRevisions and DefectDivergentState.
func (r *Run) tamperRecords(n *node, b eventlog.Batch) eventlog.Batch {
	if r.defect != DefectIgnoreRevisions && r.defect != DefectDivergentState {
		return b
	}
	divergent := r.defect == DefectDivergentState
	if divergent && n.index != tamperedNode {
		return b
	}
	out := b
	out.Records = nil
	for _, rec := range b.Records {
		var p configpb.LogRecord
		if proto.Unmarshal(rec.Data, &p) == nil && p.GetChange() != nil {
			if divergent {
				p.GetChange().Writes = nil
			} else {
				p.GetChange().Requires = nil
			}
			rec.Data, _ = proto.Marshal(&p)
		}
		out.Records = append(out.Records, rec)
	}
	return out
}
