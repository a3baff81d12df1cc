package replication

import (
	"github.com/apex/log"

	"github.com/samphirewing/coordkit/events"
)

var (
	eventReload         = events.New(200, "configuration-reload", log.InfoLevel)
	eventLogLost        = events.New(201, "configuration-log-lost", log.ErrorLevel)
	eventReopened       = events.New(202, "configuration-reopened", log.WarnLevel)
	eventDiverged       = events.New(203, "configuration-change-lost", log.ErrorLevel)
	eventNoSnapshot     = events.New(204, "configuration-no-snapshot", log.ErrorLevel)
	eventUnknownRules   = events.New(205, "configuration-rules-unknown", log.ErrorLevel)
	eventSnapshot       = events.New(206, "configuration-snapshot", log.InfoLevel)
	eventLogUnreachable = events.New(207, "configuration-log-unreachable", log.WarnLevel)
	eventLogReachable   = events.New(208, "configuration-log-reachable", log.InfoLevel)
	eventStale          = events.New(209, "configuration-behind", log.WarnLevel)
	eventCurrent        = events.New(210, "configuration-current", log.InfoLevel)
)

func noticeEvent(n Notice) events.Event {
	switch n {
	case NoticeReload:
		return eventReload
	case NoticeLogLost:
		return eventLogLost
	case NoticeReopened:
		return eventReopened
	case NoticeDiverged:
		return eventDiverged
	case NoticeNoSnapshot:
		return eventNoSnapshot
	case NoticeUnknownRules:
		return eventUnknownRules
	default:
		return eventSnapshot
	}
}
