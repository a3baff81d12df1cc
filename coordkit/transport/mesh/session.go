package mesh

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/frame"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/meshpb"
)

// errSilent is the cause of closing a session whose peer went silent.
const errSilent = errors.ConstError("peer silent; dialling again")

// session is one connection to a peer. Its first stream carries the one-way
// messages of both directions, each further stream one call.
type session struct {
	peer     *peer
	mesh     *Mesh
	peerLife instance.Process
	address  string
	dialled  bool
	since    time.Time
	mux      *yamux.Session
	stream   *yamux.Stream
	reader   *frame.Reader
	wake     chan struct{}
	done     chan struct{}
	running  sync.WaitGroup
	// ctx ends with the session; answers to calls run under it.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// Invariant: confirmed <= sent. Both count frames of the first stream.
	sent      uint64
	confirmed uint64
	// unconfirmedSince is when sent last ran ahead of confirmed, or when the
	// peer last confirmed a part.
	unconfirmedSince time.Time
	received         uint64
	// reported is the part of received that the peer was told of.
	reported     uint64
	lastReceived time.Time
	lastWritten  time.Time
	lastPing     time.Time
	lastUse      time.Time
	calls        int
	retiring     bool
	// goodbyeAt is the value of sent after our Goodbye, or zero before it.
	goodbyeAt       uint64
	goodbyeReceived bool
	retiringSince   time.Time
	closed          bool
}

func newSession(p *peer, g greeting, dialled bool) *session {
	now := time.Now()
	s := &session{
		peer:         p,
		mesh:         p.mesh,
		peerLife:     g.peer,
		address:      g.mux.RemoteAddr().String(),
		dialled:      dialled,
		since:        now,
		mux:          g.mux,
		stream:       g.stream,
		reader:       g.reader,
		wake:         make(chan struct{}, 1),
		done:         make(chan struct{}),
		lastReceived: now,
		lastWritten:  now,
		lastUse:      now,
	}
	s.ctx, s.cancel = context.WithCancel(p.mesh.ctx)
	return s
}

func (s *session) start() {
	s.running.Go(s.readLoop)
	s.running.Go(s.writeLoop)
	s.running.Go(s.acceptCalls)
}

// wait returns when the session has ended.
func (s *session) wait() {
	<-s.done
	s.running.Wait()
}

// readLoop hands messages to their handlers in order.
func (s *session) readLoop() {
	for {
		f, err := s.reader.Next()
		if err != nil {
			s.fail(err)
			return
		}
		if err := s.receive(f); err != nil {
			s.fail(err)
			return
		}
	}
}

// receive handles one frame. Kinds that nobody registered are passed over.
func (s *session) receive(f *meshpb.Frame) error {
	s.noteReceived(f.GetKind())
	switch f.GetKind() {
	case frame.KindPing:
		return s.receivePing(f)
	case frame.KindGoodbye:
		s.receiveGoodbye()
		return nil
	}
	if handle := s.mesh.handlers.messages[Kind(f.GetKind())]; handle != nil {
		handle(s.peerLife, frameMessage(f))
	}
	return nil
}

func (s *session) noteReceived(kind uint32) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received++
	s.lastReceived = now
	if Kind(kind) >= firstFreeKind {
		s.lastUse = now
	}
}

func (s *session) receivePing(f *meshpb.Frame) error {
	var ping meshpb.Ping
	if err := proto.Unmarshal(f.GetBody(), &ping); err != nil {
		return errors.Annotatef(frame.ErrMalformed, "ping: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ping.GetReceived() > s.sent {
		return errors.Annotatef(frame.ErrMalformed, "peer confirms %d frames of %d", ping.GetReceived(), s.sent)
	}
	if ping.GetReceived() > s.confirmed {
		s.confirmed = ping.GetReceived()
		s.unconfirmedSince = s.lastReceived
	}
	return nil
}

func (s *session) receiveGoodbye() {
	s.mu.Lock()
	s.goodbyeReceived = true
	s.mu.Unlock()
	s.retire("peer ends the session")
	notify(s.wake)
}

// writeLoop writes batches of queued frames.
func (s *session) writeLoop() {
	var spare []byte
	for {
		select {
		case <-s.done:
			return
		case <-s.wake:
		}
		batch, count := s.peer.take(s, spare)
		batch, count = s.addControl(batch, count)
		if len(batch) > 0 {
			if _, err := s.stream.Write(batch); err != nil {
				s.fail(err)
				return
			}
		}
		spare = batch
		s.noteWritten(count)
		s.finishIfDone()
	}
}

// addControl appends due pings and the goodbye to a batch, and counts the
// frames as sent.
func (s *session) addControl(batch []byte, count int) ([]byte, int) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if count > 0 {
		s.lastUse = now
	}
	if s.retiring && s.goodbyeAt == 0 {
		batch = appendControl(batch, frame.KindGoodbye, nil)
		count++
		s.goodbyeAt = s.sent + uint64(count)
	}
	if s.pingDueLocked(now, count) {
		batch = appendControl(batch, frame.KindPing, &meshpb.Ping{Received: s.received})
		count++
		s.reported = s.received
		s.lastPing = now
	}
	if count > 0 && s.sent == s.confirmed {
		s.unconfirmedSince = now
	}
	s.sent += uint64(count)
	return batch, count
}

// pingDueLocked tells whether a ping goes with a batch of count frames: when
// nothing else was written for an interval, or beside other frames when the
// peer waits for a confirmation.
func (s *session) pingDueLocked(now time.Time, count int) bool {
	interval := s.mesh.options.PingInterval
	if now.Sub(s.lastPing) >= interval {
		return now.Sub(s.lastWritten) >= interval || s.received > s.reported
	}
	if s.goodbyeReceived {
		return s.received > s.reported
	}
	return count > 0 && s.received > s.reported && now.Sub(s.lastPing) >= interval/4
}

func (s *session) noteWritten(count int) {
	if count == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastWritten = time.Now()
}

func appendControl(batch []byte, kind uint32, body proto.Message) []byte {
	f := &meshpb.Frame{Kind: kind}
	if body != nil {
		f.Body, _ = proto.Marshal(body)
	}
	batch, _ = frame.Append(batch, f)
	return batch
}

// supervise closes a silent session, retires an idle one and wakes the writer
// when a ping is due.
func (s *session) supervise(now time.Time) {
	o := &s.mesh.options
	s.mu.Lock()
	quiet := now.Sub(s.lastReceived)
	unconfirmed := time.Duration(0)
	if s.sent > s.confirmed {
		unconfirmed = now.Sub(s.unconfirmedSince)
	}
	idle := s.calls == 0 && now.Sub(s.lastUse) > o.IdleLimit
	overdue := s.retiring && s.calls == 0 && now.Sub(s.retiringSince) > o.SilenceLimit
	ping := s.pingDueLocked(now, 0)
	s.mu.Unlock()
	switch {
	case quiet > o.SilenceLimit || unconfirmed > o.SilenceLimit:
		o.Events.Emit(eventSessionSilent, events.F("peer", s.peerLife.String()), events.F("address", s.address),
			events.F("quiet", quiet.String()), events.F("unconfirmed", unconfirmed.String()))
		s.fail(errSilent)
	case overdue:
		s.close("goodbye not answered", nil)
	case idle:
		s.retire("idle")
	case ping:
		notify(s.wake)
	}
	s.finishIfDone()
}

// retire ends the use of the session: it says goodbye after what was written,
// waits for calls in progress, and closes when the peer has done the same.
func (s *session) retire(reason string) {
	s.mu.Lock()
	if s.retiring || s.closed {
		s.mu.Unlock()
		return
	}
	s.retiring = true
	s.retiringSince = time.Now()
	s.mu.Unlock()
	s.mesh.options.Events.Emit(eventSessionRetired, events.F("peer", s.peerLife.String()), events.F("reason", reason))
	s.peer.release(s, false, false)
	notify(s.wake)
}

func (s *session) isRetiring() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retiring || s.closed
}

// finishIfDone closes a retired session once both ends have said goodbye, the
// peer has confirmed ours and no call is in progress.
func (s *session) finishIfDone() {
	s.mu.Lock()
	ended := s.goodbyeReceived && s.goodbyeAt > 0 && s.confirmed >= s.goodbyeAt && s.calls == 0
	told := s.received == s.reported
	s.mu.Unlock()
	switch {
	case ended && told:
		go s.close("retired", nil)
	case ended:
		notify(s.wake)
	}
}

// fail closes the session for an error and reports what was wrong with it.
func (s *session) fail(err error) {
	switch {
	case errors.Is(err, frame.ErrMalformed):
		s.reportFrame(eventFrameGarbled, err)
	case errors.Is(err, frame.ErrOversized):
		s.reportFrame(eventFrameOversized, err)
	case errors.Is(err, io.EOF):
		err = nil
	}
	s.close("session lost", err)
}

func (s *session) reportFrame(e events.Event, err error) {
	s.mesh.options.Events.Emit(e, events.F("peer", s.peerLife.String()), events.F("address", s.address),
		events.F("error", err.Error()))
}

// close ends the session at once. Repeated calls do nothing.
func (s *session) close(reason string, cause error) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	unexpected := !s.retiring
	s.mu.Unlock()
	s.cancel()
	s.peer.release(s, true, unexpected)
	close(s.done)
	fields := []events.Field{events.F("peer", s.peerLife.String()), events.F("address", s.address), events.F("reason", reason)}
	if cause != nil {
		fields = append(fields, events.F("error", cause.Error()))
	}
	s.mesh.options.Events.Emit(eventSessionDown, fields...)
	s.mux.Close()
}

func (s *session) info() SessionInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	return SessionInfo{
		Peer:         s.peerLife,
		Address:      s.address,
		Dialled:      s.dialled,
		Retiring:     s.retiring,
		Since:        s.since,
		LastReceived: s.lastReceived,
		Sent:         s.sent,
		Received:     s.received,
		Confirmed:    s.confirmed,
		Calls:        s.calls,
	}
}
