package operatorapi

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/coordination/journal"
	"github.com/samphirewing/coordkit/coordination/replication"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog"
	"github.com/samphirewing/samphirewing/catalogues"
	"github.com/samphirewing/samphirewing/language"
	"github.com/samphirewing/samphirewing/state/catalogue"
)

// fakeBackend applies changes to a real store and answers queries with fixed rows.
type fakeBackend struct {
	mu       sync.Mutex
	store    *configstore.Store
	revision configstore.Revision
	behind   []instance.ID
	// beforeCommit runs before a commit, to simulate a concurrent operator.
	beforeCommit func()
	commitErr    error
	result       QueryResult
	resolved     []Resolution
	resolveErr   error
}

func newFakeBackend() *fakeBackend {
	return &fakeBackend{store: configstore.NewStore(catalogue.Rules{})}
}

func (b *fakeBackend) View() configstore.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.store.View()
}

func (b *fakeBackend) Commit(_ context.Context, c configstore.ChangeSet, wait bool) (CommitResult, error) {
	if b.beforeCommit != nil {
		b.beforeCommit()
	}
	if b.commitErr != nil {
		return CommitResult{}, b.commitErr
	}
	result := CommitResult{Verdict: b.apply(c)}
	if wait {
		result.Behind = b.behind
	}
	return result, nil
}

func (b *fakeBackend) apply(c configstore.ChangeSet) configstore.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.revision++
	v, err := b.store.Apply(b.revision, time.Unix(1, 0), c)
	if err != nil {
		panic(err)
	}
	return v
}

func (b *fakeBackend) Query(_ context.Context, q language.Query) (QueryResult, error) {
	if q.Subject == language.SubjectHistory {
		b.mu.Lock()
		defer b.mu.Unlock()
		return QueryResult{Answered: []DaemonRows{{Daemon: "d1", Rows: language.HistoryRows(b.store.History())}}}, nil
	}
	return b.result, nil
}

func (b *fakeBackend) Resolve(_ context.Context, r Resolution) error {
	b.resolved = append(b.resolved, r)
	return b.resolveErr
}

func serve(t testing.TB, b Backend) string {
	t.Helper()
	server := httptest.NewServer(New(b, Options{Operators: []Operator{
		{Name: "lucia", Hash: catalogue.HashToken("lucia-token")},
		{Name: "ana", Hash: catalogue.HashToken("ana-token")},
	}}))
	t.Cleanup(server.Close)
	return server.URL + Path
}

func post(t testing.TB, url, token, accept, text string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(text))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set("Accept", accept)
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response, string(body)
}

func postJSON(t testing.TB, url, text string) (int, Response) {
	t.Helper()
	r, body := post(t, url, "lucia-token", ContentJSON, text)
	// language.Table can't be decoded, so Text holds the rows as raw JSON.
	var response Response
	var raw struct {
		Results    []struct{ Rows json.RawMessage }
		Error      *Failure
		Incomplete bool
	}
	assert.NilError(t, json.Unmarshal([]byte(body), &raw), body)
	response.Error, response.Incomplete = raw.Error, raw.Incomplete
	for _, result := range raw.Results {
		response.Results = append(response.Results, Result{Text: string(result.Rows)})
	}
	return r.StatusCode, response
}

func TestApplyAndShowCatalogue(t *testing.T) {
	url := serve(t, newFakeBackend())
	r, body := post(t, url, "lucia-token", "", catalogues.Gemelo)
	assert.Equal(t, r.StatusCode, 200, body)
	assert.Assert(t, strings.HasPrefix(body, "accepted as revision 1, in force on every live daemon; changed tier/counter"), body)
	_, body = post(t, url, "lucia-token", "", "show tiers order by rank; show services where repeatable = no")
	assert.Equal(t, body, strings.Join([]string{
		"name     rank  deadline  revision  changed_by",
		"counter  0     20s       1         lucia",
		"bench    1     1m0s      1         lucia",
		"batch    2     10m0s     1         lucia",
		"(3 rows)",
		"",
		"name                pool    repeatable  revision  changed_by",
		"order-confirmation  orders  no          1         lucia",
		"(1 row)",
		"",
	}, "\n"))
	status, response := postJSON(t, url, "show tiers where name = bench")
	assert.Equal(t, status, 200)
	assert.Equal(t, response.Results[0].Text, `[{"name":"bench","rank":1,"deadline":"1m0s","revision":1,"changed_by":"lucia"}]`)
}

func TestConcurrentChangesConflict(t *testing.T) {
	b := newFakeBackend()
	url := serve(t, b)
	post(t, url, "lucia-token", "", catalogues.Gemelo)
	b.beforeCommit = func() {
		b.beforeCommit = nil
		r, body := post(t, url, "ana-token", "", "alter pool orders queue 10")
		assert.Equal(t, r.StatusCode, 200, body)
	}
	status, response := postJSON(t, url, "alter pool orders queue 20")
	assert.Equal(t, status, http.StatusConflict)
	assert.Equal(t, response.Error.Kind, FailureConflict)
	assert.Equal(t, response.Error.Object, configstore.Key("pool/orders"))
	assert.Equal(t, response.Error.ChangedBy, "ana")
	_, body := post(t, url, "lucia-token", "", "show pools where name = orders; show history where accepted = no")
	assert.Assert(t, strings.Contains(body, "orders  10 "), body)
	assert.Assert(t, strings.Contains(body, "alter pool orders queue 20"), body)
}

func TestFailureKindsAndEarlyStop(t *testing.T) {
	b := newFakeBackend()
	url := serve(t, b)
	post(t, url, "lucia-token", "", catalogues.Gemelo)
	cases := []struct {
		text   string
		kind   FailureKind
		column int
	}{
		{"shwo tiers", FailureInvalid, 1},
		{"begin; drop tier batch", FailureInvalid, 1},
		{"commit", FailureInvalid, 1},
		{"begin; show tiers; commit", FailureInvalid, 8},
		{"watch running; show tiers", FailureInvalid, 1},
		{"create tier counter rank 7", FailureRefused, 1},
		{"drop tier counter", FailureRefused, 0},
		{"alter pool orders queue 5 if revision 99", FailureConflict, 1},
	}
	for _, c := range cases {
		status, response := postJSON(t, url, c.text)
		assert.Equal(t, response.Error.Kind, c.kind, c.text)
		assert.Equal(t, status, c.kind.Status())
		assert.Equal(t, response.Error.Column, c.column, c.text)
	}
	status, response := postJSON(t, url, "show tiers; drop tier counter; drop organisation grossiste")
	assert.Equal(t, status, 422)
	assert.Equal(t, len(response.Results), 1)
	assert.Equal(t, b.revision, configstore.Revision(1))
}

func TestDryRunChangesNothing(t *testing.T) {
	b := newFakeBackend()
	url := serve(t, b)
	_, body := post(t, url, "lucia-token", "", strings.Replace(catalogues.Gemelo, "begin;", "begin dry run;", 1)+"dry run create tier x rank 5")
	assert.Assert(t, strings.Contains(body, "dry run: would be accepted; it changes tier/x"), body)
	assert.Equal(t, b.revision, configstore.Revision(0))
}

func TestCommitErrorKinds(t *testing.T) {
	b := newFakeBackend()
	url := serve(t, b)
	b.commitErr = errors.Trace(eventlog.ErrUnavailable)
	status, response := postJSON(t, url, "create tier x rank 5")
	assert.Equal(t, status, 503)
	assert.Equal(t, response.Error.Kind, FailureUnavailable)
	for cause, kind := range map[error]FailureKind{replication.ErrNotReady: FailureUnavailable, configstore.ErrTooLarge: FailureRefused} {
		b.commitErr = errors.Trace(cause)
		_, response = postJSON(t, url, "create tier x rank 5")
		assert.Equal(t, response.Error.Kind, kind)
	}
	b.commitErr = errors.New("answer lost")
	status, response = postJSON(t, url, "create tier x rank 5")
	assert.Equal(t, status, 504)
	assert.Equal(t, response.Error.Kind, FailureUnknown)
	assert.Assert(t, strings.Contains(response.Error.Message, "show history"))
}

func TestIncompleteResultsListUnresponsiveDaemons(t *testing.T) {
	b := newFakeBackend()
	url := serve(t, b)
	row := make(language.Row, len(language.SubjectRunning.Columns()))
	row[0] = language.Text("d1-1")
	b.result = QueryResult{
		Answered:     []DaemonRows{{Daemon: "d1", Rows: []language.Row{row}}},
		Unresponsive: []UnresponsiveDaemon{{"d3", "no session"}, {"d2", "timed out"}},
	}
	r, body := post(t, url, "lucia-token", "", "show running")
	assert.Equal(t, r.Header.Get(HeaderIncomplete), "true")
	assert.Assert(t, strings.HasSuffix(body, "(1 row)\nNOT COMPLETE: d2 did not answer (timed out)\nNOT COMPLETE: d3 did not answer (no session)\n"), body)
	b.behind = []instance.ID{"d2"}
	r, body = post(t, url, "lucia-token", "", "create tier x rank 5")
	assert.Equal(t, r.Header.Get(HeaderIncomplete), "true")
	assert.Assert(t, strings.Contains(body, "NOT YET IN FORCE on d2"), body)
	r, body = post(t, url, "lucia-token", "", "create tier y rank 6; begin; drop tier y; commit nowait")
	assert.Assert(t, strings.Contains(body, "without waiting"), body)
	assert.Equal(t, r.Header.Get(HeaderIncomplete), "true")
}

func TestResolveRecordsTheOperator(t *testing.T) {
	b := newFakeBackend()
	url := serve(t, b)
	_, body := post(t, url, "lucia-token", "", "resolve booking order-confirmation 'order-7' as failed")
	assert.Equal(t, body, "booking order-confirmation 'order-7' is resolved as failed\n")
	assert.Equal(t, b.resolved[0].Author, "lucia")
	b.resolveErr = errors.Annotate(journal.ErrTooEarly, "key")
	r, body := post(t, url, "lucia-token", "", "resolve booking order-confirmation 'order-7' as done")
	assert.Equal(t, r.StatusCode, 422)
	assert.Assert(t, strings.Contains(body, "resolve the key later"), body)
	for cause, status := range map[error]int{journal.ErrLogUnavailable: 503, context.DeadlineExceeded: 504} {
		b.resolveErr = errors.Trace(cause)
		r, body = post(t, url, "lucia-token", "", "resolve booking order-confirmation 'order-7' as done")
		assert.Equal(t, r.StatusCode, status, body)
	}
}

func TestRequestsRequireOperatorToken(t *testing.T) {
	url := serve(t, newFakeBackend())
	for _, token := range []string{"", "demo-joyeria-sol", "lucia"} {
		r, body := post(t, url, token, "", "show tiers")
		assert.Equal(t, r.StatusCode, 401)
		assert.Assert(t, !strings.Contains(body, "lucia"), body)
	}
	guarded := RequireOperator(Options{Operators: []Operator{{Name: "ana", Hash: catalogue.HashToken("x")}}},
		http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }))
	for token, status := range map[string]int{"x": http.StatusTeapot, "y": http.StatusUnauthorized} {
		r := httptest.NewRequest(http.MethodGet, "/debug", nil)
		r.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		guarded.ServeHTTP(w, r)
		assert.Equal(t, w.Code, status)
	}
	o, err := ParseOperator("ana=" + catalogue.HashToken("x").String())
	assert.NilError(t, err)
	assert.Equal(t, o.Name, "ana")
	for _, bad := range []string{"ana", "ana=12", "=12", "a b=" + catalogue.HashToken("x").String()} {
		_, err := ParseOperator(bad)
		assert.Assert(t, err != nil, bad)
	}
}

func TestWatchRepeatsQuery(t *testing.T) {
	url := serve(t, newFakeBackend())
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("watch tiers every 200ms"))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer lucia-token")
	r.Header.Set("Accept", ContentJSON)
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for range 2 {
		assert.Assert(t, lines.Scan())
		assert.Equal(t, lines.Text(), `{"results":[{"rows":[]}],"incomplete":false}`)
	}
}
