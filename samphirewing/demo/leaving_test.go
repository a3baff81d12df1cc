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

// executeStatement runs a statement at the first daemon and returns its output.
func executeStatement(s *System, statement string) string {
	var output bytes.Buffer
	shell.ExecuteContext(context.Background(), shell.Options{
		Addresses: []string{"http://" + s.Daemons[0].Addresses().Operator},
		Token:     OperatorToken,
		Out:       &output,
		Err:       &output,
	}, statement)
	return output.String()
}

// awaitOutput repeats a statement until its output contains the wanted text.
func awaitOutput(t *testing.T, s *System, statement, wanted string) {
	t.Helper()
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(readyPoll) {
		output := executeStatement(s, statement)
		if strings.Contains(output, wanted) {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "%q does not show %q:\n%s", statement, wanted, output)
	}
}

// dispatchCount returns how many dispatches have arrived at an engine.
func dispatchCount(s *System, engine int) int {
	total := 0
	for _, d := range s.Engines[engine].Dispatches() {
		total += d.Arrived
	}
	return total
}

// Endpoints that the membership list marks as leaving or that an operator has
// drained get no new requests; the other endpoints serve all of them.
func TestLeavingAndDrainedEndpointsGetNoNewRequests(t *testing.T) {
	t.Parallel()
	s := startSystem(t, Gemelo)
	pool := s.deployment.engines.name
	leaving, drained := string(endpointName(pool, 0)), string(endpointName(pool, 1))
	s.List.Put(edge.Member{
		Kind: edge.MemberEndpoint, Name: leaving, Address: s.Engines[0].URL(),
		FailureDomain: instance.FailureDomain(s.deployment.domain(0)), Leaving: true,
	})
	assert.NilError(t, s.Execute(context.Background(), s.Daemons[0].Addresses().Operator, "drain endpoint "+drained))
	awaitOutput(t, s, "show loads where leaving = yes", leaving)
	awaitOutput(t, s, "show loads where drained = yes", drained)
	report := runLoadWithFault(t, s, func() {})
	assertSafetyInvariants(t, report)
	assert.Equal(t, outcomeCount(report, load.OutcomeDone), report.Sent, "%+v %+v", report.Outcomes, report.Refusals)
	assert.Equal(t, dispatchCount(s, 0), 0)
	assert.Equal(t, dispatchCount(s, 1), 0)
	assert.Assert(t, dispatchCount(s, 2) > 0)
}
