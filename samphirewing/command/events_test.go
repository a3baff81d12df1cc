package command

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/events"
)

// eventRow matches a row of the event catalogue: number, name and level.
var eventRow = regexp.MustCompile(`(?m)^\| (\d+) \| ([a-z0-9-]+) \| ([a-z]+) \|`)

// Package command imports every package that registers events, so events.All is
// complete here.
func TestEventCatalogueMatchesRegisteredEvents(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	assert.NilError(t, err)
	var documented []string
	for _, row := range eventRow.FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, row[1]+" "+row[2]+" "+row[3])
	}
	var registered []string
	for _, e := range events.All() {
		registered = append(registered, fmt.Sprintf("%d %s %s", e.Number, e.Name, e.Level))
	}
	assert.Assert(t, len(registered) > 0)
	assert.DeepEqual(t, documented, registered)
}
