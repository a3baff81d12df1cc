package mesh

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// relay forwards TCP connections to a target, and can drop the bytes of one or
// both directions of the open connections.
type relay struct {
	listener net.Listener
	target   string
	running  sync.WaitGroup

	mu    sync.Mutex
	conns []*relayedConn
}

// relayedConn is a connection through a relay.
type relayedConn struct {
	in, out         net.Conn
	dropIn, dropOut atomic.Bool
}

func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: listener, target: target}
	r.running.Go(r.acceptLoop)
	t.Cleanup(r.stop)
	return r
}

func (r *relay) acceptLoop() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			continue
		}
		c := &relayedConn{in: in, out: out}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		r.running.Go(func() { copyBytes(out, in, &c.dropIn) })
		r.running.Go(func() { copyBytes(in, out, &c.dropOut) })
	}
}

// copyBytes copies bytes until the source ends. While drop is set, it discards
// them and does not forward the end of the connection.
func copyBytes(to, from net.Conn, drop *atomic.Bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if !drop.Load() && n > 0 {
			to.Write(buf[:n])
		}
		if err != nil {
			if err == io.EOF && !drop.Load() {
				to.Close()
			}
			return
		}
	}
}

// dropBytes sets whether the connections open now drop bytes towards the target
// and from it.
func (r *relay) dropBytes(toTarget, fromTarget bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.dropIn.Store(toTarget)
		c.dropOut.Store(fromTarget)
	}
}

func (r *relay) stop() {
	r.listener.Close()
	r.mu.Lock()
	for _, c := range r.conns {
		c.in.Close()
		c.out.Close()
	}
	r.mu.Unlock()
	r.running.Wait()
}
