package mesh

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// relay passes TCP connections on to a target, and can swallow the bytes of
// one or both directions of the connections that are open.
type relay struct {
	listener net.Listener
	target   string
	running  sync.WaitGroup

	mu    sync.Mutex
	conns []*relayed
}

// relayed is one connection through a relay.
type relayed struct {
	in, out         net.Conn
	muteIn, muteOut atomic.Bool
}

func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: listener, target: target}
	r.running.Go(r.acceptLoop)
	t.Cleanup(r.close)
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
		c := &relayed{in: in, out: out}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		r.running.Go(func() { pass(out, in, &c.muteIn) })
		r.running.Go(func() { pass(in, out, &c.muteOut) })
	}
}

// pass copies bytes until the source ends; while muted it reads and drops
// them, and lets no end of connection through.
func pass(to, from net.Conn, muted *atomic.Bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if !muted.Load() && n > 0 {
			to.Write(buf[:n])
		}
		if err != nil {
			if err == io.EOF && !muted.Load() {
				to.Close()
			}
			return
		}
	}
}

// swallow mutes all connections that are open now: towards the target, from
// it, or both.
func (r *relay) swallow(towards, from bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.muteIn.Store(towards)
		c.muteOut.Store(from)
	}
}

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	for _, c := range r.conns {
		c.in.Close()
		c.out.Close()
	}
	r.mu.Unlock()
	r.running.Wait()
}
