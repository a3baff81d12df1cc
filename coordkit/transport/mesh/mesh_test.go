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
	kindOneWay Kind = FirstApplicationKind + iota
	kindEcho
	kindFail
)

const pollTimeout = 20 * time.Second

// eventRecorder is an events.Sink that counts events by number.
type eventRecorder struct {
	mu    sync.Mutex
	count map[int]int
}

func (r *eventRecorder) Emit(e events.Event, _ ...events.Field) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[e.Number]++
}

func (r *eventRecorder) countOf(e events.Event) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[e.Number]
}

// node is a Mesh that records the one-way messages it receives.
type node struct {
	*Mesh
	id     instance.ID
	events *eventRecorder

	mu       sync.Mutex
	messages []string
	// receiverLock blocks the handler of one-way messages while it is locked.
	receiverLock sync.Mutex
}

func (n *node) received() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.messages...)
}

func (n *node) receiveMessage(from instance.Process, m Message) {
	n.receiverLock.Lock()
	defer n.receiverLock.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages = append(n.messages, string(from.ID)+":"+string(m.Body)+m.TraceParent)
}

func (n *node) peer() Peer { return Peer{ID: n.id, Address: n.Addr().String()} }

// startNode starts a node with short timeouts.
func startNode(t testing.TB, id string, change func(*Options)) *node {
	t.Helper()
	n := &node{id: instance.ID(id), events: &eventRecorder{count: map[int]int{}}}
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
		r.OnMessage(kindOneWay, n.receiveMessage)
		r.OnCall(kindEcho, func(_ context.Context, from instance.Process, m Message) (Message, error) {
			return Message{Body: append([]byte(from.ID+":"), m.Body...)}, nil
		})
		r.OnCall(kindFail, func(context.Context, instance.Process, Message) (Message, error) {
			return Message{}, errors.New("rejected by the test handler")
		})
	})
	assert.NilError(t, err)
	n.Mesh = m
	t.Cleanup(func() { m.Close() })
	return n
}

// eventually waits until the condition is met, at most for pollTimeout.
func eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", description)
	}, poll.WithTimeout(pollTimeout), poll.WithDelay(5*time.Millisecond))
}

func TestMessageOrder(t *testing.T) {
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	a.SetPeers([]Peer{b.peer()})
	const count = 2000
	for i := range count {
		assert.NilError(t, a.Send("b", Message{Kind: kindOneWay, Body: fmt.Append(nil, i), TraceParent: "/t"}))
	}
	eventually(t, "all messages arrive", func() bool { return len(b.received()) == count })
	for i, message := range b.received() {
		assert.Equal(t, message, fmt.Sprintf("a:%d/t", i))
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
	assert.Equal(t, remote.Text, "rejected by the test handler")

	_, err = a.Call(ctx, "b", Message{Kind: 9999})
	assert.ErrorIs(t, err, ErrUnknownKind)
	_, err = a.Call(ctx, "unknown", Message{Kind: kindEcho})
	assert.ErrorIs(t, err, ErrNoPeer)
	_, err = a.Call(ctx, "gone", Message{Kind: kindEcho})
	assert.ErrorIs(t, err, ErrNoSession)
	assert.ErrorIs(t, a.Send("b", Message{Kind: kindOneWay, Body: make([]byte, DefaultMaxFrameBytes)}), ErrTooLarge)

	// b has no address of a, and calls it over the existing session.
	answer, err = b.Call(ctx, "a", Message{Kind: kindEcho, Body: []byte("y")})
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), "b:y")
}

func TestSendToSelfIsLocal(t *testing.T) {
	a := startNode(t, "a", nil)
	assert.NilError(t, a.Send("a", Message{Kind: kindOneWay, Body: []byte("1")}))
	assert.NilError(t, a.Send("a", Message{Kind: kindOneWay, Body: []byte("2")}))
	eventually(t, "both messages arrive", func() bool { return len(a.received()) == 2 })
	assert.DeepEqual(t, a.received(), []string{"a:1", "a:2"})
	answer, err := a.Call(context.Background(), "a", Message{Kind: kindEcho, Body: []byte("z")})
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), "a:z")
	assert.Equal(t, len(a.Sessions()), 0)
}

func TestCloseDeliversQueuedMessages(t *testing.T) {
	for range 20 {
		a, b := startNode(t, "a", nil), startNode(t, "b", nil)
		a.SetPeers([]Peer{b.peer()})
		_, err := a.Call(context.Background(), "b", Message{Kind: kindEcho})
		assert.NilError(t, err)
		for i := range 100 {
			assert.NilError(t, a.Send("b", Message{Kind: kindOneWay, Body: fmt.Append(nil, i)}))
		}
		assert.NilError(t, a.Close())
		eventually(t, "all messages arrive", func() bool { return len(b.received()) == 100 })
		assert.ErrorIs(t, a.Send("b", Message{Kind: kindOneWay}), ErrNoSession)
		b.Close()
	}
}
