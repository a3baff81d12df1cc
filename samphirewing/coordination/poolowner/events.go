package poolowner

import (
	"github.com/apex/log"

	"github.com/samphirewing/coordkit/events"
)

// The events of the pool owner; see docs/EVENTS.md.
var (
	EventProbationBegan  = events.New(500, "endpoint-probation-began", log.WarnLevel)
	EventProbationEnded  = events.New(501, "endpoint-probation-ended", log.InfoLevel)
	EventBreakerOpened   = events.New(502, "endpoint-breaker-opened", log.WarnLevel)
	EventBreakerClosed   = events.New(503, "endpoint-breaker-closed", log.InfoLevel)
	EventGrantUnreported = events.New(504, "grant-unreported", log.WarnLevel)
	EventSheddingBegan   = events.New(505, "shedding-began", log.WarnLevel)
	EventSheddingEnded   = events.New(506, "shedding-ended", log.InfoLevel)
)
