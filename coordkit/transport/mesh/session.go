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

// errPeerSilent is the cause for closing a session whose peer exceeded
// Options.SilenceLimit.
const errPeerSilent = errors.ConstError("peer silent; dialling again")

// session is a multiplexed connection to a peer. Its first stream carries the
// one-way messages of both directions, and each further stream one call.
type session struct {
	peer       *peer
	mesh       *Mesh
	remote     instance.Process
	address    string
	dialled    bool
	since      time.Time
	mux        *yamux.Session
	stream     *yamux.Stream
	reader     *frame.Reader
	wakeWriter chan struct{}
	done       chan struct{}
	running    sync.WaitGroup
	// ctx is cancelled when the session ends. It is the parent of the contexts
	// of call handlers.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// Invariant: confirmed <= sent. Both count frames of the first stream.
	sent      uint64
	confirmed uint64
	// unconfirmedSince is when sent last became larger than confirmed, or when
	// confirmed last increased, whichever is later.
	unconfirmedSince time.Time
	received         uint64
	// confirmedToPeer is the value of received in the last ping sent.
	confirmedToPeer uint64
	lastReceived    time.Time
	lastWritten     time.Time
	lastPing        time.Time
	lastUse         time.Time
	calls           int
	retiring        bool
	// goodbyeSequence is the value of sent including the Goodbye of this side,
	// or zero if none was sent.
	goodbyeSequence uint64
	goodbyeReceived bool
	retiringSince   time.Time
	closed          bool
}

func newSession(p *peer, h handshake, dialled bool) *session {
	now := time.Now()
	s := &session{
		peer:         p,
		mesh:         p.mesh,
		remote:       h.peer,
		address:      h.mux.RemoteAddr().String(),
		dialled:      dialled,
		since:        now,
		mux:          h.mux,
		stream:       h.stream,
		reader:       h.reader,
		wakeWriter:   make(chan struct{}, 1),
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

// wait waits until the session and its goroutines have ended.
func (s *session) wait() {
	<-s.done
	s.running.Wait()
}

// readLoop passes messages to their handlers in order.
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

// receive handles a frame. Frames of kinds without a handler are ignored.
func (s *session) receive(f *meshpb.Frame) error {
	s.recordReceived(f.GetKind())
	switch f.GetKind() {
	case frame.KindPing:
		return s.receivePing(f)
	case frame.KindGoodbye:
		s.receiveGoodbye()
		return nil
	}
	if handle := s.mesh.handlers.messages[Kind(f.GetKind())]; handle != nil {
		handle(s.remote, messageFromFrame(f))
	}
	return nil
}

func (s *session) recordReceived(kind uint32) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received++
	s.lastReceived = now
	if Kind(kind) >= firstHandlerKind {
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
	notify(s.wakeWriter)
}

// writeLoop writes queued frames in batches.
func (s *session) writeLoop() {
	var spare []byte
	for {
		select {
		case <-s.done:
			return
		case <-s.wakeWriter:
		}
		batch, count := s.peer.dequeue(s, spare)
		batch, count = s.appendControlFrames(batch, count)
		if len(batch) > 0 {
			if _, err := s.stream.Write(batch); err != nil {
				s.fail(err)
				return
			}
		}
		spare = batch
		s.recordWritten(count)
		s.closeIfDrained()
	}
}

// appendControlFrames appends a due goodbye and ping to a batch of count frames,
// and counts all of them as sent.
func (s *session) appendControlFrames(batch []byte, count int) ([]byte, int) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if count > 0 {
		s.lastUse = now
	}
	if s.retiring && s.goodbyeSequence == 0 {
		batch = appendControlFrame(batch, frame.KindGoodbye, nil)
		count++
		s.goodbyeSequence = s.sent + uint64(count)
	}
	if s.pingDueLocked(now, count) {
		batch = appendControlFrame(batch, frame.KindPing, &meshpb.Ping{Received: s.received})
		count++
		s.confirmedToPeer = s.received
		s.lastPing = now
	}
	if count > 0 && s.sent == s.confirmed {
		s.unconfirmedSince = now
	}
	s.sent += uint64(count)
	return batch, count
}

// pingDueLocked reports whether to send a ping with a batch of count frames. A
// ping is due if nothing was written for PingInterval, or to confirm received
// frames: once per PingInterval, up to four times as often along with other
// frames, and immediately once the peer has sent its goodbye.
func (s *session) pingDueLocked(now time.Time, count int) bool {
	interval := s.mesh.options.PingInterval
	if now.Sub(s.lastPing) >= interval {
		return now.Sub(s.lastWritten) >= interval || s.received > s.confirmedToPeer
	}
	if s.goodbyeReceived {
		return s.received > s.confirmedToPeer
	}
	return count > 0 && s.received > s.confirmedToPeer && now.Sub(s.lastPing) >= interval/4
}

func (s *session) recordWritten(count int) {
	if count == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastWritten = time.Now()
}

func appendControlFrame(batch []byte, kind uint32, body proto.Message) []byte {
	f := &meshpb.Frame{Kind: kind}
	if body != nil {
		f.Body, _ = proto.Marshal(body)
	}
	batch, _ = frame.Append(batch, f)
	return batch
}

// supervise closes the session if the peer is unresponsive, retires it if it is
// idle, and wakes the writer if a ping is due.
func (s *session) supervise(now time.Time) {
	o := &s.mesh.options
	s.mu.Lock()
	silence := now.Sub(s.lastReceived)
	unconfirmed := time.Duration(0)
	if s.sent > s.confirmed {
		unconfirmed = now.Sub(s.unconfirmedSince)
	}
	idle := s.calls == 0 && now.Sub(s.lastUse) > o.IdleLimit
	overdue := s.retiring && s.calls == 0 && now.Sub(s.retiringSince) > o.SilenceLimit
	ping := s.pingDueLocked(now, 0)
	s.mu.Unlock()
	switch {
	case silence > o.SilenceLimit || unconfirmed > o.SilenceLimit:
		o.Events.Emit(eventSessionSilent, events.F("peer", s.remote.String()), events.F("address", s.address),
			events.F("quiet", silence.String()), events.F("unconfirmed", unconfirmed.String()))
		s.fail(errPeerSilent)
	case overdue:
		s.close("goodbye not answered", nil)
	case idle:
		s.retire("idle")
	case ping:
		notify(s.wakeWriter)
	}
	s.closeIfDrained()
}

// retire starts the orderly end of the session. The session sends a goodbye
// after the queued frames, completes the calls in progress, and closes when the
// peer has done the same.
func (s *session) retire(reason string) {
	s.mu.Lock()
	if s.retiring || s.closed {
		s.mu.Unlock()
		return
	}
	s.retiring = true
	s.retiringSince = time.Now()
	s.mu.Unlock()
	s.mesh.options.Events.Emit(eventSessionRetired, events.F("peer", s.remote.String()), events.F("reason", reason))
	s.peer.deactivate(s, false, false)
	notify(s.wakeWriter)
}

func (s *session) isRetiring() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retiring || s.closed
}

// closeIfDrained closes the session if both ends have sent a goodbye, the peer
// has confirmed the one from this side, and no call is in progress.
func (s *session) closeIfDrained() {
	s.mu.Lock()
	drained := s.goodbyeReceived && s.goodbyeSequence > 0 && s.confirmed >= s.goodbyeSequence && s.calls == 0
	allConfirmed := s.received == s.confirmedToPeer
	s.mu.Unlock()
	switch {
	case drained && allConfirmed:
		go s.close("retired", nil)
	case drained:
		notify(s.wakeWriter)
	}
}

// fail closes the session because of an error. For a malformed or oversized
// frame, it emits the matching event.
func (s *session) fail(err error) {
	switch {
	case errors.Is(err, frame.ErrMalformed):
		s.reportFrameError(eventFrameGarbled, err)
	case errors.Is(err, frame.ErrOversized):
		s.reportFrameError(eventFrameOversized, err)
	case errors.Is(err, io.EOF):
		err = nil
	}
	s.close("session lost", err)
}

func (s *session) reportFrameError(e events.Event, err error) {
	s.mesh.options.Events.Emit(e, events.F("peer", s.remote.String()), events.F("address", s.address),
		events.F("error", err.Error()))
}

// close ends the session immediately. Repeated calls have no effect.
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
	s.peer.deactivate(s, true, unexpected)
	close(s.done)
	fields := []events.Field{events.F("peer", s.remote.String()), events.F("address", s.address), events.F("reason", reason)}
	if cause != nil {
		fields = append(fields, events.F("error", cause.Error()))
	}
	s.mesh.options.Events.Emit(eventSessionDown, fields...)
	// While yamux closes a session, a waiting read repeats itself without a pause
	// until the connection's own goroutines have ended, which takes long if the
	// processor is short. The deadline ends it.
	_ = s.stream.SetReadDeadline(time.Now())
	s.mux.Close()
}

func (s *session) info() SessionInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	return SessionInfo{
		Peer:         s.remote,
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
