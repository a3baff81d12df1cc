package mesh

import (
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/frame"
	"github.com/samphirewing/coordkit/protocol/instance"
)

// lingeringConn is a connection whose reads return some time after it is closed,
// like those of a process that waits for its processor.
type lingeringConn struct {
	net.Conn
	linger time.Duration
}

func (c lingeringConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		time.Sleep(c.linger)
	}
	return n, err
}

// Guards against sessions that keep the processor busy while they close. When the
// daemons of a large deployment restarted together, the readers of closing
// sessions took half of the processor time, and the daemons had no time to start.
func TestClosingSessionUsesNoProcessor(t *testing.T) {
	const linger, allowed = 500 * time.Millisecond, 150 * time.Millisecond
	a := startNode(t, "a", nil)
	near, far := net.Pipe()
	go func() {
		mux, err := yamux.Client(far, nil)
		if err == nil {
			// The stream is opened by its first bytes.
			if stream, err := mux.OpenStream(); err == nil {
				_, _ = stream.Write([]byte{0})
			}
		}
	}()
	mux, err := multiplex(lingeringConn{near, linger}, false, &a.options)
	assert.NilError(t, err)
	stream, err := mux.AcceptStream()
	assert.NilError(t, err)
	_, err = stream.Read(make([]byte, 1))
	assert.NilError(t, err)
	s := a.startSession(handshake{mux: mux, stream: stream, reader: frame.NewReader(stream, a.options.MaxFrameBytes), peer: instance.Process{ID: "b", Incarnation: 1}}, false)
	before := processorTime()
	s.close("test", nil)
	s.wait()
	used := processorTime() - before
	assert.Assert(t, used < allowed, "%v of processor time", used)
}
