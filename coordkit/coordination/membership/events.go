package membership

import (
	"github.com/apex/log"

	"github.com/samphirewing/coordkit/events"
)

var (
	eventMemberFound     = events.New(150, "member-found", log.InfoLevel)
	eventMemberDead      = events.New(151, "member-dead", log.WarnLevel)
	eventMemberBack      = events.New(152, "member-back", log.InfoLevel)
	eventMemberState     = events.New(153, "member-state", log.InfoLevel)
	eventMemberForgotten = events.New(154, "member-forgotten", log.InfoLevel)
	eventSuperseded      = events.New(155, "instance-superseded", log.ErrorLevel)
)

// EmitEvent emits the numbered event of an effect, if it has one. The Machine
// itself writes no events; who carries its effects out calls EmitEvent on each.
func EmitEvent(sink events.Sink, e Effect) {
	switch e := e.(type) {
	case MemberChanged:
		if event, ok := changeEvent(e); ok {
			sink.Emit(event, events.F("member", e.Member.Process.String()), events.F("state", e.Member.State.String()),
				events.F("domain", string(e.Member.FailureDomain)))
		}
	case MemberRemoved:
		sink.Emit(eventMemberForgotten, events.F("member", e.Member.Process.String()))
	case Superseded:
		sink.Emit(eventSuperseded, events.F("by", e.By.String()))
	}
}

// changeEvent returns the event of a change, or false for one that concerns
// only the revision, the load or the weight.
func changeEvent(c MemberChanged) (events.Event, bool) {
	sameLife := c.Member.Incarnation == c.Previous.Incarnation
	switch {
	case c.Member.Incarnation == 0 || (sameLife && c.Member.State == c.Previous.State):
		return events.Event{}, false
	case c.Member.State == Dead:
		return eventMemberDead, true
	case !sameLife:
		return eventMemberFound, true
	case c.Previous.State == Dead:
		return eventMemberBack, true
	}
	return eventMemberState, true
}
