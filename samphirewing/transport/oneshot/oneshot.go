// Package oneshot sends HTTP/1.1 requests with at-most-once delivery.
//
// Each request uses its own connection, is written by one call and is never
// retried. http.Transport isn't used because it retries requests on connections
// that were closed while idle. Requests and responses are still encoded and parsed
// by net/http.
package oneshot

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.ConstError("no byte of the request was sent; it is safe to send it again")
	// ErrIndeterminate means that at least a part of the request was sent and that
	// no complete response was received. The server may have run the request.
	ErrIndeterminate = errors.ConstError("the answer was lost; the server may have run the request")
)

const (
	defaultConnectTimeout = 2 * time.Second
	defaultWriteTimeout   = 10 * time.Second
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 10 * time.Second
	defaultMaxHeaderBytes = int64(16 << 10)
	readBufferBytes       = 2 << 10
	// headReserveBytes is the buffer space reserved for a request's head.
	headReserveBytes = 1 << 10
)

// Options sets the limits of a client's requests. Zero fields take the defaults.
type Options struct {
	// ConnectTimeout bounds the dial; 2 s by default.
	ConnectTimeout time.Duration
	// WriteTimeout bounds the write of one request; 10 s by default.
	WriteTimeout time.Duration
	// HeaderTimeout bounds the wait for the response header; 10 s by default.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the wait for more bytes of a response body; 10 s by
	// default.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the response header; 16 KiB by default.
	MaxHeaderBytes int64
	// Dial opens the connections; TCP by default.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

func (o Options) withDefaults() Options {
	o.ConnectTimeout = cmp.Or(o.ConnectTimeout, defaultConnectTimeout)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, defaultWriteTimeout)
	o.HeaderTimeout = cmp.Or(o.HeaderTimeout, defaultHeaderTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleTimeout)
	o.MaxHeaderBytes = cmp.Or(o.MaxHeaderBytes, defaultMaxHeaderBytes)
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	return o
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Client sends requests to one server. It is safe for concurrent use.
type Client struct {
	base    *url.URL
	baseErr error
	options Options
}

// New returns a client for a base URL such as "http://127.0.0.1:8080". If the URL
// is invalid, every Send fails with ErrNotSent.
func New(baseURL string, options Options) *Client {
	base, err := parseBase(baseURL)
	return &Client{base: base, baseErr: err, options: options.withDefaults()}
}

func parseBase(baseURL string) (*url.URL, error) {
	base, err := url.Parse(strings.TrimSuffix(baseURL, "/"))
	if err != nil {
		return nil, errors.Annotatef(err, "address %q; give it as http://host:port", baseURL)
	}
	if base.Scheme != "http" || base.Port() == "" {
		return nil, errors.Errorf("address %q isn't of the form http://host:port", baseURL)
	}
	return base, nil
}

// Request is an HTTP request. Path may include a query.
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Send sends the request once and returns when the response header has been read.
// The connection is closed when ctx is done. Errors are ErrNotSent or
// ErrIndeterminate.
func (c *Client) Send(ctx context.Context, r Request) (*Response, error) {
	encoded, head, err := c.encode(r)
	if err != nil {
		return nil, errors.WithType(err, ErrNotSent)
	}
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, errors.WithType(err, ErrNotSent)
	}
	exchange := newExchange(ctx, conn, c.options)
	if err := exchange.write(ctx, encoded); err != nil {
		exchange.close()
		return nil, err
	}
	response, err := exchange.readHeader(head)
	if err != nil {
		exchange.close()
		return nil, errors.WithType(withCause(ctx, err), ErrIndeterminate)
	}
	return response, nil
}

func (c *Client) encode(r Request) ([]byte, *http.Request, error) {
	if c.baseErr != nil {
		return nil, nil, c.baseErr
	}
	head, err := http.NewRequest(r.Method, c.base.String()+r.Path, nil)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	if r.Header != nil {
		head.Header = r.Header
	}
	head.Close = true
	if len(r.Body) > 0 {
		head.Body = io.NopCloser(bytes.NewReader(r.Body))
		head.ContentLength = int64(len(r.Body))
	}
	var encoded bytes.Buffer
	encoded.Grow(len(r.Body) + headReserveBytes)
	if err := head.Write(&encoded); err != nil {
		return nil, nil, errors.Trace(err)
	}
	// The response refers to the request head. Without this, the request body would
	// stay in memory as long as the response.
	head.Body = nil
	return encoded.Bytes(), head, nil
}

func (c *Client) connect(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ConnectTimeout)
	defer cancel()
	return c.options.Dial(ctx, c.base.Host)
}

// withCause returns the context's cause if the context is done, since err then is
// only the I/O error of the closed connection. Otherwise it returns err.
func withCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// exchange is a request and its response on one connection.
type exchange struct {
	conn    net.Conn
	options Options
	// stopCancel stops the context from closing the connection.
	stopCancel func() bool
	// headerBytesLeft is the number of header bytes that may still be read. It is
	// negative once the header is complete.
	headerBytesLeft int64
}

func newExchange(ctx context.Context, conn net.Conn, options Options) *exchange {
	e := &exchange{conn: conn, options: options, headerBytesLeft: options.MaxHeaderBytes}
	e.stopCancel = context.AfterFunc(ctx, func() { _ = conn.Close() })
	return e
}

// write sends the encoded request. The error is ErrNotSent only if no byte of it
// was written.
func (e *exchange) write(ctx context.Context, encoded []byte) error {
	if ctx.Err() != nil {
		return errors.WithType(context.Cause(ctx), ErrNotSent)
	}
	if err := e.conn.SetWriteDeadline(time.Now().Add(e.options.WriteTimeout)); err != nil {
		return errors.WithType(err, ErrNotSent)
	}
	n, err := e.conn.Write(encoded)
	switch {
	case err == nil:
		return nil
	case n == 0:
		return errors.WithType(withCause(ctx, err), ErrNotSent)
	default:
		return errors.WithType(withCause(ctx, err), ErrIndeterminate)
	}
}

func (e *exchange) readHeader(head *http.Request) (*Response, error) {
	if err := e.conn.SetReadDeadline(time.Now().Add(e.options.HeaderTimeout)); err != nil {
		return nil, errors.Trace(err)
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(e, readBufferBytes), head)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if response.StatusCode < http.StatusOK {
		return nil, errors.Errorf("interim status %d isn't supported", response.StatusCode)
	}
	e.headerBytesLeft = -1
	return &Response{Status: response.StatusCode, Header: response.Header, body: response.Body, exchange: e}, nil
}

// Read reads from the connection. It enforces MaxHeaderBytes until the header is
// complete, and IdleTimeout afterwards.
func (e *exchange) Read(p []byte) (int, error) {
	if e.headerBytesLeft < 0 {
		if err := e.conn.SetReadDeadline(time.Now().Add(e.options.IdleTimeout)); err != nil {
			return 0, err
		}
		return e.conn.Read(p)
	}
	if e.headerBytesLeft == 0 {
		return 0, errors.Errorf("answer header is larger than %d bytes", e.options.MaxHeaderBytes)
	}
	n, err := e.conn.Read(p[:min(int64(len(p)), e.headerBytesLeft)])
	e.headerBytesLeft -= int64(n)
	return n, err
}

func (e *exchange) close() {
	e.stopCancel()
	_ = e.conn.Close()
}

// Response is a response whose body is read as it arrives.
type Response struct {
	Status int
	Header http.Header

	body     io.Reader
	exchange *exchange
}

// Read reads the body. It fails if the body is truncated or no byte arrives within
// the idle timeout.
func (r *Response) Read(p []byte) (int, error) { return r.body.Read(p) }

// ReadAll reads the rest of the body, at most limit bytes, and closes the
// response. Errors are ErrIndeterminate.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	defer r.Close()
	data, err := io.ReadAll(io.LimitReader(r.body, limit+1))
	if err != nil {
		return nil, errors.WithType(err, ErrIndeterminate)
	}
	if int64(len(data)) > limit {
		return nil, errors.WithType(errors.Errorf("answer is larger than %d bytes", limit), ErrIndeterminate)
	}
	return data, nil
}

// Close closes the connection.
func (r *Response) Close() { r.exchange.close() }
