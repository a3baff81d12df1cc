package operatorapi

import (
	"context"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/language"
	"github.com/samphirewing/samphirewing/state/structs"
)

const languagePage = "../../../docs/LANGUAGE.md"

var updatePage = flag.Bool("update-language-page", false, "rewrite the answers in docs/LANGUAGE.md")

// pageBackend answers the page's queries of daemons.
type pageBackend struct{ *fakeBackend }

func (b pageBackend) Query(ctx context.Context, q language.Query) (QueryResult, error) {
	switch q.Subject {
	case language.SubjectRunning:
		return QueryResult{Answered: []DaemonRows{
			{Daemon: "d1", Rows: []language.Row{runningRow("d1-42", 900*time.Millisecond, 31)}},
			{Daemon: "d2", Rows: []language.Row{runningRow("d2-17", 2300*time.Millisecond, 118), runningRow("d2-18", 120*time.Millisecond, 2)}},
		}}, nil
	case language.SubjectWaiting:
		return QueryResult{
			Answered:     []DaemonRows{{Daemon: "d1", Rows: []language.Row{waitingRow()}}},
			Unresponsive: []UnresponsiveDaemon{{Daemon: "d3", Reason: "no session"}},
		}, nil
	case language.SubjectRefused:
		return QueryResult{Answered: []DaemonRows{{Daemon: "d1", Rows: []language.Row{refusedRow()}}}}, nil
	case language.SubjectBookings:
		return QueryResult{Answered: []DaemonRows{{Daemon: "d2", Rows: []language.Row{bookingRow()}}}}, nil
	case language.SubjectDecisions:
		return QueryResult{Answered: []DaemonRows{{Daemon: "d2", Rows: language.DecisionRows(decision())}}}, nil
	default:
		return b.fakeBackend.Query(ctx, q)
	}
}

func runningRow(id string, age time.Duration, output int) language.Row {
	return language.Row{
		language.Text(id), language.Text("joyeria-sol"), language.Text("counter"), language.Text("engraver-large"), language.Text("drafting"),
		language.Text("runner-1"), language.Text(id[:2]), language.Duration(age), language.Duration(20*time.Second - age), language.Integer(output),
	}
}

func waitingRow() language.Row {
	return language.Row{
		language.Text("d1-43"), language.Text("joyeria-sol"), language.Text("counter"), language.Text("engraver-large"), language.Text("drafting"),
		language.Text("d1"), language.Duration(80 * time.Millisecond), language.Duration(19 * time.Second), language.Integer(840),
	}
}

func refusedRow() language.Row {
	reason := structs.ReasonQueueFull
	return language.Row{
		language.Text("d1-40"), language.Time(time.Unix(1767225600, 0)), language.Text("taller-banco"), language.Text("batch"), language.Text("engraver-large"),
		language.Text(structs.OutcomeNotRun.String()), language.Text(reason), language.Text(reason.Remedy()), language.Text("d1"),
	}
}

func bookingRow() language.Row {
	return language.Row{
		language.Text("order-confirmation"), language.Text("joyeria-sol/order-7"), language.Text(structs.OutcomeUnknown.String()), language.Text("d1"),
		language.Time(time.Unix(1767225600, 0)), language.Duration(4 * time.Minute),
	}
}

func decision() scheduling.Decision {
	return scheduling.Decision{
		At: time.Unix(1767225600, 0), Kind: scheduling.DecisionPlaced, Chosen: "runner-1",
		Candidates: []scheduling.Candidate{
			{Endpoint: "runner-1", EstimatedCompletion: 1800 * time.Millisecond, Scores: []scheduling.Score{{Scorer: "prefill", Value: 300 * time.Millisecond}, {Scorer: "decode", Value: 1500 * time.Millisecond}}},
			{Endpoint: "runner-2", RemovedBy: "window_full"},
		},
	}
}

// TestLanguagePage replays docs/LANGUAGE.md: each block of statements must give
// the block of text that follows it.
func TestLanguagePage(t *testing.T) {
	data, err := os.ReadFile(languagePage)
	assert.NilError(t, err)
	url := serve(t, pageBackend{newFakeBackend()})
	parts := strings.Split(string(data), "```")
	replayed := 0
	for i := 1; i+2 < len(parts); i += 4 {
		statements, ok := strings.CutPrefix(parts[i], "swq\n")
		assert.Assert(t, ok && strings.HasPrefix(parts[i+2], "text\n"), parts[i])
		_, answer := post(t, url, "lucia-token", "", statements)
		if *updatePage {
			parts[i+2] = "text\n" + answer
			continue
		}
		assert.Equal(t, "text\n"+answer, parts[i+2], statements)
		replayed++
	}
	if *updatePage {
		assert.NilError(t, os.WriteFile(languagePage, []byte(strings.Join(parts, "```")), 0o600))
		return
	}
	assert.Assert(t, replayed > 15, "only %d blocks replayed", replayed)
}

func TestLanguagePageNamesEachStatement(t *testing.T) {
	data, err := os.ReadFile(languagePage)
	assert.NilError(t, err)
	page := strings.ToLower(string(data))
	for _, topic := range language.Topics() {
		assert.Assert(t, strings.Contains(page, topic.Name), topic.Name)
	}
	for _, s := range language.Subjects() {
		assert.Assert(t, strings.Contains(page, "`"+string(s)+"`"), string(s))
	}
}
