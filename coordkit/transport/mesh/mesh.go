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

// closeGrace bounds how long Close waits for peers to read what is queued.
const closeGrace = time.Second

// acceptRetryDelay is the pause after a failed accept, for example when the
// process is out of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// supervisePerPing is how often sessions are looked at in a ping interval.
const supervisePerPing = 4

// firstFreeKind is the first kind that the session itself does not use.
const firstFreeKind Kind = 16

// Peer is an instance and where to reach it.
type Peer struct {
	ID      instance.ID
	Address string
}

// SessionInfo describes one session.
type SessionInfo struct {
	Peer    instance.Process
	Address string
	// Dialled is set when this instance opened the session.
	Dialled bool
	// Retiring is set on a session that takes no new message or call.
	Retiring     bool
	Since        time.Time
	LastReceived time.Time
	// Sent and Received count frames; Confirmed counts the frames that the
	// peer says it has received.
	Sent      uint64
	Received  uint64
	Confirmed uint64
	// Calls counts the calls in progress, in both directions.
	Calls int
}

// Mesh holds the sessions of one instance. It implements Sender and Caller.
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

// handlers is the registered behaviour, read-only after Start.
type handlers struct {
	messages map[Kind]ReceiveFunc
	calls    map[Kind]CallFunc
}

func (h *handlers) OnMessage(k Kind, f ReceiveFunc) {
	h.mustBeFree(k)
	h.messages[k] = f
}

func (h *handlers) OnCall(k Kind, f CallFunc) {
	h.mustBeFree(k)
	h.calls[k] = f
}

func (h *handlers) mustBeFree(k Kind) {
	if k < firstFreeKind || h.messages[k] != nil || h.calls[k] != nil {
		panic(fmt.Sprintf("mesh: message kind %d is taken; choose another", k))
	}
}

// Start listens, and returns a Mesh that dials its peers when it has
// something for them. The function register adds the handlers.
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

// SetPeers replaces the known addresses. Sessions to instances that are no
// longer named live on until they are idle.
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
		m.peerLocked(id)
	}
	for id, p := range m.peers {
		if p.setAddress(addresses[id]) {
			delete(m.peers, id)
		}
	}
}

// peerLocked returns the record of a peer, which it makes when needed.
func (m *Mesh) peerLocked(id instance.ID) *peer {
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

// Send queues a message to an instance and returns. It dials when there is no
// session; the message is lost when that fails.
func (m *Mesh) Send(to instance.ID, msg Message) error {
	if msg.Kind < firstFreeKind {
		return errors.Errorf("mesh: kind %d is reserved; use %d or more", msg.Kind, FirstApplicationKind)
	}
	if len(msg.Body) > m.options.MaxFrameBytes-frameOverheadBytes {
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

// deliverLocal hands a message of this instance to its own handler.
func (m *Mesh) deliverLocal(msg Message) {
	if f := m.handlers.messages[msg.Kind]; f != nil {
		f(m.options.Self, msg)
	}
}

// Sessions describes the sessions, by peer and age.
func (m *Mesh) Sessions() []SessionInfo {
	var all []SessionInfo
	for _, s := range m.allSessions() {
		all = append(all, s.info())
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Peer.ID != all[j].Peer.ID {
			return all[i].Peer.ID < all[j].Peer.ID
		}
		return all[i].Since.Before(all[j].Since)
	})
	return all
}

func (m *Mesh) allSessions() []*session {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []*session
	for _, p := range m.peers {
		all = append(all, p.liveSessions()...)
	}
	return all
}

// superviseLoop looks at every session for silence, idleness and due pings.
func (m *Mesh) superviseLoop() {
	ticker := time.NewTicker(m.options.PingInterval / supervisePerPing)
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

// admit counts one more accepted connection, or refuses it.
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
	g, err := m.greetAccepted(conn)
	if err != nil {
		m.reportHandshake(conn.RemoteAddr().String(), g.peer, err)
		g.refuse(m.options.DialTimeout)
		conn.Close()
		return
	}
	m.attach(g, false).wait()
}

// reportHandshake emits the event that fits a failed handshake.
func (m *Mesh) reportHandshake(address string, peer instance.Process, err error) {
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

// attach makes a session of a finished handshake and starts it.
func (m *Mesh) attach(g greeting, dialled bool) *session {
	m.mu.Lock()
	p := m.peerLocked(g.peer.ID)
	s := newSession(p, g, dialled)
	loser := p.adopt(s)
	closing := m.closing
	m.mu.Unlock()

	m.options.Events.Emit(eventSessionUp, events.F("peer", g.peer.String()),
		events.F("address", s.address), events.F("dialled", dialled))
	s.start()
	switch {
	case closing:
		s.close("mesh is closing", nil)
	case loser != nil && loser.peerLife.Incarnation != p.newestIncarnation():
		loser.close("older incarnation", nil)
	case loser != nil:
		loser.retire("another session joins the two instances")
	}
	return s
}

// Close sends what is queued, waits a short time for the peers to confirm it,
// and ends all sessions.
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
	m.awaitSessions(closeGrace)
	m.cancel()
	for _, s := range m.allSessions() {
		s.close("mesh is closing", nil)
	}
	m.running.Wait()
	return errors.Trace(err)
}

// awaitSessions waits until all sessions have ended, or for the given time.
func (m *Mesh) awaitSessions(limit time.Duration) {
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

// messageFrame is the wire form of a message.
func messageFrame(msg Message) *meshpb.Frame {
	return &meshpb.Frame{Kind: uint32(msg.Kind), Body: msg.Body, TraceParent: msg.TraceParent}
}

// frameMessage is the message in a frame.
func frameMessage(f *meshpb.Frame) Message {
	return Message{Kind: Kind(f.GetKind()), Body: f.GetBody(), TraceParent: f.GetTraceParent()}
}
