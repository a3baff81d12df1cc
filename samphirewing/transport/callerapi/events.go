package callerapi

import (
	"github.com/apex/log"

	"github.com/samphirewing/coordkit/events"
)

var (
	eventAuthFailed     = events.New(400, "caller-authentication-failed", log.WarnLevel)
	eventInvalidRequest = events.New(401, "caller-request-invalid", log.DebugLevel)
	eventBodyTimeout    = events.New(402, "caller-body-timeout", log.InfoLevel)
	eventCallerLeft     = events.New(403, "caller-left", log.DebugLevel)
	eventSubmitFault    = events.New(404, "caller-submit-fault", log.ErrorLevel)
	eventSequenceBroken = events.New(405, "caller-answer-sequence-broken", log.ErrorLevel)
	eventServerFault    = events.New(406, "caller-http-server-fault", log.WarnLevel)
)
