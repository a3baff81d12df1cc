package netfault

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const silenceTimeout = 200 * time.Millisecond

func startServer(t *testing.T) *Server {
	t.Helper()
	s, err := Start("", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

// sendRequest sends a GET request over a connection and reads the response.
func sendRequest(t *testing.T, conn net.Conn) error {
	t.Helper()
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(silenceTimeout)))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return err
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func isTimeout(err error) bool {
	fault, ok := err.(net.Error)
	return ok && fault.Timeout()
}

func TestSilenceOpenAffectsOnlyOpenConnections(t *testing.T) {
	s := startServer(t)
	old := dial(t, s)
	assert.NilError(t, sendRequest(t, old))
	s.SilenceOpen()
	assert.Assert(t, isTimeout(sendRequest(t, old)))
	assert.NilError(t, sendRequest(t, dial(t, s)))
	assert.Assert(t, isTimeout(sendRequest(t, old)))
}

func TestSilenceNewSilencesNewConnections(t *testing.T) {
	s := startServer(t)
	s.SetSilenceNew(true)
	assert.Assert(t, isTimeout(sendRequest(t, dial(t, s))))
	s.SetSilenceNew(false)
	assert.NilError(t, sendRequest(t, dial(t, s)))
}

func TestRefusedConnectionsAreAcceptedAgain(t *testing.T) {
	s := startServer(t)
	assert.NilError(t, s.SetRefuse(true))
	_, err := net.Dial("tcp", s.Address())
	assert.ErrorContains(t, err, "refused")
	assert.NilError(t, s.SetRefuse(false))
	assert.NilError(t, sendRequest(t, dial(t, s)))
}

func TestCutOpenClosesOpenConnections(t *testing.T) {
	s := startServer(t)
	conn := dial(t, s)
	assert.NilError(t, sendRequest(t, conn))
	s.CutOpen()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err := io.ReadAll(conn)
	assert.Assert(t, !isTimeout(err))
}
