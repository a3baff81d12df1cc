package callerapi

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/samphirewing/samphirewing/protocol/completions"
	"github.com/samphirewing/samphirewing/protocol/sse"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	chatBody = `{"model":"engraver-large","messages":[{"role":"user","content":"Bodas de plata: L y M"}]}`
	textBody = `{"model":"engraver-large","prompt":"Escudo con dos leones","stream":true,"stream_options":{"include_usage":true}}`
)

func serve(t testing.TB, b Backend, o Options) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(New(b, o))
	server.Config = NewServer(New(b, o), ServerOptions{})
	server.Start()
	t.Cleanup(server.Close)
	return server
}

func backendWithAnswer(a *fakeAnswer) *fakeBackend {
	return newFakeBackend(func(Submission) (*fakeAnswer, error) { return a, nil })
}

func send(t testing.TB, method, url, body string, headers ...string) *http.Response {
	t.Helper()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(t.Context(), method, url, reader)
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer demo-taller")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func decode[T any](t testing.TB, r *http.Response) T {
	t.Helper()
	var v T
	assert.NilError(t, json.NewDecoder(r.Body).Decode(&v))
	return v
}

// readStream reads a stream to its end and returns its text, its event ids and
// its last event.
func readStream(t testing.TB, body io.Reader) (string, []uint64, sse.Event) {
	t.Helper()
	var text strings.Builder
	var ids []uint64
	var last sse.Event
	for events := sse.NewReader(body); ; {
		e, err := events.Next()
		if err == io.EOF {
			return text.String(), ids, last
		}
		assert.NilError(t, err)
		last = e
		if e.ID != 0 {
			var chunk completions.Answer
			assert.NilError(t, json.Unmarshal(e.Data, &chunk))
			text.WriteString(chunk.ChunkText())
			ids = append(ids, e.ID)
		}
	}
}

func TestChatAnswerWithoutStreaming(t *testing.T) {
	b := backendWithAnswer(newFakeAnswer("r1").push("dos ", "leones", " é").finish(successResult()))
	r := send(t, "POST", serve(t, b, Options{}).URL+"/v1/chat/completions", chatBody,
		HeaderTier, "counter", HeaderDeadline, "2000", HeaderCallerKey, "k", HeaderWorkClass, "layout")
	assert.Equal(t, r.StatusCode, http.StatusOK)
	assert.Equal(t, r.Header.Get(HeaderRequestID), "r1")
	body := decode[completions.Answer](t, r)
	assert.Equal(t, body.ChunkText(), "dos leones é")
	assert.Equal(t, *body.Choices[0].FinishReason, "stop")
	assert.Equal(t, body.Usage.TotalTokens, structs.Tokens(8))
	s := b.submitted[0]
	assert.Equal(t, s.Organisation, structs.OrganisationName("taller"))
	assert.Equal(t, s.Tier, structs.TierName("counter"))
	assert.Equal(t, s.CallerKey, "k")
	assert.Equal(t, s.WorkClass, "layout")
	assert.Equal(t, s.Prompt, "user: Bodas de plata: L y M\nassistant: ")
	assert.Assert(t, !s.Deadline.IsZero())
}

func TestStreamedAnswerWithKeepAlives(t *testing.T) {
	a := newFakeAnswer("r1")
	server := serve(t, backendWithAnswer(a), Options{KeepAlive: time.Millisecond})
	r := send(t, "POST", server.URL+"/v1/completions", textBody)
	start := make([]byte, len(": keep-alive"))
	_, err := io.ReadFull(r.Body, start)
	assert.NilError(t, err)
	assert.Equal(t, string(start), ": keep-alive")
	a.push("uno ", "dos ").push("tres").finish(successResult())
	text, ids, last := readStream(t, r.Body)
	assert.Equal(t, text, "uno dos tres")
	assert.DeepEqual(t, ids, []uint64{1, 2, 3})
	assert.Equal(t, string(last.Data), completions.DoneMarker)
	assert.Equal(t, r.Header.Get("Content-Type"), sse.ContentType)
}

func TestReconnectContinuesAfterLastEvent(t *testing.T) {
	a := newFakeAnswer("r1").push("uno ", "dos ", "tres")
	server := serve(t, backendWithAnswer(a), Options{})
	first := send(t, "POST", server.URL+"/v1/completions", textBody)
	events := sse.NewReader(first.Body)
	e, err := events.Next()
	assert.NilError(t, err)
	assert.Equal(t, e.ID, uint64(1))
	assert.NilError(t, first.Body.Close())
	a.finish(successResult())
	for _, again := range []*http.Response{
		send(t, "GET", server.URL+"/v1/requests/r1/answer?after=1", ""),
		send(t, "GET", server.URL+"/v1/requests/r1/answer", "", HeaderLastEventID, "1"),
	} {
		text, ids, last := readStream(t, again.Body)
		assert.Equal(t, text, "dos tres")
		assert.DeepEqual(t, ids, []uint64{2, 3})
		assert.Equal(t, string(last.Data), completions.DoneMarker)
	}
	status := decode[RequestStatus](t, send(t, "GET", server.URL+"/v1/requests/r1", ""))
	assert.Equal(t, status.Outcome, "done")
	other := send(t, "GET", server.URL+"/v1/requests/r1", "", "Authorization", "Bearer demo-paz")
	assert.Equal(t, other.StatusCode, http.StatusNotFound)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a.attached.Load() == 0 {
			return poll.Success()
		}
		return poll.Continue("%d connections attached", a.attached.Load())
	})
}

func TestMidStreamFailureSendsErrorEventInsteadOfDone(t *testing.T) {
	a := newFakeAnswer("r1").push("uno ").finish(Result{Outcome: structs.OutcomeUnknown, Reason: structs.ReasonStreamBroken})
	r := send(t, "POST", serve(t, backendWithAnswer(a), Options{}).URL+"/v1/completions", textBody)
	text, _, last := readStream(t, r.Body)
	assert.Equal(t, text, "uno ")
	assert.Equal(t, last.Name, completions.ErrorEvent)
	var body completions.ErrorBody
	assert.NilError(t, json.Unmarshal(last.Data, &body))
	assert.Equal(t, body.Error.Outcome, "unknown")
	assert.Equal(t, body.Error.Reason, structs.ReasonStreamBroken)
	assert.Equal(t, body.Error.RequestID, "r1")
}

func TestRefusalsCarryReasonRemedyAndRetryDelay(t *testing.T) {
	refusal := structs.Refusal{Outcome: structs.OutcomeNotRun, Reason: structs.ReasonQueueFull, RetryAfter: 1500 * time.Millisecond}
	immediate := newFakeBackend(func(Submission) (*fakeAnswer, error) { return nil, refusal })
	queued := backendWithAnswer(newFakeAnswer("r").finish(Result{Outcome: refusal.Outcome, Reason: refusal.Reason, RetryAfter: refusal.RetryAfter}))
	for _, b := range []*fakeBackend{immediate, queued} {
		server := serve(t, b, Options{})
		for path, body := range map[string]string{"/v1/completions": textBody, "/v1/chat/completions": chatBody, "/v1/services/stock-check": "{}"} {
			r := send(t, "POST", server.URL+path, body)
			assert.Equal(t, r.StatusCode, http.StatusTooManyRequests)
			assert.Equal(t, r.Header.Get("Retry-After"), "2")
			assert.Equal(t, r.Header.Get(HeaderShouldRetry), "true")
			detail := decode[completions.ErrorBody](t, r).Error
			assert.Equal(t, detail.Type, completions.ErrorNotRun)
			assert.Equal(t, detail.RetryAfterMs, int64(1500))
			assert.Assert(t, detail.Remedy != "")
		}
	}
}

func TestServiceCall(t *testing.T) {
	result := Result{Outcome: structs.OutcomeDone, ServiceStatus: 201, ServiceBody: []byte(`{"booked":1}`)}
	b := backendWithAnswer(newFakeAnswer("r1").finish(result))
	server := serve(t, b, Options{})
	r := send(t, "POST", server.URL+"/v1/services/order-confirmation", `{"pair":7}`,
		HeaderIdempotencyKey, "order-7", HeaderKeyIssued, "2026-01-31T08:15:00Z")
	assert.Equal(t, r.StatusCode, 201)
	body, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), `{"booked":1}`)
	s := b.submitted[0]
	assert.Equal(t, s.Kind, structs.WorkService)
	assert.Equal(t, s.Target, structs.Target("order-confirmation"))
	assert.Equal(t, s.CallerKey, "order-7")
	assert.Equal(t, s.KeyIssued.UTC().Hour(), 8)
	again := send(t, "GET", server.URL+"/v1/requests/r1/answer", "")
	assert.Equal(t, again.StatusCode, 201)
}

func TestUnknownServiceOutcomeIsNotRetryable(t *testing.T) {
	a := newFakeAnswer("r1").finish(Result{Outcome: structs.OutcomeUnknown, Reason: structs.ReasonAnswerLost})
	r := send(t, "POST", serve(t, backendWithAnswer(a), Options{}).URL+"/v1/services/order-confirmation", "{}")
	assert.Equal(t, r.StatusCode, http.StatusBadGateway)
	assert.Equal(t, r.Header.Get(HeaderOutcome), "unknown")
	assert.Equal(t, r.Header.Get(HeaderShouldRetry), "false")
	assert.Equal(t, decode[completions.ErrorBody](t, r).Error.Outcome, "unknown")
}

func TestEntriesAndModels(t *testing.T) {
	server := serve(t, backendWithAnswer(nil), Options{})
	list := decode[entryListBody](t, send(t, "GET", server.URL+"/v1/entries", ""))
	assert.Equal(t, list.MaxAgeMs, int64(30000))
	assert.Equal(t, list.Entries[0], entryBody{Instance: "d1", Address: "127.0.0.1:1", FailureDomain: "a", Weight: 2})
	models := decode[completions.ModelList](t, send(t, "GET", server.URL+"/v1/models", ""))
	assert.Equal(t, models.Data[0].ID, "engraver-large")
}
