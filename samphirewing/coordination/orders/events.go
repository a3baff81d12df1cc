package orders

import (
	"github.com/apex/log"

	"github.com/samphirewing/coordkit/events"
)

var (
	eventOrderSent     = events.New(320, "order-sent", log.InfoLevel)
	eventOrderFailed   = events.New(321, "order-failed", log.WarnLevel)
	eventOrderFenced   = events.New(322, "order-fenced", log.WarnLevel)
	eventOrderSettled  = events.New(323, "order-settled", log.InfoLevel)
	eventOrderNotSent  = events.New(324, "order-not-sent", log.WarnLevel)
	eventFencingRaised = events.New(325, "order-fencing-raised", log.ErrorLevel)
	eventBudgetOpened  = events.New(326, "load-budget-kept", log.InfoLevel)
)
