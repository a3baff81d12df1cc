package sse

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestSplitterReturnsCompleteEventsUnchanged checks that the splitter returns
// exactly the complete events, however the stream is divided into reads.
func TestSplitterReturnsCompleteEventsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		texts := rapid.SliceOfN(rapid.StringMatching(`[a-z ]{0,20}`), 1, 8).Draw(t, "texts")
		var events strings.Builder
		for i, text := range texts {
			events.WriteString("id: " + string(rune('a'+i)) + lineEnd + "data: " + text + lineEnd + lineEnd)
		}
		incomplete := rapid.StringMatching(`[a-z]{0,9}`).Draw(t, "incomplete event")
		input := events.String() + incomplete
		var splitter Splitter
		var sequence Sequence
		var got strings.Builder
		for remaining := input; remaining != ""; {
			n := rapid.IntRange(1, len(remaining)).Draw(t, "cut")
			complete, err := sequence.Add(splitter.Add([]byte(remaining[:n])))
			assert.NilError(t, err)
			got.Write(complete)
			remaining = remaining[n:]
		}
		assert.Equal(t, got.String(), events.String())
		assert.Equal(t, splitter.Pending(), len(incomplete))
		assert.Equal(t, sequence.LastID(), string(rune('a'+len(texts)-1)))
	})
}
