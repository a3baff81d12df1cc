// Package localmesh joins instances of one process without sockets, for tests
// and for programs that embed several instances.
package localmesh

import (
	"context"
	"sort"
	"sync"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/transport/mesh"
)

// Network joins Nodes. It is safe for concurrent use.
type Network struct {
	mu    sync.RWMutex
	nodes map[instance.ID]*Node
}

// New returns an empty Network.
func New() *Network { return &Network{nodes: make(map[instance.ID]*Node)} }

// Node is one instance's side of the Network.
type Node struct {
	network *Network
	self    instance.Process

	mu       sync.RWMutex
	messages map[mesh.Kind]mesh.ReceiveFunc
	calls    map[mesh.Kind]mesh.CallFunc
}

// Join adds an instance, replacing an earlier one of that name.
func (n *Network) Join(id instance.ID) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	life := instance.Process{ID: id, Incarnation: 1}
	if old := n.nodes[id]; old != nil {
		life.Incarnation = old.self.Incarnation + 1
	}
	node := &Node{
		network:  n,
		self:     life,
		messages: make(map[mesh.Kind]mesh.ReceiveFunc),
		calls:    make(map[mesh.Kind]mesh.CallFunc),
	}
	n.nodes[id] = node
	return node
}

// Leave removes an instance.
func (n *Network) Leave(id instance.ID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, id)
}

// Members returns the joined instances in order.
func (n *Network) Members() []instance.ID {
	n.mu.RLock()
	defer n.mu.RUnlock()
	ids := make([]instance.ID, 0, len(n.nodes))
	for id := range n.nodes {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (n *Network) node(id instance.ID) (*Node, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	node := n.nodes[id]
	if node == nil {
		return nil, errors.Trace(mesh.ErrNoPeer)
	}
	return node, nil
}

// OnMessage implements mesh.Registrar.
func (n *Node) OnMessage(k mesh.Kind, f mesh.ReceiveFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages[k] = f
}

// OnCall implements mesh.Registrar.
func (n *Node) OnCall(k mesh.Kind, f mesh.CallFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls[k] = f
}

// Send implements mesh.Sender.
func (n *Node) Send(to instance.ID, m mesh.Message) error {
	peer, err := n.network.node(to)
	if err != nil {
		return err
	}
	peer.mu.RLock()
	f := peer.messages[m.Kind]
	peer.mu.RUnlock()
	if f != nil {
		f(n.self, m)
	}
	return nil
}

// Call implements mesh.Caller.
func (n *Node) Call(ctx context.Context, to instance.ID, m mesh.Message) (mesh.Message, error) {
	peer, err := n.network.node(to)
	if err != nil {
		return mesh.Message{}, err
	}
	peer.mu.RLock()
	f := peer.calls[m.Kind]
	peer.mu.RUnlock()
	if f == nil {
		return mesh.Message{}, errors.Trace(mesh.ErrUnknownKind)
	}
	return f(ctx, n.self, m)
}
