package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// scriptedServer answers the requests of its connections in turn with the
// texts given, whatever they say. An empty text closes the connection.
func scriptedServer(t *testing.T, texts ...string) (address string, requests chan *http.Request) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	requests = make(chan *http.Request, len(texts))
	go func() {
		next := 0
		for next < len(texts) {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			next = script(conn, texts, next, requests)
			conn.Close()
		}
	}()
	return listener.Addr().String(), requests
}

func script(conn net.Conn, texts []string, next int, requests chan *http.Request) int {
	reader := bufio.NewReader(conn)
	for next < len(texts) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return next
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return next
		}
		requests <- request
		text := texts[next]
		next++
		if text == "" {
			return next
		}
		fmt.Fprint(conn, text)
	}
	return next
}

func client(t *testing.T) *Client {
	c := New(Options{ConnectTimeout: time.Second, IdleTimeout: time.Second, MaxIdlePerEndpoint: 2, UserTimeout: time.Second, RequestIDHeader: "Id"})
	t.Cleanup(c.Close)
	return c
}

func request(id string) Request {
	return Request{ID: id, Method: "POST", Host: "host", Target: "/a%2fb//c?z=1&a=2", Header: http.Header{"Id": {id}}, Body: []byte("body")}
}

func answerText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func send(t *testing.T, c *Client, address, id string) string {
	answer, err := c.Send(context.Background(), address, request(id))
	assert.NilError(t, err)
	body, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	return string(body)
}

func TestTargetIsSentAsItCame(t *testing.T) {
	address, requests := scriptedServer(t, answerText("1", "x"))
	send(t, client(t), address, "1")
	got := <-requests
	assert.Equal(t, got.RequestURI, "/a%2fb//c?z=1&a=2")
	assert.Equal(t, got.Host, "host")
	assert.Equal(t, got.Header.Get("User-Agent"), "")
}

func TestConnectionsAreReused(t *testing.T) {
	address, _ := scriptedServer(t, answerText("1", "x"), answerText("2", "y"))
	c := client(t)
	assert.Equal(t, send(t, c, address, "1"), "x")
	assert.Equal(t, send(t, c, address, "2"), "y")
	assert.Equal(t, c.Connections(), int64(1))
}

// An endpoint may answer a request a second time.
func TestLateAnswerToAnEarlierRequestIsPassedOver(t *testing.T) {
	address, _ := scriptedServer(t, answerText("1", "x"), answerText("1", "x again")+answerText("2", "y"))
	c := client(t)
	assert.Equal(t, send(t, c, address, "1"), "x")
	assert.Equal(t, send(t, c, address, "2"), "y")
}

func TestConnectionWithUnaskedBytesIsNotReused(t *testing.T) {
	address, _ := scriptedServer(t, answerText("1", "x")+"garbage", answerText("2", "y"))
	c := client(t)
	assert.Equal(t, send(t, c, address, "1"), "x")
	assert.Equal(t, send(t, c, address, "2"), "y")
	assert.Equal(t, c.Connections(), int64(2))
}

func TestRequestWithoutAnswerIsNeverSentAgain(t *testing.T) {
	address, requests := scriptedServer(t, answerText("1", "x"), "", answerText("2", "y"))
	c := client(t)
	send(t, c, address, "1")
	_, err := c.Send(context.Background(), address, request("2"))
	assert.Assert(t, errors.Is(err, ErrBroken))
	assert.Equal(t, len(requests), 2)
}

func TestRefusedConnectionMeansNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = client(t).Send(context.Background(), address, request("1"))
	assert.Assert(t, errors.Is(err, ErrNotSent))
}

func TestAnswerCutShortIsBroken(t *testing.T) {
	// The script ends with this text, which closes the connection.
	address, _ := scriptedServer(t, strings.TrimSuffix(answerText("1", "abc"), "c"))
	answer, err := client(t).Send(context.Background(), address, request("1"))
	assert.NilError(t, err)
	defer answer.Body.Close()
	_, err = io.ReadAll(answer.Body)
	assert.Assert(t, errors.Is(err, ErrBroken))
}

func TestBytesThatAreNoAnswerAreBroken(t *testing.T) {
	address, _ := scriptedServer(t, "not an answer\r\n\r\n")
	_, err := client(t).Send(context.Background(), address, request("1"))
	assert.Assert(t, errors.Is(err, ErrBroken))
}

func TestIdleTimeIsShortenedByTheEndpoint(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 1\r\n\r\nx"
	address, _ := scriptedServer(t, text, answerText("2", "y"))
	c := client(t)
	send(t, c, address, "1")
	answer, err := c.Send(context.Background(), address, request("2"))
	if err == nil {
		answer.Body.Close()
	}
	assert.Equal(t, c.Connections(), int64(2))
}
