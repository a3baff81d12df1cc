package mesh

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/frame"
	"github.com/samphirewing/coordkit/protocol/instance"
)

// maxFrameOverheadBytes bounds the size of a frame without its body.
const maxFrameOverheadBytes = 256

// maxReusedBufferBytes bounds the write buffers that are reused for later
// batches.
const maxReusedBufferBytes = 64 << 10

// maxBackoffDoublings bounds the doublings of the back-off between dials.
const maxBackoffDoublings = 16

// dialState is the state of a peer's dial loop.
type dialState int

const (
	dialIdle dialState = iota
	dialRunning
	// dialBackoff is the back-off after a failed dial or short sessions.
	dialBackoff
)

// peer is a Mesh's record of another instance. Lock order: peer.mu is acquired
// after Mesh.mu, and before no other lock.
type peer struct {
	mesh *Mesh
	id   instance.ID

	mu      sync.Mutex
	address string
	// queue contains the encoded frames that no session has dequeued yet.
	// Invariant: len(queue) <= Options.QueueBytes.
	queue        []byte
	queuedFrames int
	// activeSession carries new messages and calls. It may be nil.
	// Invariant: activeSession is nil or in sessions.
	activeSession *session
	sessions      []*session
	dialState     dialState
	lastUse       time.Time
	// shortSessions counts the consecutive sessions that were lost soon after
	// they were established. If it is not zero, the next dial is delayed.
	shortSessions int
	// changed is closed and replaced when activeSession or dialState changes.
	changed           chan struct{}
	queueFullReported bool
}

func newPeer(m *Mesh, id instance.ID) *peer {
	return &peer{mesh: m, id: id, changed: make(chan struct{})}
}

// setAddress sets the address, and returns whether the record can be removed.
func (p *peer) setAddress(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = address
	return address == "" && len(p.sessions) == 0 && p.dialState == dialIdle
}

func (p *peer) openSessions() []*session {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.sessions)
}

// send queues a message and starts a dial if there is no session.
func (p *peer) send(msg Message) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUse = time.Now()
	if err := p.ensureDialLocked(); err != nil {
		return err
	}
	if len(p.queue)+len(msg.Body)+maxFrameOverheadBytes > p.mesh.options.QueueBytes {
		p.reportQueueFullLocked()
		return errors.Annotatef(ErrQueueFull, "%s", p.id)
	}
	queue, err := frame.Append(p.queue, frameFromMessage(msg))
	if err != nil {
		return errors.Trace(err)
	}
	p.queue = queue
	p.queuedFrames++
	if p.activeSession != nil {
		notify(p.activeSession.wakeWriter)
	}
	return nil
}

// ensureDialLocked starts a dial if there is no session, and returns an error
// if the peer is currently unreachable.
func (p *peer) ensureDialLocked() error {
	switch {
	case p.activeSession != nil || p.dialState == dialRunning:
		return nil
	case p.address == "":
		return errors.Annotatef(ErrNoPeer, "%s", p.id)
	case p.dialState == dialBackoff:
		return errors.Annotatef(ErrNoSession, "%s at %s", p.id, p.address)
	}
	p.startDialLocked()
	if p.dialState == dialBackoff {
		return errors.Annotatef(ErrNoSession, "%s at %s", p.id, p.address)
	}
	return nil
}

// reportQueueFullLocked emits an event once each time the queue fills up.
func (p *peer) reportQueueFullLocked() {
	if p.queueFullReported {
		return
	}
	p.queueFullReported = true
	p.mesh.options.Events.Emit(eventQueueFull, events.F("peer", string(p.id)), events.F("bytes", len(p.queue)))
}

// dequeue returns the queued frames and their number if s is the active session.
// The buffer spare is reused for later frames.
func (p *peer) dequeue(s *session, spare []byte) ([]byte, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.activeSession != s || p.queuedFrames == 0 {
		return spare[:0], 0
	}
	batch, count := p.queue, p.queuedFrames
	if cap(spare) > maxReusedBufferBytes {
		spare = nil
	}
	p.queue, p.queuedFrames = spare[:0], 0
	p.queueFullReported = false
	return batch, count
}

// session returns the active session, dialling if there is none.
func (p *peer) session(ctx context.Context) (*session, error) {
	for {
		p.mu.Lock()
		p.lastUse = time.Now()
		err := p.ensureDialLocked()
		s, changed := p.activeSession, p.changed
		p.mu.Unlock()
		if err != nil || s != nil {
			return s, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), errors.Annotatef(ErrNoSession, "%s: %v", p.id, ctx.Err()))
		case <-p.mesh.ctx.Done():
			return nil, errors.Annotate(ErrNoSession, "mesh is closing")
		}
	}
}

func (p *peer) notifyChangedLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// addSession adds a session and selects the active one. It returns the session
// to be retired, or nil.
func (p *peer) addSession(s *session) *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions = append(p.sessions, s)
	p.lastUse = s.since
	active, replaced := s, p.activeSession
	if p.activeSession != nil && p.keepsActive(s) {
		active, replaced = p.activeSession, s
	}
	p.activeSession = active
	p.notifyChangedLocked()
	notify(active.wakeWriter)
	return replaced
}

// keepsActive reports whether the active session stays active when a new one is
// added. Both ends decide alike: the session of the newer incarnation is
// preferred; of two sessions from crossed dials, the one dialled by the smaller
// ID; otherwise the newer one, since its dialler has lost the older one.
func (p *peer) keepsActive(s *session) bool {
	active := p.activeSession
	if active.remote.Incarnation != s.remote.Incarnation {
		return active.remote.Incarnation > s.remote.Incarnation
	}
	crossed := active.dialled != s.dialled && s.since.Sub(active.since) < p.mesh.options.DialTimeout
	return crossed && active.dialled == (p.mesh.options.Self.ID < p.id)
}

func (p *peer) newestIncarnation() instance.Incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	var newest instance.Incarnation
	for _, s := range p.sessions {
		newest = max(newest, s.remote.Incarnation)
	}
	return newest
}

// deactivate stops using a session for new messages and calls, and removes it if
// closed is set. If no usable session remains, it dials again, provided that
// frames are queued or, with redial set, that the peer was used within IdleLimit.
func (p *peer) deactivate(s *session, closed, redial bool) {
	closing := p.mesh.isClosing()
	p.mu.Lock()
	defer p.mu.Unlock()
	if closed {
		p.recordLifetimeLocked(s, redial)
		p.sessions = slices.DeleteFunc(p.sessions, func(o *session) bool { return o == s })
	}
	if p.activeSession != s || (closing && !closed) {
		return
	}
	p.activeSession = p.newestUsableLocked(s)
	p.notifyChangedLocked()
	if p.activeSession != nil {
		notify(p.activeSession.wakeWriter)
		return
	}
	inUse := time.Since(p.lastUse) < p.mesh.options.IdleLimit
	if !closing && p.address != "" && (p.queuedFrames > 0 || (redial && inUse)) {
		p.startDialLocked()
	}
}

// recordLifetimeLocked counts sessions that were lost soon after they were
// established, such as those of a process superseded by a later incarnation.
func (p *peer) recordLifetimeLocked(s *session, lost bool) {
	if !lost || time.Since(s.since) >= p.mesh.options.SilenceLimit {
		p.shortSessions = 0
		return
	}
	p.shortSessions++
}

// newestUsableLocked returns the newest session other than s that is not
// retiring, or nil.
func (p *peer) newestUsableLocked(s *session) *session {
	for _, other := range slices.Backward(p.sessions) {
		if other != s && !other.isRetiring() {
			return other
		}
	}
	return nil
}

// startDialLocked starts the dial loop if it is not running. The loop starts
// after a back-off if recent sessions were short.
func (p *peer) startDialLocked() {
	if p.dialState != dialIdle || p.mesh.ctx.Err() != nil {
		return
	}
	if p.shortSessions == 0 {
		p.dialState = dialRunning
		p.mesh.running.Go(p.dialLoop)
		return
	}
	p.dialState = dialBackoff
	backoff := p.mesh.options.RedialMax
	if p.shortSessions < maxBackoffDoublings {
		backoff = min(backoff, p.mesh.options.RedialMin<<p.shortSessions)
	}
	p.mesh.running.Go(func() {
		p.waitBackoff(backoff)
		if p.endBackoff() {
			p.dialLoop()
		}
	})
}

// waitBackoff waits for between half and all of the given time, or until the
// mesh closes.
func (p *peer) waitBackoff(backoff time.Duration) {
	timer := time.NewTimer(backoff/2 + rand.N(backoff/2+1))
	defer timer.Stop()
	select {
	case <-p.mesh.ctx.Done():
	case <-timer.C:
	}
}

// dialLoop dials until there is a session or the peer is no longer needed.
func (p *peer) dialLoop() {
	backoff := p.mesh.options.RedialMin
	for attempt := 1; ; attempt++ {
		address := p.dialAddress()
		h, err := p.mesh.dial(p.mesh.ctx, p.id, address)
		if err == nil {
			s := p.mesh.startSession(h, true)
			p.endDial()
			s.wait()
			return
		}
		p.reportDialError(address, attempt, err)
		if !p.beginBackoff() {
			return
		}
		p.waitBackoff(backoff)
		backoff = min(2*backoff, p.mesh.options.RedialMax)
		if !p.endBackoff() {
			return
		}
	}
}

// reportDialError emits an event for attempts 1, 2, 4, 8 and so on.
func (p *peer) reportDialError(address string, attempt int, err error) {
	if p.mesh.ctx.Err() != nil || attempt&(attempt-1) != 0 {
		return
	}
	if errors.Is(err, frame.ErrNoCommonVersion) || errors.Is(err, frame.ErrMalformed) || errors.Is(err, errWrongInstance) {
		p.mesh.reportHandshakeError(address, instance.Process{ID: p.id}, err)
		return
	}
	p.mesh.options.Events.Emit(eventDialFailed, events.F("peer", string(p.id)), events.F("address", address),
		events.F("attempt", attempt), events.F("error", err.Error()))
}

func (p *peer) dialAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

func (p *peer) endDial() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setDialStateLocked(dialIdle)
}

// beginBackoff drops the messages queued for the failed dial, unless the peer
// has established a session meanwhile. It returns whether to continue dialling.
func (p *peer) beginBackoff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.activeSession != nil {
		p.setDialStateLocked(dialIdle)
		return false
	}
	p.queue, p.queuedFrames = nil, 0
	p.setDialStateLocked(dialBackoff)
	return true
}

// endBackoff reports whether to continue dialling after the back-off.
func (p *peer) endBackoff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	unused := time.Since(p.lastUse) > p.mesh.options.IdleLimit
	if p.activeSession != nil || p.address == "" || unused || p.mesh.ctx.Err() != nil {
		p.setDialStateLocked(dialIdle)
		return false
	}
	p.setDialStateLocked(dialRunning)
	return true
}

func (p *peer) setDialStateLocked(state dialState) {
	p.dialState = state
	p.notifyChangedLocked()
}
