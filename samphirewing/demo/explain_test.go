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

// explainPage shows how failed requests are explained from the log.
const explainPage = "../../docs/operations/platform.md"

// syncBuffer is a log that is read while it is written.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// lines returns the fields of the log lines of a request.
func (b *syncBuffer) lines(t *testing.T, request string) (all []map[string]any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.SplitSeq(b.text.String(), "\n") {
		if !strings.Contains(line, fmt.Sprintf("%q:%q", "request", request)) {
			continue
		}
		var entry struct{ Fields map[string]any }
		assert.NilError(t, json.Unmarshal([]byte(line), &entry))
		all = append(all, entry.Fields)
	}
	return all
}

// transcript returns the lines of the page under a heading.
func transcript(t *testing.T, heading string) (all []map[string]any) {
	text, err := os.ReadFile(explainPage)
	assert.NilError(t, err)
	_, section, found := strings.Cut(string(text), "### "+heading+"\n")
	assert.Assert(t, found, heading)
	_, block, _ := strings.Cut(section, "```json\n")
	block, _, _ = strings.Cut(block, "```")
	for line := range strings.SplitSeq(strings.TrimSpace(block), "\n") {
		var fields map[string]any
		assert.NilError(t, json.Unmarshal([]byte(line), &fields), line)
		all = append(all, fields)
	}
	return all
}

// replayed compares the log of a request with the page, and returns its last
// line.
func replayed(t *testing.T, output *syncBuffer, heading, request string) map[string]any {
	t.Helper()
	want := transcript(t, heading)
	var got []map[string]any
	eventually(t, "the request's lines are in the log", func() bool {
		got = output.lines(t, request)
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

func startLogged(t *testing.T) (*PlatformSystem, *syncBuffer) {
	output := &syncBuffer{}
	s, err := StartPlatform(1, events.Logger{Log: &log.Logger{Handler: jsonlog.New(output), Level: log.InfoLevel}})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	s.Operator.Publish(func(document map[string]any) {
		organisation := document["Tenants"].([]any)[0].(map[string]any)
		organisation["Priority"] = 1
	})
	eventually(t, "the ranked configuration is in force", func() bool { return s.Daemons[0].Version() == 2 })
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
	s, output := startLogged(t)
	d := s.Daemons[0]
	s.setFaults(operator.Engines, runner.Faults{Slow: 300 * time.Millisecond})
	status, _, err := askAs(d, "POST", "/draft/1", operator.Key, "first")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	// More than the engines hold and than will be placed in time.
	refused := make(chan string, 64)
	for n := range cap(refused) {
		id := fmt.Sprintf("of-many-%d", n)
		go func() {
			if status, _, err := askAs(d, "POST", "/draft/1", operator.Key, id); err == nil && status == http.StatusServiceUnavailable {
				refused <- id
			}
		}()
	}
	select {
	case id := <-refused:
		replayed(t, output, "Refused", id)
	case <-time.After(settle):
		t.Fatal("no request was refused")
	}
}

func TestTranscriptOfARequestThatMayHaveRun(t *testing.T) {
	s, output := startLogged(t)
	s.setFaults(operator.Orders, runner.Faults{LoseAnswers: true})
	status, _, err := askAs(s.Daemons[0], "POST", "/confirm/1", operator.Key, "lost")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadGateway)
	replayed(t, output, "Cut, or unknown whether it ran", "lost")
}

func TestTranscriptOfALateRequest(t *testing.T) {
	s, output := startLogged(t)
	s.setFaults(operator.Engines, runner.Faults{Slow: 800 * time.Millisecond})
	status, _, err := askAs(s.Daemons[0], "POST", "/draft/1", operator.Key, "late")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	last := replayed(t, output, "Late", "late")
	assert.Assert(t, last["first_event_ms"].(float64) > 500, "later than the route's objective: %v", last)
}
