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

// maxHelloBytes bounds the first frame of a connection, when the peer is not yet
// identified.
const maxHelloBytes = 4 << 10

const errWrongInstance = errors.ConstError("another instance answers at this address; wait for the membership list")

// handshake is the progress and result of a handshake with a peer.
type handshake struct {
	mux     *yamux.Session
	stream  *yamux.Stream
	reader  *frame.Reader
	peer    instance.Process
	version uint32
	// target is the instance that the peer intends to reach.
	target instance.ID
	// helloSent is set when the hello of this side was sent.
	helloSent bool
}

// dial connects to a peer and performs the handshake.
func (m *Mesh) dial(ctx context.Context, to instance.ID, address string) (handshake, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.DialTimeout)
	defer cancel()
	conn, err := m.dialConn(ctx, address)
	if err != nil {
		return handshake{}, errors.Trace(err)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	h, err := m.handshakeDialled(conn, to)
	if err != nil {
		conn.Close()
		return handshake{}, errors.Trace(err)
	}
	return h, nil
}

func (m *Mesh) dialConn(ctx context.Context, address string) (net.Conn, error) {
	if m.options.TLS == nil {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	dialer := tls.Dialer{Config: m.options.TLS}
	return dialer.DialContext(ctx, "tcp", address)
}

func (m *Mesh) handshakeDialled(conn net.Conn, to instance.ID) (handshake, error) {
	mux, err := multiplex(conn, true, &m.options)
	if err != nil {
		return handshake{}, errors.Trace(err)
	}
	stream, err := mux.OpenStream()
	if err != nil {
		mux.Close()
		return handshake{}, errors.Trace(err)
	}
	h := handshake{mux: mux, stream: stream}
	// Read the answer even if the write failed: a peer that rejects the
	// connection may have answered and closed it before the write returned.
	writeErr := m.writeHello(stream, to)
	err = h.readHello(m.options.DialTimeout, m.options.MaxFrameBytes)
	if err != nil && writeErr != nil {
		err = writeErr
	}
	if err == nil && h.peer.ID != to {
		err = errors.Annotatef(errWrongInstance, "wanted %s, found %s", to, h.peer)
	}
	if err != nil {
		mux.Close()
		return handshake{}, errors.Trace(err)
	}
	return h, nil
}

// handshakeAccepted performs the handshake on an accepted connection. In case of
// an error, the returned handshake contains its progress, and a mux that is not
// nil is still open.
func (m *Mesh) handshakeAccepted(conn net.Conn) (handshake, error) {
	timer := time.AfterFunc(m.options.DialTimeout, func() { conn.Close() })
	defer timer.Stop()
	if m.options.TLS != nil {
		conn = tls.Server(conn, m.options.TLS)
	}
	mux, err := multiplex(conn, false, &m.options)
	if err != nil {
		return handshake{}, errors.Trace(err)
	}
	h := handshake{mux: mux}
	if h.stream, err = mux.AcceptStream(); err != nil {
		return h, errors.Trace(err)
	}
	err = h.readHello(m.options.DialTimeout, m.options.MaxFrameBytes)
	// Send the answer even without a common version, so that the dialling side
	// can report the reason.
	if err == nil || errors.Is(err, frame.ErrNoCommonVersion) {
		writeErr := m.writeHello(h.stream, h.peer.ID)
		h.helloSent = writeErr == nil
		if err == nil {
			err = writeErr
		}
	}
	if err == nil && h.target != m.options.Self.ID {
		err = errors.Annotatef(errWrongInstance, "%s looks for %s", h.peer, h.target)
	}
	return h, errors.Trace(err)
}

// closeRejected closes a failed handshake. If an answer was sent, it gives the
// peer time to read the answer and to close first, since closing a connection
// with unread input resets it.
func (h *handshake) closeRejected(timeout time.Duration) {
	if h.mux == nil {
		return
	}
	if h.helloSent {
		h.stream.SetReadDeadline(time.Now().Add(timeout))
		io.Copy(io.Discard, h.stream)
	}
	h.mux.Close()
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

// readHello reads the peer's first frame, and sets the reader's limit for the
// frames that follow.
func (h *handshake) readHello(timeout time.Duration, maxFrameBytes int) error {
	h.stream.SetReadDeadline(time.Now().Add(timeout))
	defer h.stream.SetReadDeadline(time.Time{})
	h.reader = frame.NewReader(h.stream, maxHelloBytes)
	f, err := h.reader.Next()
	if err != nil {
		return errors.Trace(err)
	}
	h.reader.SetLimit(maxFrameBytes)
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
	h.peer = instance.Process{ID: instance.ID(hello.GetId()), Incarnation: instance.Incarnation(hello.GetIncarnation())}
	h.target = instance.ID(hello.GetTo())
	h.version, err = frame.CommonVersion(hello.GetMinVersion(), hello.GetMaxVersion())
	return errors.Trace(err)
}
