package sse

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// However a stream is cut up, whole events come out and no byte is changed.
func TestSplitterPassesWholeEventsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		texts := rapid.SliceOfN(rapid.StringMatching(`[a-z ]{0,20}`), 1, 8).Draw(t, "texts")
		var stream strings.Builder
		for i, text := range texts {
			stream.WriteString("id: " + string(rune('a'+i)) + end + "data: " + text + end + end)
		}
		rest := rapid.StringMatching(`[a-z]{0,9}`).Draw(t, "rest")
		all := stream.String() + rest
		var s Splitter
		var got strings.Builder
		for left := all; left != ""; {
			n := rapid.IntRange(1, len(left)).Draw(t, "cut")
			got.Write(s.Add([]byte(left[:n])))
			left = left[n:]
		}
		assert.Equal(t, got.String(), stream.String())
		assert.Equal(t, s.Pending(), len(rest))
		assert.Equal(t, s.LastID(), string(rune('a'+len(texts)-1)))
	})
}
