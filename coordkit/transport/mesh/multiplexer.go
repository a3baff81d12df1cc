package mesh

import (
	"fmt"
	"net"

	"github.com/hashicorp/yamux"

	"github.com/samphirewing/coordkit/events"
)

// minStreamWindowBytes is the smallest window that yamux accepts.
const minStreamWindowBytes = 256 << 10

// acceptBacklog bounds the calls that a peer has opened and we have not yet
// taken up.
const acceptBacklog = 256

// multiplexerLog turns the lines of yamux into events.
type multiplexerLog struct{ sink events.Sink }

func (l multiplexerLog) Print(v ...any)                 { l.emit(fmt.Sprint(v...)) }
func (l multiplexerLog) Printf(format string, v ...any) { l.emit(fmt.Sprintf(format, v...)) }
func (l multiplexerLog) Println(v ...any)               { l.emit(fmt.Sprint(v...)) }
func (l multiplexerLog) emit(text string) {
	l.sink.Emit(eventMultiplexer, events.F("text", text))
}

// multiplex starts yamux on a connection. Its own keep-alive stays off: the
// session confirms frames itself, which finds silence in either direction.
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
