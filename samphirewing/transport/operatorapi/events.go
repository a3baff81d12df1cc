package operatorapi

import (
	"github.com/apex/log"

	"github.com/samphirewing/coordkit/events"
)

var (
	eventAuthFailed = events.New(700, "operator-authentication-failed", log.WarnLevel)
	eventChange     = events.New(701, "operator-change", log.InfoLevel)
	eventRefused    = events.New(702, "operator-statement-refused", log.InfoLevel)
	eventResolved   = events.New(703, "operator-booking-resolved", log.InfoLevel)
	eventUnsettled  = events.New(704, "operator-change-unsettled", log.WarnLevel)
)
