package prefixindex

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// table holds one endpoint's blocks in order of last use.
type table struct {
	nodes          map[structs.PrefixHash]*node
	oldest, newest *node
}

type node struct {
	hash         structs.PrefixHash
	lastUsed     time.Time
	older, newer *node
}

func newTable() *table { return &table{nodes: map[structs.PrefixHash]*node{}} }

func (t *table) has(h structs.PrefixHash) bool {
	_, ok := t.nodes[h]
	return ok
}

// touch marks a block as used now. It returns false if the table does not hold
// it.
func (t *table) touch(now time.Time, h structs.PrefixHash) bool {
	n, ok := t.nodes[h]
	if !ok {
		return false
	}
	n.lastUsed = now
	t.unlink(n)
	t.link(n)
	return true
}

func (t *table) add(now time.Time, h structs.PrefixHash, n *node) {
	n.hash = h
	n.lastUsed = now
	t.nodes[h] = n
	t.link(n)
}

func (t *table) remove(n *node) {
	t.unlink(n)
	delete(t.nodes, n.hash)
}

func (t *table) link(n *node) {
	n.older = t.newest
	n.newer = nil
	if t.newest != nil {
		t.newest.newer = n
	} else {
		t.oldest = n
	}
	t.newest = n
}

func (t *table) unlink(n *node) {
	if n.older != nil {
		n.older.newer = n.newer
	} else {
		t.oldest = n.newer
	}
	if n.newer != nil {
		n.newer.older = n.older
	} else {
		t.newest = n.older
	}
}
