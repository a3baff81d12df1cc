package journal

import (
	"github.com/apex/log"

	"github.com/samphirewing/coordkit/events"
)

var (
	eventStreamLost             = events.New(250, "booking-log-lost", log.ErrorLevel)
	eventWriterStarted          = events.New(251, "booking-writer-started", log.InfoLevel)
	eventWriterStopped          = events.New(252, "booking-writer-stopped", log.InfoLevel)
	eventLogUnreachable         = events.New(253, "booking-log-unreachable", log.WarnLevel)
	eventLogReachable           = events.New(254, "booking-log-reachable", log.InfoLevel)
	eventOutcomeUnknown         = events.New(255, "booking-unknown", log.WarnLevel)
	eventOutcomeNotRecorded     = events.New(256, "booking-outcome-not-recorded", log.ErrorLevel)
	eventResolved               = events.New(257, "booking-resolved", log.InfoLevel)
	eventOutcomeAfterResolution = events.New(258, "booking-outcome-after-resolution", log.ErrorLevel)
)
