package callerapi

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/protocol/completions"
	"github.com/samphirewing/samphirewing/state/structs"
)

func TestInvalidInputIsRejectedWithoutSubmission(t *testing.T) {
	b := newFakeBackend(func(s Submission) (*fakeAnswer, error) {
		if s.Target == "nothing" || s.Tier == "gold" {
			return nil, &InvalidError{Field: "model or tier", Detail: "unknown", Remedy: "use another", Status: http.StatusNotFound}
		}
		if s.Tier == "counter" {
			return nil, &InvalidError{Field: HeaderTier, Detail: "not allowed", Remedy: "use another", Status: http.StatusForbidden}
		}
		return newFakeAnswer("r").finish(successResult()), nil
	})
	server := serve(t, b, Options{MaxBodyBytes: 2000})
	chat, text, service := "/v1/chat/completions", "/v1/completions", "/v1/services/stock-check"
	cases := []struct {
		name, path, body string
		headers          []string
		status           int
	}{
		{"broken JSON", chat, `{"model":`, nil, 400},
		{"not an object", chat, `[1]`, nil, 400},
		{"trailing data", chat, chatBody + "x", nil, 400},
		{"wrong type", chat, `{"model":7}`, nil, 400},
		{"bad UTF-8", text, "{\"model\":\"m\",\"prompt\":\"\xff\"}", nil, 400},
		{"no model", text, `{"prompt":"x"}`, nil, 400},
		{"no messages", chat, `{"model":"m","messages":[]}`, nil, 400},
		{"unknown role", chat, `{"model":"m","messages":[{"role":"king","content":"x"}]}`, nil, 400},
		{"image", chat, `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, 400},
		{"token prompt", text, `{"model":"m","prompt":[1,2]}`, nil, 400},
		{"two prompts", text, `{"model":"m","prompt":["a","b"]}`, nil, 400},
		{"n", text, `{"model":"m","prompt":"x","n":2}`, nil, 400},
		{"max_tokens", text, `{"model":"m","prompt":"x","max_tokens":0}`, nil, 400},
		{"temperature", text, `{"model":"m","prompt":"x","temperature":-1}`, nil, 400},
		{"empty stop", text, `{"model":"m","prompt":"x","stop":[""]}`, nil, 400},
		{"too large", chat, `{"model":"` + strings.Repeat("m", 2000) + `"}`, nil, 413},
		{"unknown model", text, `{"model":"nothing","prompt":"x"}`, nil, 404},
		{"unknown tier", chat, chatBody, []string{HeaderTier, "gold"}, 404},
		{"tier not allowed", chat, chatBody, []string{HeaderTier, "counter"}, 403},
		{"past deadline", chat, chatBody, []string{HeaderDeadline, "-5"}, 400},
		{"deadline text", chat, chatBody, []string{HeaderDeadline, "soon"}, 400},
		{"deadline far", chat, chatBody, []string{HeaderDeadline, "9223372036854775807"}, 400},
		{"long key", chat, chatBody, []string{HeaderCallerKey, strings.Repeat("k", 257)}, 400},
		{"bad key", service, "{}", []string{HeaderIdempotencyKey, "\xff"}, 400},
		{"key time", service, "{}", []string{HeaderKeyIssued, "yesterday"}, 400},
		{"key of the future", service, "{}", []string{HeaderKeyIssued, "2999-01-01T00:00:00Z"}, 400},
		{"no token", chat, chatBody, []string{"Authorization", ""}, 401},
		{"other scheme", chat, chatBody, []string{"Authorization", "Basic demo-taller"}, 401},
		{"no such address", "/v2/x", "{}", nil, 404},
		{"method", "/v1/entries", "{}", nil, 405},
		{"header flood", chat, chatBody, []string{"X-Flood", strings.Repeat("x", 64<<10)}, 431},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := send(t, "POST", server.URL+c.path, c.body, c.headers...)
			assert.Equal(t, r.StatusCode, c.status)
			if c.status == 431 {
				return
			}
			detail := decode[completions.ErrorBody](t, r).Error
			assert.Equal(t, detail.Outcome, structs.OutcomeNotRun.String())
			assert.Assert(t, detail.Remedy != "")
		})
	}
	assert.Equal(t, b.count(), 0)
}

// sendRaw sends bytes on a new connection and returns the status line of the
// response and the connection.
func sendRaw(t *testing.T, address, request string) (string, net.Conn) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, request)
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	line, err := bufio.NewReader(c).ReadString('\n')
	assert.NilError(t, err)
	return line, c
}

func TestSlowBodyTimesOut(t *testing.T) {
	b := backendWithAnswer(newFakeAnswer("r").finish(successResult()))
	server := serve(t, b, Options{BodyTimeout: 50 * time.Millisecond})
	request := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\nAuthorization: Bearer demo-%s\r\n\r\n{"
	for token, status := range map[string]string{"taller": "408", "nobody": "401"} {
		line, c := sendRaw(t, server.Listener.Addr().String(), fmt.Sprintf(request, token))
		assert.Assert(t, strings.Contains(line, status), line)
		// The server must not wait for the rest of the body either.
		_, err := io.Copy(io.Discard, c)
		assert.NilError(t, err)
	}
	assert.Equal(t, b.count(), 0)
}

func TestBodyTimeoutDoesNotLimitTheAnswer(t *testing.T) {
	a := newFakeAnswer("r")
	timeout := 250 * time.Millisecond
	server := serve(t, backendWithAnswer(a), Options{BodyTimeout: timeout, KeepAlive: timeout / 10})
	r := send(t, "POST", server.URL+"/v1/completions", textBody)
	start := time.Now()
	events := bufio.NewReader(r.Body)
	for time.Since(start) < 2*timeout {
		_, err := events.ReadString('\n')
		assert.NilError(t, err)
	}
	a.push("uno").finish(successResult())
	text, _, last := readStream(t, events)
	assert.Equal(t, text, "uno")
	assert.Equal(t, string(last.Data), completions.DoneMarker)
}

func TestConnectionLimitDelaysAccept(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := LimitConnections(inner, 1)
	accepted := make(chan net.Conn)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- c
		}
	}()
	for range 2 {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
	}
	first := <-accepted
	select {
	case <-accepted:
		t.Fatal("second connection accepted over the limit")
	default:
	}
	assert.NilError(t, first.Close())
	assert.Assert(t, <-accepted != nil)
	assert.NilError(t, l.Close())
	_, open := <-accepted
	assert.Assert(t, !open)
}
