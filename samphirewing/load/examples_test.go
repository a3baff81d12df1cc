package load_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/load"
)

func TestExampleFilesParseAndKeysAreUnique(t *testing.T) {
	for _, file := range []string{"../../examples/gemelo.jsonl", "../../examples/parapluie.jsonl"} {
		requests, err := load.ReadFile(file)
		assert.NilError(t, err)
		assert.Assert(t, len(requests) >= 200)
		keys := make(map[string]bool)
		for _, r := range requests {
			assert.Assert(t, r.Key == "" || !keys[r.Key], "duplicate key %s", r.Key)
			keys[r.Key] = true
		}
	}
}
