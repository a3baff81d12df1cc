package command

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/events"
)

// eventRow matches a row of the catalogue: number, name and level.
var eventRow = regexp.MustCompile(`(?m)^\| (\d+) \| ([a-z0-9-]+) \| ([a-z]+) \|`)

// The commands import every package that logs events.
func TestEventsAndTheirCatalogueAgree(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	assert.NilError(t, err)
	var listed []string
	for _, row := range eventRow.FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, row[1]+" "+row[2]+" "+row[3])
	}
	var logged []string
	for _, e := range events.All() {
		logged = append(logged, fmt.Sprintf("%d %s %s", e.Number, e.Name, e.Level))
	}
	assert.Assert(t, len(logged) > 0)
	assert.DeepEqual(t, listed, logged)
}
