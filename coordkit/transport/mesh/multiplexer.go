package mesh

import (
	"fmt"
	"net"

	"github.com/hashicorp/yamux"

	"github.com/samphirewing/coordkit/events"
)

// minStreamWindowBytes is the smallest window that yamux accepts.
const minStreamWindowBytes = 256 << 10

// acceptBacklog bounds the streams opened by a peer that are not yet accepted.
const acceptBacklog = 256

// multiplexerLog emits the log lines of yamux as events.
type multiplexerLog struct{ sink events.Sink }

func (l multiplexerLog) Print(v ...any)                 { l.emit(fmt.Sprint(v...)) }
func (l multiplexerLog) Printf(format string, v ...any) { l.emit(fmt.Sprintf(format, v...)) }
func (l multiplexerLog) Println(v ...any)               { l.emit(fmt.Sprint(v...)) }
func (l multiplexerLog) emit(text string) {
	l.sink.Emit(eventMultiplexer, events.F("text", text))
}

// multiplex starts yamux on a connection. The keep-alive of yamux is disabled,
// since the session's confirmations detect failures in either direction.
func multiplex(conn net.Conn, dialled bool, o *Options) (*yamux.Session, error) {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.LogOutput = nil
	config.Logger = multiplexerLog{o.Events}
	config.AcceptBacklog = acceptBacklog
	config.MaxStreamWindowSize = minStreamWindowBytes
	config.ConnectionWriteTimeout = o.SilenceLimit
	config.StreamOpenTimeout = 2 * o.SilenceLimit
	config.StreamCloseTimeout = 2 * o.SilenceLimit
	if dialled {
		return yamux.Client(conn, config)
	}
	return yamux.Server(conn, config)
}
