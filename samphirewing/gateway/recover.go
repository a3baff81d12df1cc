package gateway

import (
	"fmt"
	"runtime/debug"

	"github.com/samphirewing/coordkit/events"
)

// Guard runs an action and logs a panic in it instead of ending the process, so
// that one malformed message or defect costs no other request. The action must
// release its locks with defer.
func (g *Gateway) Guard(where string, action func()) {
	defer func() {
		if cause := recover(); cause != nil {
			g.options.Events.Emit(EventPanicRecovered, events.F("where", where), events.F("error", fmt.Sprint(cause)), events.F("stack", string(debug.Stack())))
		}
	}()
	action()
}
