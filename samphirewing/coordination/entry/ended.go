package entry

import (
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// endedLimit bounds the ended requests that are remembered.
const endedLimit = 8192

// endedRequest is what a late grant of an ended request is answered with.
type endedRequest struct {
	id structs.RequestID
	// sent is set when the request may have been sent; finish is its report.
	sent   bool
	finish scheduling.Finish
}

// endedRequests remembers the latest ended requests up to endedLimit.
// Invariant: byID holds exactly the ids in order.
type endedRequests struct {
	byID  map[structs.RequestID]endedRequest
	order []structs.RequestID
	next  int
}

func newEndedRequests() endedRequests {
	return endedRequests{byID: make(map[structs.RequestID]endedRequest)}
}

func (r *endedRequests) add(e endedRequest) {
	if len(r.order) < endedLimit {
		r.order = append(r.order, e.id)
	} else {
		delete(r.byID, r.order[r.next])
		r.order[r.next] = e.id
		r.next = (r.next + 1) % endedLimit
	}
	r.byID[e.id] = e
}
