// Package load sends requests to a running system as its callers do, checks
// every answer against the stand-ins' expected answer, and reports goodput,
// latencies, refusals and faulty answers.
package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/state/structs"
)

// Kind distinguishes model requests from calls to plain services.
type Kind string

// The kinds.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// The placeholders that a request's key and body may contain. They are replaced
// with the run's id and the request's number in the run.
const (
	PlaceholderRun    = "{run}"
	PlaceholderNumber = "{n}"
)

const (
	maxLineBytes     = 4 << 20
	defaultMaxTokens = 512
)

// Request is one line of a request file.
type Request struct {
	Organisation structs.OrganisationName `json:"organisation"`
	// Token is the bearer token. When empty, it is Options.TokenPrefix
	// followed by the organisation's name.
	Token string           `json:"token,omitempty"`
	Tier  structs.TierName `json:"tier"`
	Kind  Kind             `json:"kind"`
	// Target is the model or the service.
	Target     string `json:"target"`
	Prompt     string `json:"prompt,omitempty"`
	MaxTokens  int64  `json:"max_tokens,omitempty"`
	Seed       int64  `json:"seed,omitempty"`
	DeadlineMs int64  `json:"deadline_ms,omitempty"`
	// Key is the caller's key of a model request, or the idempotency key of
	// a service call.
	Key       string          `json:"key,omitempty"`
	WorkClass string          `json:"work_class,omitempty"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// Deadline returns the time allowed for the answer; zero is unlimited.
func (r Request) Deadline() time.Duration {
	return time.Duration(r.DeadlineMs) * time.Millisecond
}

func (r Request) check() error {
	switch {
	case r.Organisation == "":
		return errors.New("organisation is missing")
	case r.Target == "":
		return errors.New("target is missing; name a model or a service")
	case r.Kind != KindModel && r.Kind != KindService:
		return errors.Errorf("kind %q; use %q or %q", r.Kind, KindModel, KindService)
	case r.Kind == KindModel && r.Prompt == "":
		return errors.New("prompt is missing")
	}
	return nil
}

// fill replaces the placeholders and sets the default of MaxTokens.
func (r Request) fill(run string, number int) Request {
	replacer := strings.NewReplacer(PlaceholderRun, run, PlaceholderNumber, strconv.Itoa(number))
	r.Key = replacer.Replace(r.Key)
	r.Body = json.RawMessage(replacer.Replace(string(r.Body)))
	if r.MaxTokens == 0 {
		r.MaxTokens = defaultMaxTokens
	}
	return r
}

// ReadFile reads a request file of JSON lines.
func ReadFile(path string) ([]Request, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer f.Close()
	requests, err := Read(f)
	return requests, errors.Annotatef(err, "request file %s", path)
}

// Read reads requests as JSON lines. Empty lines are skipped.
func Read(r io.Reader) ([]Request, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	var requests []Request
	for number := 1; lines.Scan(); number++ {
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		request, err := decodeLine(line)
		if err != nil {
			return nil, errors.Annotatef(err, "line %d", number)
		}
		requests = append(requests, request)
	}
	return requests, errors.Trace(lines.Err())
}

func decodeLine(line []byte) (Request, error) {
	var r Request
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&r); err != nil {
		return r, err
	}
	return r, r.check()
}
