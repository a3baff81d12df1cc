package membership

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var runDefects = flag.Bool("breakages", false, "build each deliberate fault and check that its test detects it")

// defect is a deliberate error in the source, with a seed of TestRandomRuns
// that detects it. With seed zero, TestOwnPause detects it.
type defect struct {
	name        string
	file        string
	original    string
	replacement string
	seed        uint64
}

// test returns the name of the test that detects the defect.
func (d defect) test() string {
	if d.seed == 0 {
		return "TestOwnPause"
	}
	return "TestRandomRuns"
}

var defects = []defect{
	{"older incarnations are applied", "table.go",
		"if incarnation < e.member.Incarnation || (incarnation == e.member.Incarnation && e.version > 0) {",
		"if incarnation == e.member.Incarnation && e.version > 0 {", 2},
	{"leaving can be reverted", "machine.go",
		"if member.State != Leaving && c.State < Dead {", "if c.State < Dead {", 9},
	{"a pause moves deadlines past the present", "machine.go",
		"s.asOf = earlierTime(s.asOf.Add(pause), m.now)", "s.asOf = s.asOf.Add(pause)", 0},
	{"a pause moves a neighbour's deadline past the present", "machine.go",
		"e.lastHeartbeat = earlierTime(e.lastHeartbeat.Add(pause), m.now)", "e.lastHeartbeat = e.lastHeartbeat.Add(pause)", 0},
	{"forwarded reports are forwarded again", "domain.go",
		"return d.reportedAlive(e, true)", "return d.reportedAlive(e, false)", 2},
	{"a lost report is never requested again", "domain.go",
		"if s.view.digest == r.GetDigest() || m.now", "if true || m.now", 2},
	{"dead neighbours are not probed", "round.go",
		"return m.round%probeIntervalRounds == 0 && ", "return m.nextRound.IsZero() && ", 1},
	{"unreachable failure domains are not probed", "relays.go",
		"targets = append(targets, ranked[(int(m.round)+i)%len(ranked)])", "_ = i", 2},
	{"reports of a failure domain never expire", "domain.go",
		"if m.now.Sub(s.asOf) > m.options.DeadAfter {", "if m.now.Sub(s.asOf) > 1000*m.options.DeadAfter {", 2},
	{"neighbour failures are not detected", "machine.go",
		"m.now.Sub(e.lastHeartbeat) > m.options.DeadAfter {", "false {", 1},
	{"outdated updates are applied", "table.go",
		"if u.GetVersion() <= e.version {", "if false {", 34},
	{"owners depend on the order of candidates", "../ownership/rendezvous.go",
		"	for _, c := range candidates {\n		r := ranking{string(c.ID), score", "	for _, c := range candidates[:min(2, len(candidates))] {\n		r := ranking{string(c.ID), score", 1},
}

// TestBreakagesAreCaught checks that each defect still applies to the source
// and, with -breakages, that its test fails on the changed source.
func TestBreakagesAreCaught(t *testing.T) {
	for _, d := range defects {
		t.Run(strings.ReplaceAll(d.name, " ", "-"), func(t *testing.T) {
			source, err := os.ReadFile(d.file)
			assert.NilError(t, err)
			assert.Equal(t, strings.Count(string(source), d.original), 1, "text to replace in %s", d.file)
			if *runDefects {
				d.checkCaught(t, strings.Replace(string(source), d.original, d.replacement, 1))
			}
		})
	}
}

// checkCaught checks that the test fails on the changed source.
func (d defect) checkCaught(t *testing.T, changed string) {
	dir := t.TempDir()
	replacement := filepath.Join(dir, "changed.go")
	assert.NilError(t, os.WriteFile(replacement, []byte(changed), 0o600))
	original, err := filepath.Abs(d.file)
	assert.NilError(t, err)
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{original: replacement}})
	assert.NilError(t, err)
	overlayFile := filepath.Join(dir, "overlay.json")
	assert.NilError(t, os.WriteFile(overlayFile, overlay, 0o600))

	out, err := exec.Command("go", "test", "-vet=off", "-overlay", overlayFile, "-run", d.test(), ".",
		"-first-seed", fmt.Sprint(d.seed), "-seeds", "1").CombinedOutput()
	assert.Assert(t, err != nil, "seed %d does not detect the fault", d.seed)
	assert.Assert(t, strings.Contains(string(out), "--- FAIL: "+d.test()+"/"), "%s", out)
	t.Logf("seed %d: %s", d.seed, failureReason(string(out)))
}

// failureReason returns the first failure message in the output of a test run.
func failureReason(out string) string {
	for _, line := range strings.Split(out, "\n") {
		if strings.Contains(line, "_test.go:") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}
