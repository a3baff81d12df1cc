package soak

import (
	"fmt"
	"time"
)

const (
	// backoffGrace is how long after an endpoint has asked for no requests they may
	// still reach it, and sendsInBackoff how many may until the end of the time.
	backoffGrace   = 500 * time.Millisecond
	sendsInBackoff = 2
)

// contact is what one daemon process has sent to one start of an endpoint.
type contact struct {
	daemon      string
	life        int
	endpoint    string
	incarnation int
}

// contacts returns the arrivals whose request and daemon process are known.
func (index *evidenceIndex) contacts() map[contact][]arrival {
	all := map[contact][]arrival{}
	for _, a := range index.arrivals {
		if o, known := index.outcomeByRequest[a.Request]; known && o.incarnation > 0 {
			c := contact{o.daemon, o.incarnation, a.endpoint, a.incarnation}
			all[c] = append(all[c], a)
		}
	}
	return all
}

// checkLeavingAnswer finds requests to an endpoint from a daemon that had passed on
// an answer which says that the endpoint leaves. Daemons that were disturbed are
// excused.
func checkLeavingAnswer(index *evidenceIndex) (all []violation) {
	for c, arrivals := range index.contacts() {
		var told time.Time
		for _, a := range arrivals {
			o := index.outcomeByRequest[a.Request]
			switch {
			case a.Leaving && told.IsZero() && o.answer.Err == nil && len(index.arrivalsByRequest[a.Request]) == 1:
				told = o.endedAt
			case !told.IsZero() && o.sentAt.Sub(told) > drainBound && !index.isDisturbed(told, a.At, c.daemon):
				all = append(all, o.newViolation("reached %s %v after an answer said that it leaves", c.endpoint, o.sentAt.Sub(told)))
			}
		}
	}
	return all
}

// checkBackoff finds endpoints that got more requests from a daemon within the time
// for which they had asked it for none. Daemons that were disturbed are excused.
func checkBackoff(index *evidenceIndex) (all []violation) {
	for c, arrivals := range index.contacts() {
		for i, asked := range arrivals {
			if asked.Backoff == 0 || index.wasOut(c.daemon, asked.At, asked.At.Add(asked.Backoff)) {
				continue
			}
			count := 0
			for _, a := range arrivals[i+1:] {
				if after := a.At.Sub(asked.At); after > backoffGrace && after < asked.Backoff {
					count++
				}
			}
			if count > sendsInBackoff {
				all = append(all, violation{at: asked.At, text: fmt.Sprintf("%s asked %s for no requests for %v and got %d", c.endpoint, c.daemon, asked.Backoff, count)})
				break
			}
		}
	}
	return all
}
