package mesh

import (
	"context"
	"fmt"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/frame"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/meshpb"
)

// closeTimeout bounds how long Close waits for peers to read queued messages.
const closeTimeout = time.Second

// acceptRetryDelay is the delay after a failed accept, for example when the
// process is out of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// supervisionsPerPing is how often sessions are checked per ping interval.
const supervisionsPerPing = 4

// firstHandlerKind is the first kind for which handlers may be registered. Lower
// kinds are those of the session protocol.
const firstHandlerKind Kind = 16

// Peer is an instance and its mesh address.
type Peer struct {
	ID      instance.ID
	Address string
}

// SessionInfo describes a session.
type SessionInfo struct {
	Peer    instance.Process
	Address string
	// Dialled is set when this instance opened the session.
	Dialled bool
	// Retiring is set when the session accepts no new messages or calls.
	Retiring     bool
	Since        time.Time
	LastReceived time.Time
	// Sent and Received count frames. Confirmed counts the frames that the
	// peer has confirmed as received.
	Sent      uint64
	Received  uint64
	Confirmed uint64
	// Calls counts the calls in progress, in both directions.
	Calls int
}

// Mesh manages the sessions of an instance. It implements Sender and Caller.
type Mesh struct {
	options  Options
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
	handlers handlers
	local    *localQueue

	mu    sync.Mutex
	peers map[instance.ID]*peer
	// inbound counts accepted connections that are still open.
	inbound int
	closing bool
}

// handlers contains the registered handlers. It is read-only after Start.
type handlers struct {
	messages map[Kind]ReceiveFunc
	calls    map[Kind]CallFunc
}

func (h *handlers) OnMessage(k Kind, f ReceiveFunc) {
	h.mustBeUnregistered(k)
	h.messages[k] = f
}

func (h *handlers) OnCall(k Kind, f CallFunc) {
	h.mustBeUnregistered(k)
	h.calls[k] = f
}

func (h *handlers) mustBeUnregistered(k Kind) {
	if k < firstHandlerKind || h.messages[k] != nil || h.calls[k] != nil {
		panic(fmt.Sprintf("mesh: message kind %d is taken; choose another", k))
	}
}

// Start listens and returns a Mesh, which dials a peer when there is a message
// or call for it. The function register registers the handlers.
func Start(o Options, register func(Registrar)) (*Mesh, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, errors.Trace(err)
	}
	h := handlers{messages: map[Kind]ReceiveFunc{}, calls: map[Kind]CallFunc{}}
	register(&h)
	listener, err := net.Listen("tcp", o.ListenAddress)
	if err != nil {
		return nil, errors.Annotatef(err, "mesh: listen on %q; choose a free address of this host", o.ListenAddress)
	}
	m := &Mesh{options: o, listener: listener, handlers: h, peers: map[instance.ID]*peer{}}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.local = newLocalQueue(o.QueueBytes)
	m.running.Go(m.acceptLoop)
	m.running.Go(m.superviseLoop)
	m.running.Go(func() { m.local.run(m.ctx, m.deliverLocal) })
	return m, nil
}

// Addr returns the address that the mesh listens on.
func (m *Mesh) Addr() net.Addr { return m.listener.Addr() }

// SetPeers replaces the known addresses. Sessions to instances that are not in
// peers stay open until they are idle.
func (m *Mesh) SetPeers(peers []Peer) {
	addresses := make(map[instance.ID]string, len(peers))
	for _, p := range peers {
		if p.ID != m.options.Self.ID {
			addresses[p.ID] = p.Address
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range addresses {
		m.ensurePeerLocked(id)
	}
	for id, p := range m.peers {
		if p.setAddress(addresses[id]) {
			delete(m.peers, id)
		}
	}
}

// ensurePeerLocked returns the record of a peer, creating it if necessary.
func (m *Mesh) ensurePeerLocked(id instance.ID) *peer {
	p := m.peers[id]
	if p == nil {
		p = newPeer(m, id)
		m.peers[id] = p
	}
	return p
}

// lookup returns the record of a known peer, or ErrNoPeer.
func (m *Mesh) lookup(id instance.ID) (*peer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closing {
		return nil, errors.Annotate(ErrNoSession, "mesh is closing")
	}
	p := m.peers[id]
	if p == nil {
		return nil, errors.Annotatef(ErrNoPeer, "%s", id)
	}
	return p, nil
}

// Send queues a message to an instance and returns. It dials if there is no
// session. If the dial fails, the message is lost.
func (m *Mesh) Send(to instance.ID, msg Message) error {
	if msg.Kind < firstHandlerKind {
		return errors.Errorf("mesh: kind %d is reserved; use %d or more", msg.Kind, FirstApplicationKind)
	}
	if len(msg.Body) > m.options.MaxFrameBytes-maxFrameOverheadBytes {
		return errors.Annotatef(ErrTooLarge, "%d bytes, limit %d", len(msg.Body), m.options.MaxFrameBytes)
	}
	if to == m.options.Self.ID {
		return m.local.push(msg)
	}
	p, err := m.lookup(to)
	if err != nil {
		return err
	}
	return p.send(msg)
}

// deliverLocal passes a message from this instance to its own handler.
func (m *Mesh) deliverLocal(msg Message) {
	if f := m.handlers.messages[msg.Kind]; f != nil {
		f(m.options.Self, msg)
	}
}

// Sessions describes the sessions, sorted by peer, then oldest first.
func (m *Mesh) Sessions() []SessionInfo {
	var infos []SessionInfo
	for _, s := range m.allSessions() {
		infos = append(infos, s.info())
	}
	sort.Slice(infos, func(i, j int) bool {
		if infos[i].Peer.ID != infos[j].Peer.ID {
			return infos[i].Peer.ID < infos[j].Peer.ID
		}
		return infos[i].Since.Before(infos[j].Since)
	})
	return infos
}

func (m *Mesh) allSessions() []*session {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sessions []*session
	for _, p := range m.peers {
		sessions = append(sessions, p.openSessions()...)
	}
	return sessions
}

// superviseLoop periodically checks every session for an unresponsive peer,
// idleness and due pings.
func (m *Mesh) superviseLoop() {
	ticker := time.NewTicker(m.options.PingInterval / supervisionsPerPing)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case now := <-ticker.C:
			for _, s := range m.allSessions() {
				s.supervise(now)
			}
		}
	}
}

func (m *Mesh) acceptLoop() {
	for {
		conn, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.options.Events.Emit(eventAcceptFailed, events.F("error", err.Error()))
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !m.admit() {
			conn.Close()
			m.options.Events.Emit(eventSessionLimit, events.F("limit", m.options.MaxSessions))
			continue
		}
		m.running.Go(func() { m.serveAccepted(conn) })
	}
}

// admit counts an accepted connection. It returns false if the connection must
// be rejected.
func (m *Mesh) admit() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closing || m.inbound >= m.options.MaxSessions {
		return false
	}
	m.inbound++
	return true
}

func (m *Mesh) serveAccepted(conn net.Conn) {
	defer func() {
		m.mu.Lock()
		m.inbound--
		m.mu.Unlock()
	}()
	stop := context.AfterFunc(m.ctx, func() { conn.Close() })
	defer stop()
	h, err := m.handshakeAccepted(conn)
	if err != nil {
		m.reportHandshakeError(conn.RemoteAddr().String(), h.peer, err)
		h.closeRejected(m.options.DialTimeout)
		conn.Close()
		return
	}
	m.startSession(h, false).wait()
}

// reportHandshakeError emits the event that matches the error of a handshake.
func (m *Mesh) reportHandshakeError(address string, peer instance.Process, err error) {
	event := eventHandshakeFailed
	switch {
	case errors.Is(err, frame.ErrNoCommonVersion):
		event = eventVersionMismatch
	case errors.Is(err, frame.ErrMalformed):
		event = eventFrameGarbled
	case errors.Is(err, frame.ErrOversized):
		event = eventFrameOversized
	case errors.Is(err, errWrongInstance):
		event = eventWrongInstance
	}
	m.options.Events.Emit(event, events.F("address", address), events.F("peer", peer.String()),
		events.F("error", err.Error()))
}

// startSession creates and starts the session of a completed handshake.
func (m *Mesh) startSession(h handshake, dialled bool) *session {
	m.mu.Lock()
	p := m.ensurePeerLocked(h.peer.ID)
	s := newSession(p, h, dialled)
	replaced := p.addSession(s)
	closing := m.closing
	m.mu.Unlock()

	m.options.Events.Emit(eventSessionUp, events.F("peer", h.peer.String()),
		events.F("address", s.address), events.F("dialled", dialled))
	s.start()
	switch {
	case closing:
		s.close("mesh is closing", nil)
	case replaced != nil && replaced.remote.Incarnation != p.newestIncarnation():
		replaced.close("older incarnation", nil)
	case replaced != nil:
		replaced.retire("another session joins the two instances")
	}
	return s
}

// Close sends the queued messages, waits a short time for the peers to confirm
// them, and closes all sessions.
func (m *Mesh) Close() error {
	m.mu.Lock()
	if m.closing {
		m.mu.Unlock()
		m.running.Wait()
		return nil
	}
	m.closing = true
	m.mu.Unlock()
	err := m.listener.Close()
	for _, s := range m.allSessions() {
		s.retire("mesh is closing")
	}
	m.waitForSessions(closeTimeout)
	m.cancel()
	for _, s := range m.allSessions() {
		s.close("mesh is closing", nil)
	}
	m.running.Wait()
	return errors.Trace(err)
}

// waitForSessions waits until all sessions have ended, at most for the given
// time.
func (m *Mesh) waitForSessions(limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for _, s := range m.allSessions() {
		select {
		case <-s.done:
		case <-timer.C:
			return
		}
	}
}

func (m *Mesh) isClosing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.closing
}

// frameFromMessage returns the frame that carries a message.
func frameFromMessage(msg Message) *meshpb.Frame {
	return &meshpb.Frame{Kind: uint32(msg.Kind), Body: msg.Body, TraceParent: msg.TraceParent}
}

// messageFromFrame returns the message that a frame carries.
func messageFromFrame(f *meshpb.Frame) Message {
	return Message{Kind: Kind(f.GetKind()), Body: f.GetBody(), TraceParent: f.GetTraceParent()}
}
