package mesh

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/protocol/frame"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/meshpb"
)

// maxHelloBytes bounds the first frame of a connection, before the peer has
// said who it is.
const maxHelloBytes = 4 << 10

const errWrongInstance = errors.ConstError("another instance answers at this address; wait for the membership list")

// greeting is what a completed handshake yields.
type greeting struct {
	mux     *yamux.Session
	stream  *yamux.Stream
	reader  *frame.Reader
	peer    instance.Process
	version uint32
	// to is the instance that the peer wants to reach.
	to instance.ID
	// answered is set when our hello went out.
	answered bool
}

// dial connects to a peer and shakes hands.
func (m *Mesh) dial(ctx context.Context, to instance.ID, address string) (greeting, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.DialTimeout)
	defer cancel()
	conn, err := m.dialConn(ctx, address)
	if err != nil {
		return greeting{}, errors.Trace(err)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	g, err := m.greetDialled(conn, to)
	if err != nil {
		conn.Close()
		return greeting{}, errors.Trace(err)
	}
	return g, nil
}

func (m *Mesh) dialConn(ctx context.Context, address string) (net.Conn, error) {
	if m.options.TLS == nil {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	dialer := tls.Dialer{Config: m.options.TLS}
	return dialer.DialContext(ctx, "tcp", address)
}

func (m *Mesh) greetDialled(conn net.Conn, to instance.ID) (greeting, error) {
	mux, err := multiplex(conn, true, &m.options)
	if err != nil {
		return greeting{}, errors.Trace(err)
	}
	stream, err := mux.OpenStream()
	if err != nil {
		mux.Close()
		return greeting{}, errors.Trace(err)
	}
	g := greeting{mux: mux, stream: stream}
	// A failed write is no verdict yet: a peer that refuses us may have
	// answered and closed before the write returned.
	writeErr := m.writeHello(stream, to)
	err = g.readHello(m.options.DialTimeout, m.options.MaxFrameBytes)
	if err != nil && writeErr != nil {
		err = writeErr
	}
	if err == nil && g.peer.ID != to {
		err = errors.Annotatef(errWrongInstance, "wanted %s, found %s", to, g.peer)
	}
	if err != nil {
		mux.Close()
		return greeting{}, errors.Trace(err)
	}
	return g, nil
}

// greetAccepted shakes hands on an accepted connection. With an error, the
// greeting holds how far it came, and its session is still open if not nil.
func (m *Mesh) greetAccepted(conn net.Conn) (greeting, error) {
	timer := time.AfterFunc(m.options.DialTimeout, func() { conn.Close() })
	defer timer.Stop()
	if m.options.TLS != nil {
		conn = tls.Server(conn, m.options.TLS)
	}
	mux, err := multiplex(conn, false, &m.options)
	if err != nil {
		return greeting{}, errors.Trace(err)
	}
	g := greeting{mux: mux}
	if g.stream, err = mux.AcceptStream(); err != nil {
		return g, errors.Trace(err)
	}
	err = g.readHello(m.options.DialTimeout, m.options.MaxFrameBytes)
	// The answer goes out even when the two do not match, so that the dialling
	// side can tell why.
	if err == nil || errors.Is(err, frame.ErrNoCommonVersion) {
		writeErr := m.writeHello(g.stream, g.peer.ID)
		g.answered = writeErr == nil
		if err == nil {
			err = writeErr
		}
	}
	if err == nil && g.to != m.options.Self.ID {
		err = errors.Annotatef(errWrongInstance, "%s looks for %s", g.peer, g.to)
	}
	return g, errors.Trace(err)
}

// refuse ends a handshake that failed. When an answer went out, it leaves the
// peer time to read it and to close first, since closing with unread input
// resets the connection.
func (g *greeting) refuse(timeout time.Duration) {
	if g.mux == nil {
		return
	}
	if g.answered {
		g.stream.SetReadDeadline(time.Now().Add(timeout))
		io.Copy(io.Discard, g.stream)
	}
	g.mux.Close()
}

func (m *Mesh) writeHello(stream *yamux.Stream, to instance.ID) error {
	body, err := proto.Marshal(&meshpb.Hello{
		Id:          string(m.options.Self.ID),
		Incarnation: uint64(m.options.Self.Incarnation),
		MinVersion:  frame.MinVersion,
		MaxVersion:  frame.MaxVersion,
		To:          string(to),
	})
	if err != nil {
		return errors.Trace(err)
	}
	buf, err := frame.Append(nil, &meshpb.Frame{Version: frame.MaxVersion, Kind: frame.KindHello, Body: body})
	if err != nil {
		return errors.Trace(err)
	}
	_, err = stream.Write(buf)
	return errors.Trace(err)
}

// readHello reads the peer's first frame. The reader stays in use afterwards
// with the full frame limit.
func (g *greeting) readHello(timeout time.Duration, maxFrameBytes int) error {
	g.stream.SetReadDeadline(time.Now().Add(timeout))
	defer g.stream.SetReadDeadline(time.Time{})
	g.reader = frame.NewReader(g.stream, maxHelloBytes)
	f, err := g.reader.Next()
	if err != nil {
		return errors.Trace(err)
	}
	g.reader.SetLimit(maxFrameBytes)
	var hello meshpb.Hello
	if f.GetKind() != frame.KindHello {
		return errors.Annotatef(frame.ErrMalformed, "first frame has kind %d", f.GetKind())
	}
	if err := proto.Unmarshal(f.GetBody(), &hello); err != nil {
		return errors.Annotatef(frame.ErrMalformed, "hello: %v", err)
	}
	if hello.GetId() == "" {
		return errors.Annotate(frame.ErrMalformed, "hello without an instance ID")
	}
	g.peer = instance.Process{ID: instance.ID(hello.GetId()), Incarnation: instance.Incarnation(hello.GetIncarnation())}
	g.to = instance.ID(hello.GetTo())
	g.version, err = frame.CommonVersion(hello.GetMinVersion(), hello.GetMaxVersion())
	return errors.Trace(err)
}
