package mesh

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/frame"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/meshpb"
)

// TestSilentSessionIsReplaced drops the bytes of an open connection without a
// reset, in each direction and in both.
func TestSilentSessionIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name                 string
		toTarget, fromTarget bool
	}{{"both", true, true}, {"towards", true, false}, {"from", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			a, b, other := startNode(t, "a", nil), startNode(t, "b", nil), startNode(t, "c", nil)
			r := startRelay(t, b.Addr().String())
			a.SetPeers([]Peer{{ID: "b", Address: r.listener.Addr().String()}, other.peer()})
			assert.NilError(t, a.Send("b", Message{Kind: kindOneWay, Body: []byte("before")}))
			assert.NilError(t, a.Send("c", Message{Kind: kindOneWay, Body: []byte("other")}))
			eventually(t, "first messages arrive", func() bool {
				return len(b.received()) == 1 && len(other.received()) == 1
			})
			otherSession := a.sessionTo("c")

			r.dropBytes(c.toTarget, c.fromTarget)
			eventually(t, "the silent session is closed at both ends", func() bool {
				return a.events.countOf(eventSessionDown) >= 1 && b.events.countOf(eventSessionDown) >= 1
			})
			assert.Assert(t, a.events.countOf(eventSessionSilent)+b.events.countOf(eventSessionSilent) >= 1)
			eventually(t, "messages arrive again", func() bool {
				a.Send("b", Message{Kind: kindOneWay, Body: []byte("after")})
				got := b.received()
				return got[len(got)-1] == "a:after"
			})
			assert.Equal(t, a.sessionTo("c"), otherSession)
		})
	}
}

// sessionTo returns the start of the session to a peer, or the zero time.
func (n *node) sessionTo(id instance.ID) time.Time {
	for _, s := range n.Sessions() {
		if s.Peer.ID == id && !s.Retiring {
			return s.Since
		}
	}
	return time.Time{}
}

// rawPeer is one end of a session, on which a test writes single frames.
type rawPeer struct {
	mux    *yamux.Session
	stream *yamux.Stream
}

// dialRaw connects to a node and sends a hello.
func dialRaw(t *testing.T, n *node, hello *meshpb.Hello) *rawPeer {
	t.Helper()
	conn, err := net.Dial("tcp", n.Addr().String())
	assert.NilError(t, err)
	mux, err := multiplex(conn, true, &n.options)
	assert.NilError(t, err)
	t.Cleanup(func() { mux.Close() })
	stream, err := mux.OpenStream()
	assert.NilError(t, err)
	body, err := proto.Marshal(hello)
	assert.NilError(t, err)
	p := &rawPeer{mux, stream}
	p.write(t, &meshpb.Frame{Kind: frame.KindHello, Body: body})
	return p
}

func (p *rawPeer) write(t *testing.T, f *meshpb.Frame) {
	t.Helper()
	buf, err := frame.Append(nil, f)
	assert.NilError(t, err)
	_, err = p.stream.Write(buf)
	assert.NilError(t, err)
}

func hello(minVersion, maxVersion uint32) *meshpb.Hello {
	return &meshpb.Hello{Id: "raw", Incarnation: 1, MinVersion: minVersion, MaxVersion: maxVersion, To: "b"}
}

// TestBadFramesEndOnlyTheirSession sends malformed and oversized frames, and
// checks that the session ends with the matching event while others continue.
func TestBadFramesEndOnlyTheirSession(t *testing.T) {
	oversized := protowire.AppendVarint(nil, 1<<30)
	call := func(p *rawPeer, data []byte) {
		stream, err := p.mux.OpenStream()
		if err == nil {
			stream.Write(data)
		}
	}
	for _, c := range []struct {
		name  string
		send  func(p *rawPeer)
		event events.Event
	}{
		{"garbled", func(p *rawPeer) { p.stream.Write([]byte{3, 0xff, 0xff, 0xff}) }, eventFrameGarbled},
		{"oversized", func(p *rawPeer) { p.stream.Write(oversized) }, eventFrameOversized},
		{"garbled-call", func(p *rawPeer) { call(p, []byte{3, 0xff, 0xff, 0xff}) }, eventFrameGarbled},
		{"oversized-call", func(p *rawPeer) { call(p, oversized) }, eventFrameOversized},
		{"false-confirmation", func(p *rawPeer) {
			body, _ := proto.Marshal(&meshpb.Ping{Received: 1 << 40})
			buf, _ := frame.Append(nil, &meshpb.Frame{Kind: frame.KindPing, Body: body})
			p.stream.Write(buf)
		}, eventFrameGarbled},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := startNode(t, "a", nil), startNode(t, "b", nil)
			a.SetPeers([]Peer{b.peer()})
			assert.NilError(t, a.Send("b", Message{Kind: kindOneWay, Body: []byte("1")}))
			p := dialRaw(t, b, hello(1, 1))
			eventually(t, "the raw session is up", func() bool { return !b.sessionTo("raw").IsZero() })
			c.send(p)
			eventually(t, "the raw session is closed", func() bool { return b.sessionTo("raw").IsZero() })
			assert.Equal(t, b.events.countOf(c.event), 1)
			assert.NilError(t, a.Send("b", Message{Kind: kindOneWay, Body: []byte("2")}))
			eventually(t, "the other session works", func() bool { return len(b.received()) == 2 })
			assert.Equal(t, a.events.countOf(eventSessionUp), 1)
		})
	}
}

func TestNonProtocolBytesAreRejected(t *testing.T) {
	b := startNode(t, "b", nil)
	for _, data := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x01\x00\x00\x00\x01\x00\x00\x00\x04\x03\xff\xff\xff"} {
		conn, err := net.Dial("tcp", b.Addr().String())
		assert.NilError(t, err)
		_, err = conn.Write([]byte(data))
		assert.NilError(t, err)
		t.Cleanup(func() { conn.Close() })
	}
	eventually(t, "both connections are rejected", func() bool {
		return b.events.countOf(eventHandshakeFailed)+b.events.countOf(eventFrameGarbled) == 2
	})
	assert.Equal(t, len(b.Sessions()), 0)
}

func TestUnknownKindsAndFieldsAreIgnored(t *testing.T) {
	b := startNode(t, "b", nil)
	p := dialRaw(t, b, hello(1, 9))
	newer := &meshpb.Frame{Kind: uint32(kindOneWay), Body: []byte("known")}
	newer.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 500, protowire.VarintType), 7))
	p.write(t, &meshpb.Frame{Kind: 15, Body: []byte("unknown session kind")})
	p.write(t, &meshpb.Frame{Kind: 987_654, Body: []byte("unknown kind")})
	p.write(t, newer)
	eventually(t, "the known message arrives", func() bool { return len(b.received()) == 1 })
	assert.Equal(t, b.received()[0], "raw:known")

	dialRaw(t, b, hello(5, 9))
	eventually(t, "the incompatible peer is rejected", func() bool { return b.events.countOf(eventVersionMismatch) == 1 })
}

func TestSlowReaderDoesNotBlockOtherPeers(t *testing.T) {
	smallQueue := func(o *Options) { o.QueueBytes = 64 << 10; o.SilenceLimit = 5 * time.Second }
	a, b, other := startNode(t, "a", smallQueue), startNode(t, "b", smallQueue), startNode(t, "c", smallQueue)
	a.SetPeers([]Peer{b.peer(), other.peer()})
	b.receiverLock.Lock()
	eventually(t, "the queue fills", func() bool {
		for range 64 {
			if err := a.Send("b", Message{Kind: kindOneWay, Body: make([]byte, 1<<10)}); err != nil {
				assert.ErrorIs(t, err, ErrQueueFull)
				return true
			}
		}
		return false
	})
	assert.Equal(t, a.events.countOf(eventQueueFull), 1)
	assert.NilError(t, a.Send("c", Message{Kind: kindOneWay, Body: []byte("x")}))
	eventually(t, "the other peer receives", func() bool { return len(other.received()) == 1 })
	b.receiverLock.Unlock()
	eventually(t, "the queue drains", func() bool {
		return a.Send("b", Message{Kind: kindOneWay, Body: []byte("last")}) == nil
	})
	eventually(t, "the last message arrives", func() bool {
		got := b.received()
		return len(got) > 0 && got[len(got)-1] == "a:last"
	})
}

// TestCrossedDialsLeaveOneSession makes two instances dial each other at the
// same time.
func TestCrossedDialsLeaveOneSession(t *testing.T) {
	for round := range 20 {
		a, b := startNode(t, "a", nil), startNode(t, "b", nil)
		a.SetPeers([]Peer{b.peer()})
		b.SetPeers([]Peer{a.peer()})
		const count = 50
		for i := range count {
			assert.NilError(t, a.Send("b", Message{Kind: kindOneWay, Body: fmt.Append(nil, i)}))
			assert.NilError(t, b.Send("a", Message{Kind: kindOneWay, Body: fmt.Append(nil, i)}))
		}
		eventually(t, "every message arrives", func() bool {
			return len(a.received()) == count && len(b.received()) == count
		})
		eventually(t, "one session is left", func() bool { return len(a.Sessions()) == 1 && len(b.Sessions()) == 1 })
		assert.Equal(t, a.Sessions()[0].Dialled, !b.Sessions()[0].Dialled, "round %d", round)
		a.Close()
		b.Close()
	}
}

func TestIdleSessionClosesAndReopens(t *testing.T) {
	shortIdleLimit := func(o *Options) { o.IdleLimit = 300 * time.Millisecond }
	a, b := startNode(t, "a", shortIdleLimit), startNode(t, "b", shortIdleLimit)
	a.SetPeers([]Peer{b.peer()})
	assert.NilError(t, a.Send("b", Message{Kind: kindOneWay, Body: []byte("1")}))
	eventually(t, "the message arrives", func() bool { return len(b.received()) == 1 })
	eventually(t, "the session closes", func() bool { return len(a.Sessions()) == 0 && len(b.Sessions()) == 0 })
	assert.Equal(t, a.events.countOf(eventSessionSilent), 0)
	assert.NilError(t, a.Send("b", Message{Kind: kindOneWay, Body: []byte("2")}))
	eventually(t, "the next message arrives", func() bool { return len(b.received()) == 2 })
}

func TestWrongInstanceAtAnAddress(t *testing.T) {
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	a.SetPeers([]Peer{{ID: "c", Address: b.Addr().String()}})
	_, err := a.Call(context.Background(), "c", Message{Kind: kindEcho})
	assert.ErrorIs(t, err, ErrNoSession)
	assert.Equal(t, a.events.countOf(eventWrongInstance), 1)
	assert.Equal(t, len(b.Sessions()), 0)
}

// TestRestartedPeerIsReachable closes an instance and starts its next
// incarnation at the same address.
func TestRestartedPeerIsReachable(t *testing.T) {
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	a.SetPeers([]Peer{b.peer()})
	_, err := a.Call(context.Background(), "b", Message{Kind: kindEcho})
	assert.NilError(t, err)
	address := b.Addr().String()
	b.Close()
	eventually(t, "the peer is unreachable", func() bool {
		_, err := a.Call(context.Background(), "b", Message{Kind: kindEcho})
		return err != nil
	})
	startNode(t, "b", func(o *Options) { o.ListenAddress = address; o.Self.Incarnation = 2 })
	eventually(t, "the next incarnation answers", func() bool {
		_, err := a.Call(context.Background(), "b", Message{Kind: kindEcho})
		return err == nil
	})
	assert.Equal(t, a.Sessions()[0].Peer.Incarnation, instance.Incarnation(2))
}

// TestOlderIncarnationBacksOff checks that a process superseded by a later
// incarnation loses its session, and delays its next dial.
func TestOlderIncarnationBacksOff(t *testing.T) {
	a := startNode(t, "a", nil)
	next := startNode(t, "b", func(o *Options) { o.Self.Incarnation = 2 })
	next.SetPeers([]Peer{a.peer()})
	_, err := next.Call(context.Background(), "a", Message{Kind: kindEcho})
	assert.NilError(t, err)

	older := startNode(t, "b", func(o *Options) { o.RedialMin, o.RedialMax = time.Hour, time.Hour })
	older.SetPeers([]Peer{a.peer()})
	assert.NilError(t, older.Send("a", Message{Kind: kindOneWay}))
	eventually(t, "the older incarnation's session is closed", func() bool {
		return older.events.countOf(eventSessionDown) == 1 && len(older.Sessions()) == 0
	})
	assert.ErrorIs(t, older.Send("a", Message{Kind: kindOneWay}), ErrNoSession)
	assert.Equal(t, a.events.countOf(eventSessionUp), 2)
	assert.Equal(t, a.Sessions()[0].Peer.Incarnation, instance.Incarnation(2))
}

func TestCallEndsWithContext(t *testing.T) {
	a := startNode(t, "a", nil)
	b := startNode(t, "b", nil)
	r := startRelay(t, b.Addr().String())
	a.SetPeers([]Peer{{ID: "b", Address: r.listener.Addr().String()}})
	_, err := a.Call(context.Background(), "b", Message{Kind: kindEcho})
	assert.NilError(t, err)
	r.dropBytes(true, true)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = a.Call(ctx, "b", Message{Kind: kindEcho})
	assert.ErrorIs(t, err, ErrCallLost)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

func TestMutualTLS(t *testing.T) {
	config := testCertificate(t)
	withTLS := func(o *Options) { o.TLS = config }
	a, b, plain := startNode(t, "a", withTLS), startNode(t, "b", withTLS), startNode(t, "p", nil)
	a.SetPeers([]Peer{b.peer()})
	plain.SetPeers([]Peer{b.peer()})
	answer, err := a.Call(context.Background(), "b", Message{Kind: kindEcho, Body: []byte("x")})
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), "a:x")
	_, err = plain.Call(context.Background(), "b", Message{Kind: kindEcho})
	assert.ErrorIs(t, err, ErrNoSession)
}

// testCertificate returns a configuration with a self-signed certificate for
// both ends.
func testCertificate(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "mesh"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IsCA:         true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	parsed, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
}
