package platform

import (
	"log"
	"strings"

	"github.com/samphirewing/coordkit/events"
)

// newServerLog returns a logger that emits net/http's messages as events.
func newServerLog(sink events.Sink) *log.Logger {
	return log.New(serverLog{sink}, "", 0)
}

type serverLog struct{ events events.Sink }

func (s serverLog) Write(p []byte) (int, error) {
	s.events.Emit(EventServerFault, events.F("error", strings.TrimSpace(string(p))))
	return len(p), nil
}
