package experiment

import (
	"bytes"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func run(t *testing.T, o Options) Report {
	t.Helper()
	r, err := Run(o)
	assert.NilError(t, err)
	return r
}

func TestSameSeedProducesIdenticalReport(t *testing.T) {
	o := Options{Deployment: Parapluie, Scenarios: []string{"domain-lost"}, Seed: 3}
	var first, second, table bytes.Buffer
	assert.NilError(t, run(t, o).WriteJSON(&first))
	o.Workers = 3
	assert.NilError(t, run(t, o).WriteJSON(&second))
	assert.Equal(t, first.String(), second.String())
	assert.NilError(t, run(t, o).WriteTable(&table))
	assert.Assert(t, bytes.Contains(table.Bytes(), []byte(PolicyLeastOutstanding)))
}

func TestRunRejectsUnknownNames(t *testing.T) {
	_, err := Run(Options{Deployment: "nowhere"})
	assert.ErrorIs(t, err, ErrUnknownDeployment)
	_, err = Run(Options{Deployment: Gemelo, Scenarios: []string{"x"}})
	assert.ErrorIs(t, err, ErrUnknownScenario)
	_, err = Run(Options{Deployment: Gemelo, Policies: []string{"x"}})
	assert.ErrorIs(t, err, ErrUnknownPolicy)
}

func TestWritePlotsCreatesOneFilePerPlot(t *testing.T) {
	r := Report{Deployment: Gemelo, Rows: []Row{
		{Scenario: "load-0.6", Load: 0.6, Policy: PolicyOwner, GoodShare: [Tiers]float64{1, 1, 1}},
		{Scenario: "load-1.2", Load: 1.2, Policy: PolicyOwner, GoodShare: [Tiers]float64{1, 0.9, 0.4}},
	}}
	dir := t.TempDir()
	assert.NilError(t, r.WritePlots(dir))
	files, err := filepath.Glob(filepath.Join(dir, "*.png"))
	assert.NilError(t, err)
	assert.Equal(t, len(files), Tiers+1)
}
