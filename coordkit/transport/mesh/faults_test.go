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

// TestSilentSessionIsReplaced lets a relay swallow the bytes of the open
// connection without a reset, in each direction and in both.
func TestSilentSessionIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name          string
		towards, from bool
	}{{"both", true, true}, {"towards", true, false}, {"from", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			a, b, other := startNode(t, "a", nil), startNode(t, "b", nil), startNode(t, "c", nil)
			r := startRelay(t, b.Addr().String())
			a.SetPeers([]Peer{{ID: "b", Address: r.listener.Addr().String()}, other.peer()})
			assert.NilError(t, a.Send("b", Message{Kind: kindNote, Body: []byte("before")}))
			assert.NilError(t, a.Send("c", Message{Kind: kindNote, Body: []byte("other")}))
			eventually(t, "first messages arrive", func() bool {
				return len(b.received()) == 1 && len(other.received()) == 1
			})
			otherSession := a.sessionTo("c")

			r.swallow(c.towards, c.from)
			eventually(t, "the silent session is closed at both ends", func() bool {
				return a.events.seen(eventSessionDown) >= 1 && b.events.seen(eventSessionDown) >= 1
			})
			assert.Assert(t, a.events.seen(eventSessionSilent)+b.events.seen(eventSessionSilent) >= 1)
			eventually(t, "messages pass again", func() bool {
				a.Send("b", Message{Kind: kindNote, Body: []byte("after")})
				got := b.received()
				return got[len(got)-1] == "a:after"
			})
			assert.Equal(t, a.sessionTo("c"), otherSession)
		})
	}
}

// sessionTo returns when the session to a peer came up, or the zero time.
func (n *node) sessionTo(id instance.ID) time.Time {
	for _, s := range n.Sessions() {
		if s.Peer.ID == id && !s.Retiring {
			return s.Since
		}
	}
	return time.Time{}
}

// rawPeer is a hand-driven end of a session.
type rawPeer struct {
	mux    *yamux.Session
	stream *yamux.Stream
}

// dialRaw connects to a node and says hello.
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

// TestBadFramesEndOnlyTheirSession sends garbled and oversized frames, and
// checks that the session ends with its event while others go on.
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
			assert.NilError(t, a.Send("b", Message{Kind: kindNote, Body: []byte("1")}))
			p := dialRaw(t, b, hello(1, 1))
			eventually(t, "the raw session is up", func() bool { return !b.sessionTo("raw").IsZero() })
			c.send(p)
			eventually(t, "the raw session is gone", func() bool { return b.sessionTo("raw").IsZero() })
			assert.Equal(t, b.events.seen(c.event), 1)
			assert.NilError(t, a.Send("b", Message{Kind: kindNote, Body: []byte("2")}))
			eventually(t, "the other session works", func() bool { return len(b.received()) == 2 })
			assert.Equal(t, a.events.seen(eventSessionUp), 1)
		})
	}
}

// TestGarbageBeforeHello sends bytes that are no session at all.
func TestGarbageBeforeHello(t *testing.T) {
	b := startNode(t, "b", nil)
	for _, data := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x01\x00\x00\x00\x01\x00\x00\x00\x04\x03\xff\xff\xff"} {
		conn, err := net.Dial("tcp", b.Addr().String())
		assert.NilError(t, err)
		_, err = conn.Write([]byte(data))
		assert.NilError(t, err)
		t.Cleanup(func() { conn.Close() })
	}
	eventually(t, "both connections are refused", func() bool {
		return b.events.seen(eventHandshakeFailed)+b.events.seen(eventFrameGarbled) == 2
	})
	assert.Equal(t, len(b.Sessions()), 0)
}

func TestNewerPeerIsUnderstoodAsFarAsPossible(t *testing.T) {
	b := startNode(t, "b", nil)
	p := dialRaw(t, b, hello(1, 9))
	newer := &meshpb.Frame{Kind: uint32(kindNote), Body: []byte("known")}
	newer.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 500, protowire.VarintType), 7))
	p.write(t, &meshpb.Frame{Kind: 15, Body: []byte("unknown session kind")})
	p.write(t, &meshpb.Frame{Kind: 987_654, Body: []byte("unknown kind")})
	p.write(t, newer)
	eventually(t, "the known message arrives", func() bool { return len(b.received()) == 1 })
	assert.Equal(t, b.received()[0], "raw:known")

	dialRaw(t, b, hello(5, 9))
	eventually(t, "the too new peer is refused", func() bool { return b.events.seen(eventVersionMismatch) == 1 })
}

// TestSlowReaderHoldsUpNobodyElse blocks one receiver.
func TestSlowReaderHoldsUpNobodyElse(t *testing.T) {
	small := func(o *Options) { o.QueueBytes = 64 << 10; o.SilenceLimit = 5 * time.Second }
	a, b, other := startNode(t, "a", small), startNode(t, "b", small), startNode(t, "c", small)
	a.SetPeers([]Peer{b.peer(), other.peer()})
	b.hold.Lock()
	eventually(t, "the queue fills", func() bool {
		for range 64 {
			if err := a.Send("b", Message{Kind: kindNote, Body: make([]byte, 1<<10)}); err != nil {
				assert.ErrorIs(t, err, ErrQueueFull)
				return true
			}
		}
		return false
	})
	assert.Equal(t, a.events.seen(eventQueueFull), 1)
	assert.NilError(t, a.Send("c", Message{Kind: kindNote, Body: []byte("x")}))
	eventually(t, "the other peer hears", func() bool { return len(other.received()) == 1 })
	b.hold.Unlock()
	eventually(t, "the queue drains", func() bool {
		return a.Send("b", Message{Kind: kindNote, Body: []byte("last")}) == nil
	})
	eventually(t, "the last message arrives", func() bool {
		got := b.received()
		return len(got) > 0 && got[len(got)-1] == "a:last"
	})
}

// TestCrossedDialsSettleOnOneSession lets two instances dial each other at
// the same time.
func TestCrossedDialsSettleOnOneSession(t *testing.T) {
	for round := range 20 {
		a, b := startNode(t, "a", nil), startNode(t, "b", nil)
		a.SetPeers([]Peer{b.peer()})
		b.SetPeers([]Peer{a.peer()})
		const count = 50
		for i := range count {
			assert.NilError(t, a.Send("b", Message{Kind: kindNote, Body: fmt.Append(nil, i)}))
			assert.NilError(t, b.Send("a", Message{Kind: kindNote, Body: fmt.Append(nil, i)}))
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

func TestIdleSessionClosesAndComesBack(t *testing.T) {
	short := func(o *Options) { o.IdleLimit = 300 * time.Millisecond }
	a, b := startNode(t, "a", short), startNode(t, "b", short)
	a.SetPeers([]Peer{b.peer()})
	assert.NilError(t, a.Send("b", Message{Kind: kindNote, Body: []byte("1")}))
	eventually(t, "the message arrives", func() bool { return len(b.received()) == 1 })
	eventually(t, "the session closes", func() bool { return len(a.Sessions()) == 0 && len(b.Sessions()) == 0 })
	assert.Equal(t, a.events.seen(eventSessionSilent), 0)
	assert.NilError(t, a.Send("b", Message{Kind: kindNote, Body: []byte("2")}))
	eventually(t, "the next message arrives", func() bool { return len(b.received()) == 2 })
}

func TestWrongInstanceAtAnAddress(t *testing.T) {
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	a.SetPeers([]Peer{{ID: "c", Address: b.Addr().String()}})
	_, err := a.Call(context.Background(), "c", Message{Kind: kindEcho})
	assert.ErrorIs(t, err, ErrNoSession)
	assert.Equal(t, a.events.seen(eventWrongInstance), 1)
	assert.Equal(t, len(b.Sessions()), 0)
}

// TestRestartedPeer ends an instance without a goodbye and starts its next
// life at the same address.
func TestRestartedPeer(t *testing.T) {
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
	eventually(t, "the next life answers", func() bool {
		_, err := a.Call(context.Background(), "b", Message{Kind: kindEcho})
		return err == nil
	})
	assert.Equal(t, a.Sessions()[0].Peer.Incarnation, instance.Incarnation(2))
}

// TestOlderLifeDoesNotDialInALoop lets a process go on whose ID a later life
// uses: its session is closed, and it waits before it dials again.
func TestOlderLifeDoesNotDialInALoop(t *testing.T) {
	a := startNode(t, "a", nil)
	next := startNode(t, "b", func(o *Options) { o.Self.Incarnation = 2 })
	next.SetPeers([]Peer{a.peer()})
	_, err := next.Call(context.Background(), "a", Message{Kind: kindEcho})
	assert.NilError(t, err)

	older := startNode(t, "b", func(o *Options) { o.RedialMin, o.RedialMax = time.Hour, time.Hour })
	older.SetPeers([]Peer{a.peer()})
	assert.NilError(t, older.Send("a", Message{Kind: kindNote}))
	eventually(t, "the older life's session is closed", func() bool {
		return older.events.seen(eventSessionDown) == 1 && len(older.Sessions()) == 0
	})
	assert.ErrorIs(t, older.Send("a", Message{Kind: kindNote}), ErrNoSession)
	assert.Equal(t, a.events.seen(eventSessionUp), 2)
	assert.Equal(t, a.Sessions()[0].Peer.Incarnation, instance.Incarnation(2))
}

func TestCallEndsWithItsContext(t *testing.T) {
	a := startNode(t, "a", nil)
	b := startNode(t, "b", nil)
	r := startRelay(t, b.Addr().String())
	a.SetPeers([]Peer{{ID: "b", Address: r.listener.Addr().String()}})
	_, err := a.Call(context.Background(), "b", Message{Kind: kindEcho})
	assert.NilError(t, err)
	r.swallow(true, true)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = a.Call(ctx, "b", Message{Kind: kindEcho})
	assert.ErrorIs(t, err, ErrCallLost)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

func TestMutualTLS(t *testing.T) {
	config := testCertificate(t)
	secure := func(o *Options) { o.TLS = config }
	a, b, plain := startNode(t, "a", secure), startNode(t, "b", secure), startNode(t, "p", nil)
	a.SetPeers([]Peer{b.peer()})
	plain.SetPeers([]Peer{b.peer()})
	answer, err := a.Call(context.Background(), "b", Message{Kind: kindEcho, Body: []byte("x")})
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), "a:x")
	_, err = plain.Call(context.Background(), "b", Message{Kind: kindEcho})
	assert.ErrorIs(t, err, ErrNoSession)
}

// testCertificate returns a configuration whose one self-signed certificate
// serves both ends.
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
