package httplimit

import (
	"github.com/apex/log"

	"github.com/samphirewing/coordkit/events"
)

// Events of the limits on clients. Each is emitted at most once per second, with the
// number of times that it has happened since.
var (
	EventBodyRefused     = events.New(933, "body-refused", log.WarnLevel)
	EventBodyTooSlow     = events.New(934, "body-too-slow", log.WarnLevel)
	EventResponseUnread  = events.New(935, "response-unread", log.WarnLevel)
	EventHeadRefused     = events.New(936, "head-refused", log.WarnLevel)
	EventConnectionsFull = events.New(971, "connections-full", log.WarnLevel)
	EventDescriptorsFull = events.New(972, "descriptors-full", log.ErrorLevel)
	EventLimitsDerived   = events.New(973, "client-limits", log.InfoLevel)
)
