package shell

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/transport/operatorapi"
)

// fakeDaemon returns a fixed answer and records the requests.
type fakeDaemon struct {
	status         int
	incomplete     string
	body           string
	receivedTexts  []string
	receivedTokens []string
}

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(r.Body)
	d.receivedTexts = append(d.receivedTexts, string(text))
	d.receivedTokens = append(d.receivedTokens, r.Header.Get("Authorization"))
	w.Header().Set(operatorapi.HeaderIncomplete, d.incomplete)
	w.WriteHeader(d.status)
	_, _ = io.WriteString(w, d.body)
}

func testOptions(t *testing.T, addresses ...string) (Options, *bytes.Buffer, *bytes.Buffer) {
	t.Helper()
	var out, err bytes.Buffer
	return Options{Addresses: addresses, Token: "t", Out: &out, Err: &err}, &out, &err
}

// closedAddress returns an address on which no server listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	return "http://" + l.Addr().String()
}

func TestExitCodes(t *testing.T) {
	cases := []struct {
		status     int
		incomplete string
		code       int
	}{
		{200, "false", ExitOK},
		{200, "true", ExitIncomplete},
		{400, "false", ExitInvalid},
		{401, "false", ExitUnauthorised},
		{409, "false", ExitConflict},
		{422, "false", ExitRefused},
		{503, "false", ExitUnavailable},
		{504, "false", ExitUnknown},
	}
	for _, c := range cases {
		daemon := &fakeDaemon{status: c.status, incomplete: c.incomplete, body: "rows\n"}
		server := httptest.NewServer(daemon)
		o, out, errOut := testOptions(t, closedAddress(t), server.URL+"/")
		assert.Equal(t, Execute(o, "show tiers"), c.code)
		assert.Equal(t, out.String()+errOut.String(), "rows\n")
		assert.Equal(t, out.Len() > 0, c.status == 200)
		assert.DeepEqual(t, daemon.receivedTexts, []string{"show tiers"})
		assert.DeepEqual(t, daemon.receivedTokens, []string{"Bearer t"})
		server.Close()
	}
}

func TestUnreachableDaemonAndLostAnswerHaveOwnExitCodes(t *testing.T) {
	o, _, errOut := testOptions(t, closedAddress(t))
	assert.Equal(t, Execute(o, "show tiers"), ExitUnavailable)
	assert.Assert(t, strings.Contains(errOut.String(), "nothing was sent"))
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer aborting.Close()
	otherDaemon := &fakeDaemon{status: 200}
	otherServer := httptest.NewServer(otherDaemon)
	defer otherServer.Close()
	o, _, errOut = testOptions(t, aborting.URL, otherServer.URL)
	assert.Equal(t, Execute(o, "drop tier x"), ExitUnknown)
	assert.Assert(t, strings.Contains(errOut.String(), "show history"))
	assert.Equal(t, len(otherDaemon.receivedTexts), 0)
}

func TestInterruptEndsWatch(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		cancel()
		<-r.Context().Done()
	}))
	defer server.Close()
	o, _, errOut := testOptions(t, server.URL)
	assert.Equal(t, ExecuteContext(ctx, o, "watch running"), ExitOK)
	assert.Equal(t, errOut.String(), "")
}

func TestApplyFile(t *testing.T) {
	daemon := &fakeDaemon{status: 200, body: "accepted\n"}
	server := httptest.NewServer(daemon)
	defer server.Close()
	o, _, errOut := testOptions(t, server.URL)
	path := filepath.Join(t.TempDir(), "x.swq")
	assert.Equal(t, ApplyFile(o, path), ExitUsage)
	assert.Assert(t, errOut.Len() > 0)
	assert.NilError(t, os.WriteFile(path, []byte("drop tier x;"), 0o600))
	assert.Equal(t, ApplyFile(o, path), ExitOK)
	assert.DeepEqual(t, daemon.receivedTexts, []string{"drop tier x;"})
}

// scriptedPrompter is a prompter that returns fixed lines and records the
// prompts and the history.
type scriptedPrompter struct {
	lines   []string
	prompts []string
	history []string
}

func (p *scriptedPrompter) Prompt(prompt string) (string, error) {
	p.prompts = append(p.prompts, prompt)
	if len(p.lines) == 0 {
		return "", io.EOF
	}
	line := p.lines[0]
	p.lines = p.lines[1:]
	return line, nil
}

func (p *scriptedPrompter) AppendHistory(line string) { p.history = append(p.history, line) }

func TestInteractiveSendsCompleteStatements(t *testing.T) {
	daemon := &fakeDaemon{status: 409, body: "conflict\n"}
	server := httptest.NewServer(daemon)
	defer server.Close()
	o, _, _ := testOptions(t, server.URL)
	p := &scriptedPrompter{lines: []string{"", "begin;", "create organisation o tiers a token 'secret';", "commit;", "Help Drain", "quit", "drop tier x;"}}
	assert.Equal(t, runLoop(o.withDefaults(), p), ExitConflict)
	assert.DeepEqual(t, daemon.receivedTexts, []string{"begin;\ncreate organisation o tiers a token 'secret';\ncommit;", "help drain;"})
	assert.DeepEqual(t, p.history, []string{"begin; create organisation o tiers a token '***'; commit;", "help drain;"})
	assert.DeepEqual(t, p.prompts[1:4], []string{firstPrompt, continuePrompt, continuePrompt})
}
