package platformclient

import (
	"github.com/apex/log"

	"github.com/samphirewing/coordkit/events"
)

var eventAppendLost = events.New(620, "log-append-answer-lost", log.WarnLevel)
