package demo

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/language/shell"
	"github.com/samphirewing/samphirewing/load"
	"github.com/samphirewing/samphirewing/transport/edge"
)

// show returns what a statement prints at the first daemon.
func show(s *System, statement string) string {
	var output bytes.Buffer
	shell.ExecuteContext(context.Background(), shell.Options{
		Addresses: []string{"http://" + s.Daemons[0].Addresses().Operator},
		Token:     OperatorToken,
		Out:       &output,
		Err:       &output,
	}, statement)
	return output.String()
}

// awaitShown polls a statement until its output holds the wanted text.
func awaitShown(t *testing.T, s *System, statement, wanted string) {
	t.Helper()
	for limit := time.Now().Add(readyTimeout); ; time.Sleep(readyPoll) {
		output := show(s, statement)
		if strings.Contains(output, wanted) {
			return
		}
		assert.Assert(t, time.Now().Before(limit), "%q does not show %q:\n%s", statement, wanted, output)
	}
}

func dispatches(s *System, engine int) int {
	total := 0
	for _, d := range s.Engines[engine].Dispatches() {
		total += d.Arrived
	}
	return total
}

// An endpoint that the platform's list marks as leaving, or that an operator
// drains, gets nothing new, and everything is served by the others.
func TestLeavingAndDrainedEndpointsGetNothingNew(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Gemelo)
	pool := s.deployment.engines.name
	leaving, drained := string(engineName(pool, 0)), string(engineName(pool, 1))
	s.List.Put(edge.Member{
		Kind: edge.MemberEndpoint, Name: leaving, Address: s.Engines[0].URL(),
		FailureDomain: instance.FailureDomain(s.deployment.domain(0)), Leaving: true,
	})
	assert.NilError(t, s.Execute(context.Background(), s.Daemons[0].Addresses().Operator, "drain endpoint "+drained))
	awaitShown(t, s, "show loads where leaving = yes", leaving)
	awaitShown(t, s, "show loads where drained = yes", drained)
	report := loadWhile(t, s, func() {})
	assertSafe(t, report)
	assert.Equal(t, count(report, load.OutcomeDone), report.Sent, "%+v %+v", report.Outcomes, report.Refusals)
	assert.Equal(t, dispatches(s, 0), 0)
	assert.Equal(t, dispatches(s, 1), 0)
	assert.Assert(t, dispatches(s, 2) > 0)
}
