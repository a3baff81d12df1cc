package demo

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/standin/operator"
	"github.com/samphirewing/samphirewing/standin/runner"
)

// transcriptPage is the page whose log transcripts these tests replay.
const transcriptPage = "../../docs/operations/platform.md"

// syncBuffer is a buffer for log lines that is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// requestLines returns the fields of each log line of a request.
func (b *syncBuffer) requestLines(t *testing.T, request string) (lines []map[string]any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.SplitSeq(b.text.String(), "\n") {
		if !strings.Contains(line, fmt.Sprintf("%q:%q", "request", request)) {
			continue
		}
		var entry struct{ Fields map[string]any }
		assert.NilError(t, json.Unmarshal([]byte(line), &entry))
		lines = append(lines, entry.Fields)
	}
	return lines
}

// readTranscript returns the fields of each log line in the first JSON block
// under a heading of the page.
func readTranscript(t *testing.T, heading string) (lines []map[string]any) {
	text, err := os.ReadFile(transcriptPage)
	assert.NilError(t, err)
	_, section, found := strings.Cut(string(text), "### "+heading+"\n")
	assert.Assert(t, found, heading)
	_, block, _ := strings.Cut(section, "```json\n")
	block, _, _ = strings.Cut(block, "```")
	for line := range strings.SplitSeq(strings.TrimSpace(block), "\n") {
		var fields map[string]any
		assert.NilError(t, json.Unmarshal([]byte(line), &fields), line)
		lines = append(lines, fields)
	}
	return lines
}

// assertTranscript checks the log lines of a request against the transcript under
// a heading, and returns the last line. Transcript values that begin with "<"
// match any value.
func assertTranscript(t *testing.T, output *syncBuffer, heading, request string) map[string]any {
	t.Helper()
	want := readTranscript(t, heading)
	var got []map[string]any
	eventually(t, "the log contains all lines of the request", func() bool {
		got = output.requestLines(t, request)
		return len(got) >= len(want)
	})
	assert.Equal(t, len(got), len(want), "%v", got)
	for i, fields := range want {
		for name, value := range fields {
			logged, exists := got[i][name]
			assert.Assert(t, exists, "line %d has no %s: %v", i+1, name, got[i])
			if text, ok := value.(string); ok && strings.HasPrefix(text, "<") {
				continue
			}
			assert.Equal(t, logged, value, "line %d, %s: %v", i+1, name, got[i])
		}
	}
	return got[len(got)-1]
}

// startPlatformWithLog starts one daemon whose log is captured, with a
// configuration that gives the organisation a priority.
func startPlatformWithLog(t *testing.T) (*PlatformSystem, *syncBuffer) {
	output := &syncBuffer{}
	s, err := StartPlatform(1, events.Logger{Log: &log.Logger{Handler: jsonlog.New(output), Level: log.InfoLevel}})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	s.Operator.Publish(func(document map[string]any) {
		organisation := document["Tenants"].([]any)[0].(map[string]any)
		organisation["Priority"] = 1
	})
	eventually(t, "the configuration with a priority is active", func() bool { return s.Daemons[0].Version() == 2 })
	return s, output
}

func (s *PlatformSystem) setFaults(service string, f runner.Faults) {
	for _, r := range s.Runners {
		if r.Service() == service {
			r.SetFaults(f)
		}
	}
}

func TestTranscriptOfARefusedRequest(t *testing.T) {
	s, output := startPlatformWithLog(t)
	d := s.Daemons[0]
	s.setFaults(operator.Engines, runner.Faults{ExtraDelay: 300 * time.Millisecond})
	status, _, err := sendRequestWithID(d, "POST", "/draft/1", operator.APIKey, "first")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	// More requests than the engines have slots for and than can be dispatched
	// before their deadline.
	refused := make(chan string, 64)
	for n := range cap(refused) {
		id := fmt.Sprintf("of-many-%d", n)
		go func() {
			if status, _, err := sendRequestWithID(d, "POST", "/draft/1", operator.APIKey, id); err == nil && status == http.StatusServiceUnavailable {
				refused <- id
			}
		}()
	}
	select {
	case id := <-refused:
		assertTranscript(t, output, "Refused", id)
	case <-time.After(settleTimeout):
		t.Fatal("no request was refused")
	}
}

func TestTranscriptOfARequestWithUnknownOutcome(t *testing.T) {
	s, output := startPlatformWithLog(t)
	s.setFaults(operator.Orders, runner.Faults{LoseAnswers: true})
	status, _, err := sendRequestWithID(s.Daemons[0], "POST", "/confirm/1", operator.APIKey, "lost")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadGateway)
	assertTranscript(t, output, "Cut, or unknown whether it ran", "lost")
}

func TestTranscriptOfALateRequest(t *testing.T) {
	s, output := startPlatformWithLog(t)
	s.setFaults(operator.Engines, runner.Faults{ExtraDelay: 800 * time.Millisecond})
	status, _, err := sendRequestWithID(s.Daemons[0], "POST", "/draft/1", operator.APIKey, "late")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	last := assertTranscript(t, output, "Late", "late")
	assert.Assert(t, last["first_event_ms"].(float64) > 500, "the first event met the route's objective: %v", last)
}
