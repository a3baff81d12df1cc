package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const receiveTimeout = 10 * time.Second

// startEchoServer starts a TCP server that echoes all bytes and returns its
// address.
func startEchoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				// The copy ends with the connection.
				_, _ = io.Copy(conn, conn)
				conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func startLink(t *testing.T) *link {
	l, err := newLink("127.0.0.1", startEchoServer(t))
	assert.NilError(t, err)
	t.Cleanup(l.close)
	return l
}

func dialLink(t *testing.T, l *link) net.Conn {
	conn, err := net.Dial("tcp", l.address())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// echoes sends a byte and returns whether it comes back within limit.
func echoes(conn net.Conn, limit time.Duration) bool {
	if _, err := conn.Write([]byte{1}); err != nil {
		return false
	}
	return receivesByte(conn, limit)
}

func receivesByte(conn net.Conn, limit time.Duration) bool {
	conn.SetReadDeadline(time.Now().Add(limit))
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err == nil
}

func TestLinkPassesBytes(t *testing.T) {
	assert.Assert(t, echoes(dialLink(t, startLink(t)), receiveTimeout))
}

func TestHeldDirectionDeliversBufferedBytesOnRelease(t *testing.T) {
	for direction := range 2 {
		l := startLink(t)
		conn := dialLink(t, l)
		assert.Assert(t, echoes(conn, receiveTimeout))
		l.setHeld(direction, true)
		assert.Assert(t, !echoes(conn, 50*time.Millisecond))
		l.setHeld(direction, false)
		assert.Assert(t, receivesByte(conn, receiveTimeout))
	}
}

func TestSilencedConnectionsStaySilentAndNewConnectionsWork(t *testing.T) {
	l := startLink(t)
	conn := dialLink(t, l)
	assert.Assert(t, echoes(conn, receiveTimeout))
	l.silence()
	assert.Assert(t, !echoes(conn, 50*time.Millisecond))
	assert.Assert(t, echoes(dialLink(t, l), receiveTimeout))
}

func TestResetAndRefusedConnectionsFail(t *testing.T) {
	l := startLink(t)
	conn := dialLink(t, l)
	assert.Assert(t, echoes(conn, receiveTimeout))
	l.reset()
	assert.Assert(t, !echoes(conn, receiveTimeout))
	l.setRefuse(true)
	// The reset may arrive before Dial returns.
	if refused, err := net.Dial("tcp", l.address()); err == nil {
		assert.Assert(t, !echoes(refused, receiveTimeout))
		refused.Close()
	}
	l.setRefuse(false)
	assert.Assert(t, echoes(dialLink(t, l), receiveTimeout))
}

func TestLinkDelayAppliesToBothDirections(t *testing.T) {
	l := startLink(t)
	conn := dialLink(t, l)
	l.setDelay(30 * time.Millisecond)
	started := time.Now()
	assert.Assert(t, echoes(conn, receiveTimeout))
	assert.Assert(t, time.Since(started) >= 60*time.Millisecond, "the delay must apply to both directions")
}
