package serviceclient

import (
	"github.com/apex/log"

	"github.com/samphirewing/coordkit/events"
)

var eventAnswerLost = events.New(610, "service-answer-lost", log.WarnLevel)
