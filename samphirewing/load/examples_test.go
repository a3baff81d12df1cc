package load_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/load"
)

func TestExamplesAreReadableAndTheirKeysUnique(t *testing.T) {
	for _, file := range []string{"../../examples/gemelo.jsonl", "../../examples/parapluie.jsonl"} {
		requests, err := load.ReadFile(file)
		assert.NilError(t, err)
		assert.Assert(t, len(requests) >= 200)
		keys := make(map[string]bool)
		for _, r := range requests {
			assert.Assert(t, r.Key == "" || !keys[r.Key], "key %s stands twice", r.Key)
			keys[r.Key] = true
		}
	}
}
