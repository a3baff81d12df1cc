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

// frameOverheadBytes is more than a frame takes beside its body.
const frameOverheadBytes = 256

// maxSpareBytes is the largest write buffer that is kept for the next batch.
const maxSpareBytes = 64 << 10

// maxPauseDoublings bounds the doublings of the pause between two dials.
const maxPauseDoublings = 16

// dialState tells what the dial loop of a peer does.
type dialState int

const (
	dialNone dialState = iota
	dialRunning
	// dialWaiting is the pause after a failed dial.
	dialWaiting
)

// peer is what a Mesh keeps of one other instance. Its lock is taken after
// that of the Mesh, and before none.
type peer struct {
	mesh *Mesh
	id   instance.ID

	mu      sync.Mutex
	address string
	// queue holds the frames that no session has taken yet, encoded.
	// Invariant: len(queue) <= Options.QueueBytes.
	queue  []byte
	queued int
	// current takes new messages and calls; it may be nil.
	// Invariant: current is in sessions.
	current  *session
	sessions []*session
	dialing  dialState
	lastUse  time.Time
	// shortLives counts the sessions in a row that were lost soon after they
	// came up. A dial after such ones waits first.
	shortLives int
	// changed is closed and replaced when current or dialing changes.
	changed      chan struct{}
	fullReported bool
}

func newPeer(m *Mesh, id instance.ID) *peer {
	return &peer{mesh: m, id: id, changed: make(chan struct{})}
}

// setAddress notes the address and tells whether the record can be dropped.
func (p *peer) setAddress(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = address
	return address == "" && len(p.sessions) == 0 && p.dialing == dialNone
}

func (p *peer) liveSessions() []*session {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.sessions)
}

// send queues one message and makes sure that a session will take it.
func (p *peer) send(msg Message) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUse = time.Now()
	if err := p.reachableLocked(); err != nil {
		return err
	}
	if len(p.queue)+len(msg.Body)+frameOverheadBytes > p.mesh.options.QueueBytes {
		p.reportFullLocked()
		return errors.Annotatef(ErrQueueFull, "%s", p.id)
	}
	queue, err := frame.Append(p.queue, messageFrame(msg))
	if err != nil {
		return errors.Trace(err)
	}
	p.queue = queue
	p.queued++
	if p.current != nil {
		notify(p.current.wake)
	}
	return nil
}

// reachableLocked starts a dial when there is no session, and returns an
// error when the peer cannot be reached now.
func (p *peer) reachableLocked() error {
	switch {
	case p.current != nil || p.dialing == dialRunning:
		return nil
	case p.address == "":
		return errors.Annotatef(ErrNoPeer, "%s", p.id)
	case p.dialing == dialWaiting:
		return errors.Annotatef(ErrNoSession, "%s at %s", p.id, p.address)
	}
	p.startDialLocked()
	if p.dialing == dialWaiting {
		return errors.Annotatef(ErrNoSession, "%s at %s", p.id, p.address)
	}
	return nil
}

// reportFullLocked emits one event each time that the queue fills up.
func (p *peer) reportFullLocked() {
	if p.fullReported {
		return
	}
	p.fullReported = true
	p.mesh.options.Events.Emit(eventQueueFull, events.F("peer", string(p.id)), events.F("bytes", len(p.queue)))
}

// take moves the queued frames to session s if it is the current one. It
// gives the spare buffer back for the next frames.
func (p *peer) take(s *session, spare []byte) ([]byte, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != s || p.queued == 0 {
		return spare[:0], 0
	}
	batch, count := p.queue, p.queued
	if cap(spare) > maxSpareBytes {
		spare = nil
	}
	p.queue, p.queued = spare[:0], 0
	p.fullReported = false
	return batch, count
}

// session returns a session to the peer, dialling when there is none.
func (p *peer) session(ctx context.Context) (*session, error) {
	for {
		p.mu.Lock()
		p.lastUse = time.Now()
		err := p.reachableLocked()
		s, changed := p.current, p.changed
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

func (p *peer) changedLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// adopt adds a session and returns the one that gives way, or nil.
func (p *peer) adopt(s *session) *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions = append(p.sessions, s)
	p.lastUse = s.since
	winner, loser := s, p.current
	if p.current != nil && p.keepsCurrent(s) {
		winner, loser = p.current, s
	}
	p.current = winner
	p.changedLocked()
	notify(winner.wake)
	return loser
}

// keepsCurrent tells whether the current session stays in use beside a new
// one. Both ends come to the same answer: the newer life wins; of two dials
// that crossed, the one from the smaller ID; else the newer session, since
// its dialler has lost the older one.
func (p *peer) keepsCurrent(s *session) bool {
	c := p.current
	if c.peerLife.Incarnation != s.peerLife.Incarnation {
		return c.peerLife.Incarnation > s.peerLife.Incarnation
	}
	crossed := c.dialled != s.dialled && s.since.Sub(c.since) < p.mesh.options.DialTimeout
	return crossed && c.dialled == (p.mesh.options.Self.ID < p.id)
}

func (p *peer) newestIncarnation() instance.Incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	var newest instance.Incarnation
	for _, s := range p.sessions {
		newest = max(newest, s.peerLife.Incarnation)
	}
	return newest
}

// release takes a session out of use; with gone it is forgotten altogether.
// It dials again when messages wait or, with redial, when the peer was in use
// lately.
func (p *peer) release(s *session, gone, redial bool) {
	closing := p.mesh.isClosing()
	p.mu.Lock()
	defer p.mu.Unlock()
	if gone {
		p.noteLifetimeLocked(s, redial)
		p.sessions = slices.DeleteFunc(p.sessions, func(o *session) bool { return o == s })
	}
	if p.current != s || (closing && !gone) {
		return
	}
	p.current = p.newestUsableLocked(s)
	p.changedLocked()
	if p.current != nil {
		notify(p.current.wake)
		return
	}
	inUse := time.Since(p.lastUse) < p.mesh.options.IdleLimit
	if !closing && p.address != "" && (p.queued > 0 || (redial && inUse)) {
		p.startDialLocked()
	}
}

// noteLifetimeLocked counts sessions that were lost soon after they came up,
// such as those of a process whose ID a later life uses.
func (p *peer) noteLifetimeLocked(s *session, lost bool) {
	if !lost || time.Since(s.since) >= p.mesh.options.SilenceLimit {
		p.shortLives = 0
		return
	}
	p.shortLives++
}

// newestUsableLocked returns the newest session beside s that is not retiring.
func (p *peer) newestUsableLocked(s *session) *session {
	for _, other := range slices.Backward(p.sessions) {
		if other != s && !other.isRetiring() {
			return other
		}
	}
	return nil
}

// startDialLocked starts the dial loop unless it runs.
func (p *peer) startDialLocked() {
	if p.dialing != dialNone || p.mesh.ctx.Err() != nil {
		return
	}
	if p.shortLives == 0 {
		p.dialing = dialRunning
		p.mesh.running.Go(p.dialLoop)
		return
	}
	p.dialing = dialWaiting
	pause := p.mesh.options.RedialMax
	if p.shortLives < maxPauseDoublings {
		pause = min(pause, p.mesh.options.RedialMin<<p.shortLives)
	}
	p.mesh.running.Go(func() {
		p.sleep(pause)
		if p.resumeDial() {
			p.dialLoop()
		}
	})
}

// sleep waits about the given pause, or until the mesh closes.
func (p *peer) sleep(pause time.Duration) {
	timer := time.NewTimer(pause/2 + rand.N(pause/2+1))
	defer timer.Stop()
	select {
	case <-p.mesh.ctx.Done():
	case <-timer.C:
	}
}

// dialLoop dials until there is a session, or the peer is no longer wanted.
func (p *peer) dialLoop() {
	pause := p.mesh.options.RedialMin
	for attempt := 1; ; attempt++ {
		address := p.dialAddress()
		g, err := p.mesh.dial(p.mesh.ctx, p.id, address)
		if err == nil {
			s := p.mesh.attach(g, true)
			p.endDial()
			s.wait()
			return
		}
		p.reportDial(address, attempt, err)
		if !p.pauseDial() {
			return
		}
		p.sleep(pause)
		pause = min(2*pause, p.mesh.options.RedialMax)
		if !p.resumeDial() {
			return
		}
	}
}

// reportDial emits an event for the attempts 1, 2, 4, 8 and so on.
func (p *peer) reportDial(address string, attempt int, err error) {
	if p.mesh.ctx.Err() != nil || attempt&(attempt-1) != 0 {
		return
	}
	if errors.Is(err, frame.ErrNoCommonVersion) || errors.Is(err, frame.ErrMalformed) || errors.Is(err, errWrongInstance) {
		p.mesh.reportHandshake(address, instance.Process{ID: p.id}, err)
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
	p.setDialLocked(dialNone)
}

// pauseDial drops what was queued for the failed dial, unless a session came
// from the other side meanwhile. It tells whether to go on dialling.
func (p *peer) pauseDial() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil {
		p.setDialLocked(dialNone)
		return false
	}
	p.queue, p.queued = nil, 0
	p.setDialLocked(dialWaiting)
	return true
}

// resumeDial ends the pause and tells whether to go on dialling.
func (p *peer) resumeDial() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	unused := time.Since(p.lastUse) > p.mesh.options.IdleLimit
	if p.current != nil || p.address == "" || unused || p.mesh.ctx.Err() != nil {
		p.setDialLocked(dialNone)
		return false
	}
	p.setDialLocked(dialRunning)
	return true
}

func (p *peer) setDialLocked(state dialState) {
	p.dialing = state
	p.changedLocked()
}
