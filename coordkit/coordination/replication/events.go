package replication

import (
	"github.com/apex/log"

	"github.com/samphirewing/coordkit/events"
)

var (
	eventReload       = events.New(200, "configuration-reload", log.InfoLevel)
	eventLogLost      = events.New(201, "configuration-log-lost", log.ErrorLevel)
	eventReopened     = events.New(202, "configuration-reopened", log.WarnLevel)
	eventDiverged     = events.New(203, "configuration-change-lost", log.ErrorLevel)
	eventNoSnapshot   = events.New(204, "configuration-no-snapshot", log.ErrorLevel)
	eventUnknownRules = events.New(205, "configuration-rules-unknown", log.ErrorLevel)
	eventSnapshot     = events.New(206, "configuration-snapshot", log.InfoLevel)
	eventLogDown      = events.New(207, "configuration-log-unreachable", log.WarnLevel)
	eventLogBack      = events.New(208, "configuration-log-reachable", log.InfoLevel)
	eventStale        = events.New(209, "configuration-behind", log.WarnLevel)
	eventCurrent      = events.New(210, "configuration-current", log.InfoLevel)
)

func noteEvent(n Note) events.Event {
	switch n {
	case NoteReload:
		return eventReload
	case NoteLogLost:
		return eventLogLost
	case NoteReopened:
		return eventReopened
	case NoteDiverged:
		return eventDiverged
	case NoteNoSnapshot:
		return eventNoSnapshot
	case NoteUnknownRules:
		return eventUnknownRules
	default:
		return eventSnapshot
	}
}
