package language

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/catalogues"
	"github.com/samphirewing/samphirewing/state/catalogue"
	"github.com/samphirewing/samphirewing/state/structs"
)

// testStore applies change sets at consecutive revisions, as daemons do.
type testStore struct {
	*configstore.Store
	revision configstore.Revision
}

func newTestStore() *testStore { return &testStore{Store: configstore.NewStore(catalogue.Rules{})} }

func (s *testStore) commit(t testing.TB, c configstore.ChangeSet) {
	t.Helper()
	s.revision++
	verdict, err := s.Apply(s.revision, time.Unix(1, 0), c)
	assert.NilError(t, err)
	assert.NilError(t, verdict.Err())
}

func plan(t testing.TB, s *testStore, text string) (configstore.ChangeSet, error) {
	t.Helper()
	statements, err := Parse(text)
	assert.NilError(t, err)
	return Plan(s.View(), "lucia", statements)
}

// apply plans a text, dry-runs the change set and commits it.
func apply(t testing.TB, s *testStore, text string) configstore.ChangeSet {
	t.Helper()
	c, err := plan(t, s, text)
	assert.NilError(t, err)
	assert.NilError(t, DryRun(s.View(), c))
	s.commit(t, c)
	return c
}

func newGemeloStore(t testing.TB) *testStore {
	t.Helper()
	s := newTestStore()
	apply(t, s, catalogues.Gemelo)
	return s
}

// show returns the first column of the rows that a show statement selects.
func show(t testing.TB, v configstore.View, text string) []string {
	t.Helper()
	statements, err := Parse(text)
	assert.NilError(t, err)
	table := ShowDeclared(v, statements[0].(Show).Query)
	var names []string
	for _, r := range table.Rows {
		assert.Equal(t, len(r), len(table.Columns))
		names = append(names, r[0].String())
	}
	return names
}

func TestShippedCataloguesApply(t *testing.T) {
	for _, text := range []string{catalogues.Gemelo, catalogues.Parapluie} {
		s := newTestStore()
		apply(t, s, text)
		c, err := catalogue.Decode(s.View())
		assert.NilError(t, err)
		assert.Equal(t, len(c.Tiers()), 3)
		assert.Equal(t, len(c.Models()), 2)
		assert.Equal(t, len(c.Services()), 2)
		restricted := 0
		c.Organisations(func(o catalogue.Organisation) bool {
			byToken, ok := c.OrganisationByToken("demo-" + string(o.Name))
			assert.Assert(t, ok && byToken.Name == o.Name)
			if !o.Allows(c.Tiers()[0].Name) {
				restricted++
			}
			return true
		})
		assert.Equal(t, restricted, 1)
	}
}

func TestHistoryAndErrorsHideTokens(t *testing.T) {
	s := newGemeloStore(t)
	c := apply(t, s, "create organisation nueva tiers batch TOKEN 'very''secret' weight 2")
	assert.Equal(t, c.Statement, "create organisation nueva tiers batch TOKEN '***' weight 2")
	for _, w := range c.Writes {
		assert.Assert(t, !strings.Contains(string(w.Value), "secret"))
	}
	_, err := Parse("create organisation o tiers a token 'secret' tokn 'secret'")
	var statementErr *Error
	assert.Assert(t, errors.As(err, &statementErr))
	assert.Assert(t, !strings.Contains(statementErr.Excerpt+statementErr.Error(), "secret"), statementErr.Excerpt)
}

func TestPlanRejectsObjectsOfNewerRelease(t *testing.T) {
	s := newGemeloStore(t)
	stored, _ := s.View().Get("pool/orders")
	newer := protowire.AppendTag(slices.Clone(stored.Value), 1000, protowire.VarintType)
	newer = protowire.AppendVarint(newer, 7)
	s.commit(t, configstore.ChangeSet{
		ID: "newer", RuleVersion: catalogue.RuleVersion,
		Writes: []configstore.Write{{Key: stored.Key, Value: newer}},
	})
	assert.DeepEqual(t, show(t, s.View(), "show pools where name = orders"), []string{"orders"})
	_, err := plan(t, s, "alter pool orders queue 7")
	assert.ErrorContains(t, err, "upgraded daemon")
}

func TestDryRunRejectsOversizedChangeSet(t *testing.T) {
	s := newTestStore()
	var text strings.Builder
	for i := range 400 {
		fmt.Fprintf(&text, "set x%d to '%s';", i, strings.Repeat("v", 1000))
	}
	c, err := plan(t, s, text.String())
	assert.NilError(t, err)
	assert.Assert(t, errors.Is(DryRun(s.View(), c), configstore.ErrTooLarge))
}

func TestHistoryTextIsBounded(t *testing.T) {
	text := strings.Repeat("set x to 'a longer value';", 1000)
	c := apply(t, newTestStore(), text)
	assert.Assert(t, len(c.Statement) < MaxHistoryBytes+100)
	assert.Assert(t, strings.HasPrefix(c.Statement, "set x to 'a longer value'; set x"))
	assert.Assert(t, strings.Contains(c.Statement, " more"))
}

func TestAlterPreservesOtherProperties(t *testing.T) {
	s := newGemeloStore(t)
	apply(t, s, "create endpoint e1 pool drafting address 'http://127.0.0.1:9' domain a class fast fencing yes serves engraver-small")
	apply(t, s, "alter endpoint e1 class slow")
	apply(t, s, "DRAIN e1")
	stored, ok := s.View().Get("endpoint/e1")
	assert.Assert(t, ok)
	o, err := catalogue.DecodeObject(stored.Key, stored.Value)
	assert.NilError(t, err)
	assert.DeepEqual(t, o, catalogue.Object(catalogue.Endpoint{
		Name: "e1", Pool: "drafting", Address: "http://127.0.0.1:9", FailureDomain: "a", SpeedClass: "slow",
		ChecksFencing: true, Drained: true, Targets: []structs.Target{"engraver-small"},
	}))
	apply(t, s, "undrain endpoint e1; alter endpoint e1 serves all")
	assert.DeepEqual(t, show(t, s.View(), "show endpoints where not drained = yes and serves = all"), []string{"e1"})
}

func TestPlanRequiresRevisionsOfView(t *testing.T) {
	s := newGemeloStore(t)
	first, err := plan(t, s, "alter pool orders queue 10")
	assert.NilError(t, err)
	assert.DeepEqual(t, first.Requires, []configstore.Precondition{{Key: "pool/orders", Revision: 1}})
	created, err := plan(t, s, "create tier night rank 7; alter tier night rank 8; create tier x rank 9; drop tier x")
	assert.NilError(t, err)
	assert.Equal(t, len(created.Writes), 1)
	assert.DeepEqual(t, created.Requires[0], configstore.Precondition{Key: "tier/night"})
	s.commit(t, first)
	_, err = plan(t, s, "alter pool orders queue 20 if revision 1")
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Found, configstore.Revision(2))
	assert.ErrorContains(t, err, "pool/orders has revision 2, changed by lucia")
}

func TestPlanAndDryRunRejectInvalidChanges(t *testing.T) {
	s := newGemeloStore(t)
	cases := map[string]string{
		"create tier counter rank 9":                 "tier/counter exists already",
		"alter tier night rank 9":                    "tier/night does not exist",
		"drop pool nowhere":                          "pool/nowhere does not exist",
		"drain endpoint e9":                          "endpoint/e9 does not exist",
		"alter tier night rank 9 if revision 4":      "tier/night does not exist",
		"begin; show tiers; commit":                  "changes no object",
		"create tier a rank 8; create tier a rank 9": "tier/a exists already",
	}
	for text, want := range cases {
		_, err := plan(t, s, text)
		assert.ErrorContains(t, err, want)
	}
	c, err := plan(t, s, "drop tier counter")
	assert.NilError(t, err)
	assert.ErrorContains(t, DryRun(s.View(), c), "organisation casa-anillos refers to it")
	c, err = plan(t, s, "drop pool orders; drop service order-confirmation; drop service stock-check")
	assert.NilError(t, err)
	assert.NilError(t, DryRun(s.View(), c))
}

func TestErrorsReportPositionAndRemedy(t *testing.T) {
	cases := []struct {
		text         string
		line, column int
		want         string
	}{
		{"creat tier x rank 1", 1, 1, "did you mean create?"},
		{"show tiers;\n  frobnicate x", 2, 3, "no statement begins with 'frobnicate'"},
		{"create pool p quue 5", 1, 15, "did you mean queue?"},
		{"create teir p rank 5", 1, 8, "did you mean tier?"},
		{"create tier p rank five", 1, 20, "not a whole number"},
		{"create tier p", 1, 13, "add `rank <number>`"},
		{"create tier p rank 1, 2", 1, 23, "rank takes one value"},
		{"create tier p rank 1 rank 2", 1, 22, "given twice"},
		{"create tier 'a b' rank 1", 1, 13, "choose another name"},
		{"create endpoint e address 'http://x", 1, 27, "has no end"},
		{"show waitng", 1, 6, "did you mean waiting?"},
		{"show waiting where teir = x", 1, 20, "did you mean tier?"},
		{"show waiting where age > long", 1, 26, "not a duration"},
		{"show tiers limit 0", 1, 18, "above 0"},
		{"show tiers where rank contains 1", 1, 18, "rank is not text"},
		{"explain weather 'x'", 1, 9, "request, refusal or placement"},
		{"resolve booking s 'k' as maybe", 1, 26, "done, failed or not_run"},
		{"watch tiers every 1ms", 1, 19, "200ms"},
		{"dry run show tiers", 1, 1, "changes nothing"},
		{"alter tier x rank 1 if revision old", 1, 33, "column revision"},
		{"alter tier x", 1, 12, "nothing is altered"},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			_, err := Parse(c.text)
			var statementErr *Error
			assert.Assert(t, errors.As(err, &statementErr), "%v", err)
			assert.ErrorContains(t, err, c.want)
			assert.Equal(t, statementErr.Position.Line, c.line)
			assert.Equal(t, statementErr.Position.Column, c.column)
			lines := strings.Split(statementErr.Excerpt, "\n")
			assert.Equal(t, len(lines[1]), c.column)
		})
	}
}

func TestParseRejectsInvalidUTF8(t *testing.T) {
	_, err := Parse("set x to '\xff'")
	assert.ErrorContains(t, err, "not valid UTF-8")
}

func TestShowFiltersSortsAndLimits(t *testing.T) {
	s := newGemeloStore(t)
	assert.DeepEqual(t, show(t, s.View(), "show tiers where rank >= 1 order by rank desc"), []string{"batch", "bench"})
	assert.DeepEqual(t, show(t, s.View(), "SHOW organisations WHERE tiers contains counter AND (weight > 2 OR name = relojeria-paz) ORDER BY weight DESC, name LIMIT 2"),
		[]string{"joyeria-sol", "orfebreria-norte"})
	assert.DeepEqual(t, show(t, s.View(), "show tiers where deadline < 1m"), []string{"counter"})
	assert.DeepEqual(t, show(t, s.View(), "show services where repeatable = no -- comment\n"), []string{"order-confirmation"})
}

func TestParseRemainingStatementKinds(t *testing.T) {
	statements, err := Parse("begin dry run; commit nowait; abort; resolve booking s 'it''s' as not_run; watch running where age > 1.5s every 500ms; explain refusal d1-2; help show; dry run drop model m if revision 3;")
	assert.NilError(t, err)
	assert.Assert(t, statements[0].(Begin).DryRun)
	assert.Assert(t, statements[1].(Commit).NoWait)
	assert.Equal(t, statements[3].(Resolve).Key, "it's")
	assert.Equal(t, statements[3].(Resolve).Outcome, structs.OutcomeNotRun)
	assert.Equal(t, statements[4].(Watch).Every, 500*time.Millisecond)
	assert.Equal(t, statements[5].(Explain).Query.Request, "d1-2")
	assert.Equal(t, statements[6].(Help).Topic, "show")
	drop := statements[7].(Drop)
	assert.Equal(t, drop.Target(), configstore.Key("serving/m"))
	assert.Assert(t, drop.IsDryRun())
}

func TestHelpExamplesParse(t *testing.T) {
	for _, topic := range Topics() {
		_, err := Parse(topic.Example)
		assert.NilError(t, err, topic.Name)
		assert.Assert(t, strings.Contains(HelpText(topic.Name), topic.Example))
	}
	for _, s := range Subjects() {
		assert.Assert(t, strings.Contains(HelpText(string(s)), s.Columns()[0].Name))
	}
	for _, k := range kindNames() {
		assert.Assert(t, strings.Contains(HelpText(k), "Properties of a "+k))
	}
	assert.Assert(t, strings.Contains(HelpText("shwo"), "did you mean show?"))
}

func TestTableJSON(t *testing.T) {
	table := Table{
		Columns: []Column{{"name", KindText}, {"n", KindInteger}, {"ok", KindBool}, {"age", KindDuration}, {"none", KindTime}},
		Rows:    []Row{{Text("a\"b"), Integer(7), Bool(true), Duration(1500 * time.Millisecond), Time(time.Time{})}},
	}
	data, err := json.Marshal(table)
	assert.NilError(t, err)
	assert.Equal(t, string(data), `[{"name":"a\"b","n":7,"ok":true,"age":"1.5s","none":null}]`)
}

func FuzzParse(f *testing.F) {
	f.Add(catalogues.Gemelo)
	for _, topic := range Topics() {
		f.Add(topic.Example)
	}
	f.Add("create organisation o tiers a token 'x''y' if revision 0;;;show tiers where (not a = 'b')")
	f.Fuzz(func(t *testing.T, text string) {
		statements, err := Parse(text)
		if err != nil {
			var statementErr *Error
			assert.Assert(t, errors.As(err, &statementErr))
			assert.Assert(t, statementErr.Remedy != "")
			return
		}
		for _, s := range statements {
			_, err := Parse(s.Source())
			assert.NilError(t, err, "source %q", s.Source())
		}
	})
}

func TestQueryAndRowsRoundTrip(t *testing.T) {
	statements, err := Parse("watch refused where tier = counter order by at desc limit 2 every 1s")
	assert.NilError(t, err)
	data, err := EncodeQuery(statements[0].(Watch).Query)
	assert.NilError(t, err)
	q, err := DecodeQuery(data)
	assert.NilError(t, err)
	var rows []Row
	for i, tier := range []string{"counter", "bench", "counter", "counter"} {
		row := make(Row, len(q.Subject.Columns()))
		row[0], row[1], row[3] = Integer(i), Time(time.Unix(int64(i), 0)), Text(tier)
		rows = append(rows, row)
	}
	data, err = EncodeRows(q.Select(rows))
	assert.NilError(t, err)
	decoded, err := DecodeRows(q.Subject, data)
	assert.NilError(t, err)
	assert.Equal(t, len(decoded), 2)
	assert.Equal(t, decoded[0][0].Compare(decoded[1][0]), 1)
	assert.Equal(t, decoded[0][1].String(), "1970-01-01T00:00:03Z")
	_, err = DecodeQuery([]byte("\x0a\x04moon"))
	assert.Assert(t, errors.Is(err, ErrIncompatibleQuery))
}
