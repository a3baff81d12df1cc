package mesh

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"
)

const (
	kindNote Kind = FirstApplicationKind + iota
	kindEcho
	kindFail
)

const pollTimeout = 20 * time.Second

// recorder is an events.Sink that remembers how often each event came.
type recorder struct {
	mu    sync.Mutex
	count map[int]int
}

func (r *recorder) Emit(e events.Event, _ ...events.Field) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[e.Number]++
}

func (r *recorder) seen(e events.Event) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[e.Number]
}

// node is a mesh whose notes are collected.
type node struct {
	*Mesh
	id     instance.ID
	events *recorder

	mu    sync.Mutex
	notes []string
	// hold blocks the receiver of notes while it is locked.
	hold sync.Mutex
}

func (n *node) received() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.notes...)
}

func (n *node) note(from instance.Process, m Message) {
	n.hold.Lock()
	defer n.hold.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notes = append(n.notes, string(from.ID)+":"+string(m.Body)+m.TraceParent)
}

func (n *node) peer() Peer { return Peer{ID: n.id, Address: n.Addr().String()} }

// startNode starts a mesh with short deadlines.
func startNode(t testing.TB, id string, change func(*Options)) *node {
	t.Helper()
	n := &node{id: instance.ID(id), events: &recorder{count: map[int]int{}}}
	o := Options{
		Self:          instance.Process{ID: n.id, Incarnation: 1},
		ListenAddress: "127.0.0.1:0",
		Events:        n.events,
		PingInterval:  100 * time.Millisecond,
		SilenceLimit:  time.Second,
		RedialMin:     10 * time.Millisecond,
		RedialMax:     100 * time.Millisecond,
	}
	if change != nil {
		change(&o)
	}
	m, err := Start(o, func(r Registrar) {
		r.OnMessage(kindNote, n.note)
		r.OnCall(kindEcho, func(_ context.Context, from instance.Process, m Message) (Message, error) {
			return Message{Body: append([]byte(from.ID+":"), m.Body...)}, nil
		})
		r.OnCall(kindFail, func(context.Context, instance.Process, Message) (Message, error) {
			return Message{}, errors.New("refused for the test")
		})
	})
	assert.NilError(t, err)
	n.Mesh = m
	t.Cleanup(func() { m.Close() })
	return n
}

// eventually polls until the condition holds.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(pollTimeout), poll.WithDelay(5*time.Millisecond))
}

func TestMessagesKeepTheirOrder(t *testing.T) {
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	a.SetPeers([]Peer{b.peer()})
	const count = 2000
	for i := range count {
		assert.NilError(t, a.Send("b", Message{Kind: kindNote, Body: fmt.Append(nil, i), TraceParent: "/t"}))
	}
	eventually(t, "all messages arrive", func() bool { return len(b.received()) == count })
	for i, note := range b.received() {
		assert.Equal(t, note, fmt.Sprintf("a:%d/t", i))
	}
}

func TestCallAnswersAndErrors(t *testing.T) {
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	a.SetPeers([]Peer{b.peer(), {ID: "gone", Address: "127.0.0.1:1"}})
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()

	answer, err := a.Call(ctx, "b", Message{Kind: kindEcho, Body: []byte("x")})
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), "a:x")

	_, err = a.Call(ctx, "b", Message{Kind: kindFail})
	var remote *RemoteError
	assert.Assert(t, errors.As(err, &remote))
	assert.Equal(t, remote.Text, "refused for the test")

	_, err = a.Call(ctx, "b", Message{Kind: 9999})
	assert.ErrorIs(t, err, ErrUnknownKind)
	_, err = a.Call(ctx, "nobody", Message{Kind: kindEcho})
	assert.ErrorIs(t, err, ErrNoPeer)
	_, err = a.Call(ctx, "gone", Message{Kind: kindEcho})
	assert.ErrorIs(t, err, ErrNoSession)
	assert.ErrorIs(t, a.Send("b", Message{Kind: kindNote, Body: make([]byte, DefaultMaxFrameBytes)}), ErrTooLarge)

	// The callee has no address of the caller: it answers over the session.
	answer, err = b.Call(ctx, "a", Message{Kind: kindEcho, Body: []byte("y")})
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), "b:y")
}

func TestSendToSelfIsLocal(t *testing.T) {
	a := startNode(t, "a", nil)
	assert.NilError(t, a.Send("a", Message{Kind: kindNote, Body: []byte("1")}))
	assert.NilError(t, a.Send("a", Message{Kind: kindNote, Body: []byte("2")}))
	eventually(t, "both messages arrive", func() bool { return len(a.received()) == 2 })
	assert.DeepEqual(t, a.received(), []string{"a:1", "a:2"})
	answer, err := a.Call(context.Background(), "a", Message{Kind: kindEcho, Body: []byte("z")})
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), "a:z")
	assert.Equal(t, len(a.Sessions()), 0)
}

func TestCloseDeliversWhatWasQueued(t *testing.T) {
	for range 20 {
		a, b := startNode(t, "a", nil), startNode(t, "b", nil)
		a.SetPeers([]Peer{b.peer()})
		_, err := a.Call(context.Background(), "b", Message{Kind: kindEcho})
		assert.NilError(t, err)
		for i := range 100 {
			assert.NilError(t, a.Send("b", Message{Kind: kindNote, Body: fmt.Append(nil, i)}))
		}
		assert.NilError(t, a.Close())
		eventually(t, "all messages arrive", func() bool { return len(b.received()) == 100 })
		assert.ErrorIs(t, a.Send("b", Message{Kind: kindNote}), ErrNoSession)
		b.Close()
	}
}
