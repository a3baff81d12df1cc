package entry

import (
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// finishedLimit bounds the retained records of finished requests.
const finishedLimit = 8192

// finishedRequest is the record from which a late grant of a finished request
// is answered.
type finishedRequest struct {
	id structs.RequestID
	// mayHaveSent is set if the request may have been sent; finish is its
	// report.
	mayHaveSent bool
	finish      scheduling.Finish
}

// finishedRequests holds the latest finished requests, up to finishedLimit.
// Invariant: byID holds exactly the IDs in order.
type finishedRequests struct {
	byID  map[structs.RequestID]finishedRequest
	order []structs.RequestID
	next  int
}

func newFinishedRequests() finishedRequests {
	return finishedRequests{byID: make(map[structs.RequestID]finishedRequest)}
}

func (r *finishedRequests) add(e finishedRequest) {
	if len(r.order) < finishedLimit {
		r.order = append(r.order, e.id)
	} else {
		delete(r.byID, r.order[r.next])
		r.order[r.next] = e.id
		r.next = (r.next + 1) % finishedLimit
	}
	r.byID[e.id] = e
}
