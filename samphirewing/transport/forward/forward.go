// Package forward sends opaque HTTP/1.1 requests to endpoints over kept
// connections, and tells for each failure whether the request may have run.
//
// http.Transport isn't used: it repeats requests on connections that died
// while idle, and hides whether any byte was sent. Requests and answers are
// still encoded and parsed by net/http.
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
	// ErrNotSent means that no byte of the request was handed to the network.
	ErrNotSent = errors.ConstError("no byte of the request was sent; it is safe to send it again")
	// ErrBroken means that the request, or a part of it, was sent and that no
	// whole answer came back.
	ErrBroken = errors.ConstError("the answer was lost; the endpoint may have run the request")
)

const (
	// readBufferBytes holds the head of an answer in one read.
	readBufferBytes = 4 << 10
	// maxInterimAnswers bounds the 1xx answers and answers to earlier requests
	// that are passed over before the awaited one.
	maxInterimAnswers = 8
	// strayBodyBytes bounds what is read of an answer to an earlier request.
	strayBodyBytes = 1 << 20
)

// Options bound a Client. All are required.
type Options struct {
	// ConnectTimeout bounds the dial.
	ConnectTimeout time.Duration
	// IdleTimeout closes connections that were unused for so long. An endpoint's
	// Keep-Alive header may shorten it.
	IdleTimeout time.Duration
	// MaxIdlePerEndpoint bounds the unused connections kept to one endpoint.
	MaxIdlePerEndpoint int
	// UserTimeout closes connections whose peer has not confirmed sent bytes
	// for so long.
	UserTimeout time.Duration
	// RequestIDHeader is the header that endpoints repeat in their answers. An
	// answer with another value belongs to an earlier request.
	RequestIDHeader string
}

// Request is one request as it goes to an endpoint. Target is the path and
// query exactly as the caller sent them.
type Request struct {
	ID     string
	Method string
	Host   string
	Target string
	Header http.Header
	Body   []byte
}

// Response is an endpoint's answer. The body must be closed; closing it before
// its end breaks the connection off.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, or -1 when unknown.
	Length int64
	Body   io.ReadCloser
}

// Client sends requests to many endpoints. It is safe for concurrent use.
type Client struct {
	options Options
	pool    pool
}

// New returns a client.
func New(o Options) *Client {
	return &Client{options: o, pool: pool{maxIdle: o.MaxIdlePerEndpoint, idle: map[string][]*connection{}}}
}

// Close closes the connections that are not in use.
func (c *Client) Close() { c.pool.closeAll() }

// Retain closes idle connections to all addresses but those given.
func (c *Client) Retain(addresses map[string]bool) { c.pool.retain(addresses) }

// Connections returns how many connections have been dialled.
func (c *Client) Connections() int64 { return c.pool.dialled.Load() }

// Send writes the request once, and returns when the head of its answer is
// there. The connection is closed when ctx ends. Errors are ErrNotSent or
// ErrBroken.
func (c *Client) Send(ctx context.Context, address string, r Request) (*Response, error) {
	head, encoded, err := encode(r)
	if err != nil {
		return nil, errors.WithType(err, ErrNotSent)
	}
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "connect to %s", address), ErrNotSent)
	}
	stop := context.AfterFunc(ctx, conn.close)
	if ctx.Err() != nil {
		stop()
		conn.close()
		return nil, errors.WithType(ctx.Err(), ErrNotSent)
	}
	answer, err := c.exchange(conn, head, r, encoded, stop)
	if err != nil {
		stop()
		conn.close()
		if ctx.Err() != nil {
			err = errors.Annotate(err, context.Cause(ctx).Error())
		}
		return nil, errors.WithType(err, ErrBroken)
	}
	return answer, nil
}

// encode returns the request's head, which parsing its answer needs, and all
// its bytes.
func encode(r Request) (*http.Request, []byte, error) {
	head := &http.Request{
		Method: r.Method, URL: &url.URL{Opaque: r.Target}, Host: r.Host,
		Header: r.Header, ContentLength: int64(len(r.Body)),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(r.Body) > 0 {
		head.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	// An empty value keeps net/http from naming itself.
	if _, ok := head.Header["User-Agent"]; !ok {
		head.Header["User-Agent"] = []string{""}
	}
	var b bytes.Buffer
	b.Grow(len(r.Body) + 1<<10)
	if err := head.Write(&b); err != nil {
		return nil, nil, errors.Annotate(err, "encode request")
	}
	return head, b.Bytes(), nil
}

func (c *Client) connect(ctx context.Context, address string) (*connection, error) {
	if conn := c.pool.take(address, time.Now()); conn != nil {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: c.options.ConnectTimeout, KeepAlive: -1, Control: userTimeout(c.options.UserTimeout)}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c.pool.dialled.Add(1)
	return &connection{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBufferBytes), fresh: true}, nil
}

// exchange writes the request and reads the head of its answer. The writer
// runs beside the reader, because an endpoint may answer before it has read
// the whole body.
func (c *Client) exchange(conn *connection, head *http.Request, r Request, encoded []byte, stop func() bool) (*Response, error) {
	written := make(chan error, 1)
	if len(r.Body) <= readBufferBytes {
		_, err := conn.Write(encoded)
		if err != nil {
			return nil, errors.Annotate(err, "write request")
		}
		written <- nil
	} else {
		go func() {
			_, err := conn.Write(encoded)
			written <- err
		}()
	}
	response, err := c.awaitAnswer(conn, head, r.ID)
	if err != nil {
		return nil, errors.Annotate(err, "read answer")
	}
	return &Response{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		Body: &body{client: c, conn: conn, response: response, written: written, stop: stop},
	}, nil
}

// awaitAnswer passes over interim answers and late answers to earlier
// requests of the connection.
func (c *Client) awaitAnswer(conn *connection, head *http.Request, id string) (*http.Response, error) {
	for range maxInterimAnswers {
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
		got := response.Header.Get(c.options.RequestIDHeader)
		if got == "" || got == id {
			return response, nil
		}
		if conn.fresh {
			return nil, errors.Errorf("answer names request %q", got)
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, strayBodyBytes)); err != nil {
			return nil, errors.Annotatef(err, "answer to earlier request %q", got)
		}
	}
	return nil, errors.New("too many answers to other requests")
}
