package forward

import (
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrOtherPeer means that another process than the one that a request is for listens
	// at the address. No byte of the request was sent.
	ErrOtherPeer = errors.ConstError("another process listens at the address; send the request elsewhere")
	// ErrUnknownPeer means that the process does not say which one it is, as a request
	// requires it. No byte of the request was sent.
	ErrUnknownPeer = errors.ConstError("the process at the address does not say which start of the endpoint it is; send the request elsewhere")
)

// Identity is what an answer says about the process that sent it.
type Identity int8

// The identities. The zero value is IdentityUnknown.
const (
	IdentityUnknown Identity = iota
	// IdentitySame is the expected process, IdentityOther another one.
	IdentitySame
	IdentityOther
)

// Peer is the process that a request is for. A connection leads to one process as long as
// it is open, so that each connection is asked once.
type Peer struct {
	// Key tells the process from all others; it is not zero.
	Key uint64
	// Probe is a request that any process answers, Identify evaluates the answer.
	Probe    Request
	Identify func(*Response) Identity
	// Required is set if the process must identify itself. Connections that were opened
	// no later than KnownAt are exempt. If it is not set, a process that says nothing is
	// taken for the peer.
	Required bool
	KnownAt  time.Time
}

// acceptsUnidentified reports whether a connection may be used although the process does
// not say which one it is.
func (p *Peer) acceptsUnidentified(conn *connection) bool {
	return !p.Required || !conn.openedAt.After(p.KnownAt)
}

// confirmPeer finds out whether a connection leads to the process that a request is for.
// It returns the connection, or another one if that can't be used any more. If it fails,
// it closes the connection.
func (c *Client) confirmPeer(ctx context.Context, conn *connection, peer *Peer) (*connection, error) {
	if peer == nil || conn.peer == peer.Key && (conn.identified || peer.acceptsUnidentified(conn)) {
		return conn, nil
	}
	response, err := c.sendOn(ctx, conn, peer.Probe)
	if err != nil {
		return nil, err
	}
	identity := peer.Identify(response)
	reusable := response.Body.(*responseBody).detach()
	switch {
	case identity == IdentityOther:
		err = ErrOtherPeer
	case identity == IdentityUnknown && !peer.acceptsUnidentified(conn):
		err = ErrUnknownPeer
	case !reusable && identity == IdentityUnknown:
		// It would not say more on another connection.
		conn.close()
		return c.dial(ctx, conn.address)
	case !reusable:
		err = errors.New("the process ends each connection after one request")
	}
	if err != nil {
		conn.close()
		return nil, err
	}
	conn.peer, conn.identified = peer.Key, identity == IdentitySame
	return conn, nil
}
