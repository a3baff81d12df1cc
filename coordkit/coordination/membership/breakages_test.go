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

var runBreakages = flag.Bool("breakages", false, "build each deliberate breakage and check that its seed catches it")

// breakage is a fault put into the program on purpose, with a seed of
// TestRandomRuns that finds it. Seed zero stands for TestOwnPause.
type breakage struct {
	name string
	file string
	old  string
	new  string
	seed uint64
}

// test is the name of the test that finds the breakage.
func (b breakage) test() string {
	if b.seed == 0 {
		return "TestOwnPause"
	}
	return "TestRandomRuns"
}

var breakages = []breakage{
	{"older incarnations are taken over", "table.go",
		"if incarnation < e.member.Incarnation || (incarnation == e.member.Incarnation && e.version > 0) {",
		"if incarnation == e.member.Incarnation && e.version > 0 {", 2},
	{"leaving can be taken back", "machine.go",
		"if member.State != Leaving && c.State < Dead {", "if c.State < Dead {", 9},
	{"a pause moves deadlines past the present", "machine.go",
		"s.asOf = earlier(s.asOf.Add(pause), m.now)", "s.asOf = s.asOf.Add(pause)", 0},
	{"a pause moves a neighbour's deadline past the present", "machine.go",
		"e.lastHeard = earlier(e.lastHeard.Add(pause), m.now)", "e.lastHeard = e.lastHeard.Add(pause)", 0},
	{"passed-on news is passed on again", "domain.go",
		"return d.reportedAlive(e, true)", "return d.reportedAlive(e, false)", 2},
	{"a lost report is never asked for again", "domain.go",
		"if s.view.digest == r.GetDigest() || m.now", "if true || m.now", 2},
	{"instances that fell silent are not looked for", "round.go",
		"return m.round%probeRounds == 0 && ", "return m.nextRound.IsZero() && ", 1},
	{"silent failure domains are not looked for", "relays.go",
		"targets = append(targets, ranked[(int(m.round)+i)%len(ranked)])", "_ = i", 2},
	{"old news of a failure domain never expires", "domain.go",
		"if m.now.Sub(s.asOf) > m.options.DeadAfter {", "if m.now.Sub(s.asOf) > 1000*m.options.DeadAfter {", 2},
	{"a neighbour's silence goes unnoticed", "machine.go",
		"m.now.Sub(e.lastHeard) > m.options.DeadAfter {", "false {", 1},
	{"updates replace newer ones", "table.go",
		"if u.GetVersion() <= e.version {", "if false {", 34},
	{"owners depend on the order of candidates", "../ownership/rendezvous.go",
		"	for _, c := range members {\n		r := ranking{string(c.ID), score", "	for _, c := range members[:min(2, len(members))] {\n		r := ranking{string(c.ID), score", 1},
}

// TestBreakagesAreCaught checks that each breakage still fits the source and,
// with -breakages, that its seed fails on it.
func TestBreakagesAreCaught(t *testing.T) {
	for _, b := range breakages {
		t.Run(strings.ReplaceAll(b.name, " ", "-"), func(t *testing.T) {
			source, err := os.ReadFile(b.file)
			assert.NilError(t, err)
			assert.Equal(t, strings.Count(string(source), b.old), 1, "text to replace in %s", b.file)
			if *runBreakages {
				b.mustFail(t, strings.Replace(string(source), b.old, b.new, 1))
			}
		})
	}
}

// mustFail runs the seed against the changed source.
func (b breakage) mustFail(t *testing.T, changed string) {
	dir := t.TempDir()
	replacement := filepath.Join(dir, "changed.go")
	assert.NilError(t, os.WriteFile(replacement, []byte(changed), 0o600))
	original, err := filepath.Abs(b.file)
	assert.NilError(t, err)
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{original: replacement}})
	assert.NilError(t, err)
	overlayFile := filepath.Join(dir, "overlay.json")
	assert.NilError(t, os.WriteFile(overlayFile, overlay, 0o600))

	out, err := exec.Command("go", "test", "-vet=off", "-overlay", overlayFile, "-run", b.test(), ".",
		"-first-seed", fmt.Sprint(b.seed), "-seeds", "1").CombinedOutput()
	assert.Assert(t, err != nil, "seed %d does not catch it", b.seed)
	assert.Assert(t, strings.Contains(string(out), "--- FAIL: "+b.test()+"/"), "%s", out)
	t.Logf("seed %d: %s", b.seed, reason(string(out)))
}

// reason is the first line of a failed run that says what was wrong.
func reason(out string) string {
	for _, line := range strings.Split(out, "\n") {
		if strings.Contains(line, "_test.go:") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}
