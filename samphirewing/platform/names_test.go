package platform

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Names of the platform's protocol may occur in this package only. The
// stand-ins, which emulate the platform, are exempt.
func TestPlatformNamesOccurOnlyInThisPackage(t *testing.T) {
	// X-Deadline-Ms and PathPrefix are not checked: the product's own caller
	// API has a header, and gorilla/mux a method, of that name.
	names := []string{
		SettingsVariable, headerRequestID, headerTokenCounts, headerOutputHint, headerLastEvent, headerTenant,
		headerExpectInstance, headerNotExecuted, headerSignature, pathResolve, pathReady, pathLogAppend, pathLogRead, pathLogNewest,
		topicOperator, topicEndpoints, "X-Model", "X-Prefix-Hash", "X-Weight-Versions", "RouteType", "TargetLatencyMs",
		"GapTargetMs", "MaxAttempts", "KvCapacity", "UncachedTokens", "RatePerS", "NodeName", "RetryBudgetRatio", "EndOffset",
	}
	checked := 0
	for _, root := range []string{"..", "../../coordkit"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case d.IsDir() && (path == "../platform" || path == "../standin"):
				return filepath.SkipDir
			case !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
				return nil
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			checked++
			for _, name := range names {
				assert.Check(t, !strings.Contains(string(text), name), "%s names %s", path, name)
			}
			return nil
		})
		assert.NilError(t, err)
	}
	assert.Assert(t, checked > 100)
}
