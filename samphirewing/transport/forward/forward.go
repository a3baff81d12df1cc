// Package forward sends opaque HTTP/1.1 requests to endpoints over persistent
// connections. Its errors distinguish requests that were not sent from requests
// that may have run.
//
// http.Transport isn't used because it retries requests on connections that were
// closed while idle, and doesn't report whether any byte was sent. Requests and
// responses are still encoded and parsed by net/http.
package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.ConstError("no byte of the request was sent; it is safe to send it again")
	// ErrIndeterminate means that at least a part of the request was sent and that
	// no complete response was received. The endpoint may have run the request.
	ErrIndeterminate = errors.ConstError("the answer was lost; the endpoint may have run the request")
	// ErrResponseBegun accompanies ErrIndeterminate if at least one byte of the
	// response has arrived, an informational (1xx) head included.
	ErrResponseBegun = errors.ConstError("the endpoint had begun to answer")
)

const (
	// readBufferBytes is large enough to read the head of a usual response at once.
	// Requests with larger bodies are written concurrently with the read.
	readBufferBytes = 4 << 10
	// maxResponseHeadBytes bounds the head of a response, and of all responses
	// skipped before it, since an endpoint may send header bytes without end.
	maxResponseHeadBytes = 64 << 10
	// maxResponsesRead bounds the responses read for one request, including 1xx
	// responses and responses to earlier requests, which are skipped.
	maxResponsesRead = 8
	// maxStatus is the highest status that RFC 9110 defines a class for.
	maxStatus = 599
	// maxStaleBodyBytes bounds the body of a response to an earlier request that is
	// read in order to skip it.
	maxStaleBodyBytes = 1 << 20
)

// Options configures a Client. All fields are required.
type Options struct {
	// ConnectTimeout bounds the dial.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection may be reused. An endpoint's
	// Keep-Alive header may shorten it.
	IdleTimeout time.Duration
	// MaxIdlePerEndpoint bounds the idle connections to one endpoint.
	MaxIdlePerEndpoint int
	// UserTimeout is the TCP_USER_TIMEOUT of connections: how long sent bytes may
	// stay unacknowledged before the connection is closed.
	UserTimeout time.Duration
	// RequestIDHeader is the header that endpoints repeat in their responses. A
	// response with another value belongs to an earlier request.
	RequestIDHeader string
}

// Request is a request to an endpoint. Target is the path and query exactly as the
// caller sent them.
type Request struct {
	ID     string
	Method string
	Host   string
	Target string
	Header http.Header
	Body   []byte
	// Peer is the process that the request is for; nil means any.
	Peer *Peer
}

// Response is an endpoint's response. The body must be closed. Closing it before
// EOF closes the connection.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, or -1 when unknown.
	Length int64
	// EndsWithConnection is set if the body has neither a length nor chunks, so that
	// a body that breaks off may look complete.
	EndsWithConnection bool
	// ConnectTime is how long it took to connect; zero on a reused connection.
	ConnectTime time.Duration
	Body        io.ReadCloser

	// witness is nil if the body has a length or chunks.
	witness *witness
}

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	options Options
	pool    pool
}

// New returns a client.
func New(o Options) *Client {
	return &Client{options: o, pool: pool{maxIdle: o.MaxIdlePerEndpoint, idle: map[string][]*connection{}}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.closeAll() }

// Retain closes the idle connections to all addresses except the given ones.
func (c *Client) Retain(addresses map[string]bool) { c.pool.closeExcept(addresses) }

// DialCount returns the number of connections dialled so far.
func (c *Client) DialCount() int64 { return c.pool.dialled.Load() }

// Send writes the request once and returns when the head of its response has been
// read. The connection is closed when ctx is done. Errors are ErrNotSent or
// ErrIndeterminate, the latter with ErrResponseBegun if the head is incomplete or
// malformed.
func (c *Client) Send(ctx context.Context, address string, r Request) (*Response, error) {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "connect to %s", address), ErrNotSent)
	}
	conn, err = c.confirmPeer(ctx, conn, r.Peer)
	if err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "confirm the process at %s", address), ErrNotSent)
	}
	return c.sendOn(ctx, conn, r)
}

// sendOn sends the request on a connection, which it closes if that fails.
func (c *Client) sendOn(ctx context.Context, conn *connection, r Request) (*Response, error) {
	head, encoded, err := encode(r)
	if err != nil {
		conn.close()
		return nil, errors.WithType(err, ErrNotSent)
	}
	stopCancel := context.AfterFunc(ctx, conn.close)
	if ctx.Err() != nil {
		stopCancel()
		conn.close()
		return nil, errors.WithType(ctx.Err(), ErrNotSent)
	}
	response, err := c.exchange(conn, head, r, encoded, stopCancel)
	if err != nil {
		stopCancel()
		conn.close()
		if ctx.Err() != nil {
			err = errors.Annotate(err, context.Cause(ctx).Error())
		}
		return nil, errors.WithType(err, ErrIndeterminate)
	}
	return response, nil
}

// errHeadWritten ends the encoding of a request after its head.
const errHeadWritten = errors.ConstError("the head is written")

// bodyMarker is a body whose first read shows that the head has been written.
type bodyMarker struct{ reached bool }

// Read implements io.Reader.
func (m *bodyMarker) Read([]byte) (int, error) {
	m.reached = true
	return 0, errHeadWritten
}

// encode returns the request's head, which is needed to parse the response, and
// the encoded head. The body is written from where it is, since a copy would take
// as much memory again.
func encode(r Request) (*http.Request, []byte, error) {
	head := &http.Request{
		Method: r.Method, URL: &url.URL{Opaque: r.Target}, Host: r.Host,
		Header: r.Header, ContentLength: int64(len(r.Body)),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	var marker bodyMarker
	if len(r.Body) > 0 {
		head.Body = io.NopCloser(&marker)
	}
	// An empty value prevents net/http from setting its own User-Agent.
	if _, ok := head.Header["User-Agent"]; !ok {
		head.Header["User-Agent"] = []string{""}
	}
	var b bytes.Buffer
	b.Grow(1 << 10)
	if err := head.Write(&b); err != nil && !marker.reached {
		return nil, nil, errors.Annotate(err, "encode request")
	}
	return head, b.Bytes(), nil
}

func (c *Client) connect(ctx context.Context, address string) (*connection, error) {
	if conn := c.pool.get(address, time.Now()); conn != nil {
		return conn, nil
	}
	return c.dial(ctx, address)
}

func (c *Client) dial(ctx context.Context, address string) (*connection, error) {
	dialer := net.Dialer{Timeout: c.options.ConnectTimeout, KeepAlive: -1, Control: setUserTimeout(c.options.UserTimeout)}
	started := time.Now()
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	connectTime := time.Since(started)
	c.pool.dialled.Add(1)
	limited := &limitedReader{Reader: raw}
	return &connection{Conn: raw, address: address, limit: limited, reader: bufio.NewReaderSize(limited, readBufferBytes), fresh: true, connectTime: connectTime, openedAt: started}, nil
}

// CheckConnection connects to an address and closes the connection. It returns the
// error of the attempt.
func (c *Client) CheckConnection(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: c.options.ConnectTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Annotatef(err, "connect to %s", address)
	}
	return errors.Annotatef(conn.Close(), "close the connection to %s", address)
}

// exchange writes the request and reads the head of its response. A large request
// is written concurrently with the read, because an endpoint may respond before it
// has read the complete body.
func (c *Client) exchange(conn *connection, head *http.Request, request Request, encoded []byte, stopCancel func() bool) (*Response, error) {
	writeResult := make(chan error, 1)
	if len(request.Body) <= readBufferBytes {
		// One segment for the head and the body.
		_, err := conn.Write(append(encoded, request.Body...))
		if err != nil {
			return nil, errors.Annotate(err, "write request")
		}
		writeResult <- nil
	} else {
		go func() {
			parts := net.Buffers{encoded, request.Body}
			_, err := parts.WriteTo(conn.Conn)
			writeResult <- err
		}()
	}
	response, err := c.readResponse(conn, head, request.ID)
	if err != nil {
		err = errors.Annotate(err, "read answer")
		if conn.responseBegun() {
			err = errors.WithType(err, ErrResponseBegun)
		}
		return nil, err
	}
	endsWithConnection := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	var w *witness
	// The answer to a probe, which has no ID, needs no confirmation.
	if endsWithConnection && request.ID != "" {
		w = c.openWitness(conn.address)
	}
	return &Response{
		ConnectTime: conn.connectTime,
		Status:      response.StatusCode, Header: response.Header, Length: response.ContentLength,
		EndsWithConnection: endsWithConnection,
		Body:               &responseBody{client: c, conn: conn, response: response, writeResult: writeResult, endsWithConnection: endsWithConnection, witness: w, stopCancel: stopCancel},
		witness:            w,
	}, nil
}

// readResponse reads the response to the request with the given id. It skips 1xx
// responses and late responses to earlier requests on the connection. On a reused
// connection, a response without an id may be such a late one and is an error.
func (c *Client) readResponse(conn *connection, head *http.Request, id string) (*http.Response, error) {
	conn.beginResponse()
	conn.limit.begin(maxResponseHeadBytes)
	defer conn.limit.end()
	for range maxResponsesRead {
		response, err := http.ReadResponse(conn.reader, head)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			if response.StatusCode == http.StatusSwitchingProtocols {
				return nil, errors.New("endpoint switched protocols unasked")
			}
			continue
		}
		if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
			return nil, errors.Errorf("answer has the status %d; 200 to %d are accepted", response.StatusCode, maxStatus)
		}
		got := response.Header.Get(c.options.RequestIDHeader)
		if got == id || got == "" && conn.fresh {
			return response, nil
		}
		if conn.fresh || got == "" {
			return nil, errors.Errorf("answer names request %q", got)
		}
		conn.limit.end()
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBodyBytes))
		conn.limit.begin(maxResponseHeadBytes)
		if err == nil && skipped == maxStaleBodyBytes {
			err = errors.New("body over the limit")
		}
		if err != nil {
			return nil, errors.Annotatef(err, "answer to earlier request %q", got)
		}
		conn.beginResponse()
	}
	return nil, errors.New("too many answers to other requests")
}
