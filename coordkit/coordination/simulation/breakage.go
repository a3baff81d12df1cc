package simulation

import (
	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/protocol/configpb"
	"github.com/samphirewing/coordkit/state/eventlog"
)

// Breakage is a deliberate fault of the code under test, to show that the
// checks can fail.
type Breakage string

// The breakages.
const (
	// BreakNoReadBack: a writer answers when its append is answered.
	BreakNoReadBack Breakage = "journal does not read back"
	// BreakTrustIndex: a writer grants a key because its index lacks it.
	BreakTrustIndex Breakage = "writer trusts its index"
	// BreakDispatchEarly: an entry sends before the intent has won.
	BreakDispatchEarly Breakage = "dispatch before the intent is won"
	// BreakLateWin: an attempt that was given up sends on a late win.
	BreakLateWin Breakage = "late win is used"
	// BreakNoSendBy: an entry does not look at the clock before it sends.
	BreakNoSendBy Breakage = "send-by time is not checked"
	// BreakFalseNotRun: a lost answer of the service is recorded as not run.
	BreakFalseNotRun Breakage = "lost answer recorded as not run"
	// BreakIgnoreRevisions: the fold does not compare revisions.
	BreakIgnoreRevisions Breakage = "fold ignores revisions"
	// BreakOneFoldDiffers: one instance's fold skips changes.
	BreakOneFoldDiffers Breakage = "one instance folds other records"
	// BreakOldSnapshot: an instance restores a snapshot older than its state.
	BreakOldSnapshot Breakage = "older snapshot restored"
	// BreakDeafReplica: an instance stops following.
	BreakDeafReplica Breakage = "instance stops following"
	// BreakNoLeaseCheck: a holder does not look at the clock before an order.
	BreakNoLeaseCheck Breakage = "lease not checked before an order"
	// BreakNoWaitOut: a holder does not wait an earlier one out.
	BreakNoWaitOut Breakage = "earlier holder not waited out"
)

// differingNode is the instance that BreakOneFoldDiffers is about.
const differingNode = 1

// tamper changes what a Replica reads, for the breakages of the fold.
func (r *Run) tamper(n *node, b eventlog.Batch) eventlog.Batch {
	if r.broken != BreakIgnoreRevisions && r.broken != BreakOneFoldDiffers {
		return b
	}
	one := r.broken == BreakOneFoldDiffers
	if one && n.number != differingNode {
		return b
	}
	out := b
	out.Records = nil
	for _, rec := range b.Records {
		var p configpb.LogRecord
		if proto.Unmarshal(rec.Data, &p) == nil && p.GetChange() != nil {
			if one {
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
