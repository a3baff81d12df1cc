package forward

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrNoWitness means that no connection was opened to the endpoint while the response
// was in progress.
const ErrNoWitness = errors.ConstError("no connection is older than the end of the answer; ask the endpoint who it is on another one")

// witnessDialLimit is how long the connection of a witness may take to open. It is below
// the time after which the system repeats a connection request, so that the endpoint has
// accepted it by then.
const witnessDialLimit = 900 * time.Millisecond

// witness is a second connection to the endpoint of a response that ends with its
// connection. It is opened when the head of the response arrives. The system ends all
// connections of a process that is killed, so an answer on the witness after the end of
// the response shows that the process is alive and has ended the response itself.
type witness struct {
	client *Client
	opened chan struct{}

	mu sync.Mutex
	// conn is nil if the connection could not be opened, was used or was kept. released
	// is set once the response is closed.
	conn     *connection
	released bool
}

func (c *Client) openWitness(address string) *witness {
	w := &witness{client: c, opened: make(chan struct{})}
	startedAt := time.Now()
	go func() {
		defer close(w.opened)
		ctx, cancel := context.WithTimeout(context.Background(), witnessDialLimit)
		defer cancel()
		conn, err := c.dial(ctx, address)
		if err != nil {
			return
		}
		// The time covers a pause of this process, too.
		if time.Since(startedAt) > witnessDialLimit {
			conn.close()
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.conn = conn; w.released {
			w.keepLocked()
		}
	}()
	return w
}

// take returns the connection, which the caller must close or keep.
func (w *witness) take(ctx context.Context) (*connection, error) {
	select {
	case <-w.opened:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	conn := w.conn
	w.conn = nil
	if conn == nil {
		return nil, ErrNoWitness
	}
	return conn, nil
}

// release keeps an unused connection for later requests.
func (w *witness) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.released = true
	w.keepLocked()
}

func (w *witness) keepLocked() {
	if w.conn == nil {
		return
	}
	// No request has waited for it.
	w.conn.connectTime, w.conn.expires = 0, time.Now().Add(w.client.options.IdleTimeout)
	w.client.pool.put(w.conn)
	w.conn = nil
}

// SendToSender sends a request to the process that has sent the response, whose body must
// have neither a length nor chunks. The error is ErrNoWitness, ErrNotSent or
// ErrIndeterminate; none of them says that the process is gone.
func (r *Response) SendToSender(ctx context.Context, request Request) (*Response, error) {
	if r.witness == nil {
		return nil, ErrNoWitness
	}
	conn, err := r.witness.take(ctx)
	if err != nil {
		return nil, err
	}
	return r.witness.client.sendOn(ctx, conn, request)
}

// SendOnNewConnection sends the request once, as Send does, on a connection of its own.
func (c *Client) SendOnNewConnection(ctx context.Context, address string, request Request) (*Response, error) {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "connect to %s", address), ErrNotSent)
	}
	return c.sendOn(ctx, conn, request)
}
