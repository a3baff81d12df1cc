package mesh

import (
	"github.com/apex/log"

	"github.com/samphirewing/coordkit/events"
)

var (
	eventSessionUp       = events.New(100, "session-up", log.InfoLevel)
	eventSessionDown     = events.New(101, "session-down", log.InfoLevel)
	eventSessionSilent   = events.New(102, "session-silent", log.WarnLevel)
	eventFrameGarbled    = events.New(103, "frame-garbled", log.ErrorLevel)
	eventFrameOversized  = events.New(104, "frame-oversized", log.ErrorLevel)
	eventVersionMismatch = events.New(105, "session-version-mismatch", log.ErrorLevel)
	eventWrongInstance   = events.New(106, "session-wrong-instance", log.WarnLevel)
	eventDialFailed      = events.New(107, "session-dial-failed", log.WarnLevel)
	eventHandshakeFailed = events.New(108, "session-handshake-failed", log.WarnLevel)
	eventQueueFull       = events.New(109, "session-queue-full", log.WarnLevel)
	eventAcceptFailed    = events.New(110, "session-accept-failed", log.ErrorLevel)
	eventSessionLimit    = events.New(111, "session-limit-reached", log.ErrorLevel)
	eventMultiplexer     = events.New(112, "session-multiplexer", log.DebugLevel)
	eventSessionRetired  = events.New(113, "session-retired", log.DebugLevel)
)
