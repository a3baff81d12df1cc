package structs

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPromptPartIsParsedFromHexadecimalText(t *testing.T) {
	part, err := ParsePromptPart("5C1E07a2")
	assert.NilError(t, err)
	assert.Equal(t, part, PromptPart(0x5c1e07a2))
	assert.Equal(t, part.String(), "5c1e07a2")

	long, err := ParsePromptPart(strings.Repeat("ab", 20))
	assert.NilError(t, err)
	assert.Assert(t, long != part)

	for _, id := range []string{"", "xyz", strings.Repeat("a", maxPartIDBytes+1)} {
		_, err := ParsePromptPart(id)
		assert.ErrorContains(t, err, "not valid", "ID %q", id)
	}
}
