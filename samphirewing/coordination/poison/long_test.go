package poison

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

// maxParts is the number of parts that the longest accepted header holds: 16,384
// bytes in entries of four.
const maxParts = 4096

// longPrompt returns a prompt of sound parts of its own, with the deadly part at
// an index.
func longPrompt(number, length, index int) parts {
	p := make(parts, length)
	for i := range p {
		p[i] = structs.PromptPart(1<<40 + number<<20 + i)
	}
	p[index] = deadly
	return p
}

// Guards against a deadly part that is never blocked because of its place in a
// long prompt.
func TestPartOfLongPromptIsBlocked(t *testing.T) {
	for _, c := range []struct{ length, index int }{{20, 17}, {65, 64}, {1000, 0}, {1000, 500}, {maxParts, maxParts - 1}} {
		f := newFixture()
		for i := range crashesToBlock {
			f.pass(time.Second)
			f.crash(300*time.Millisecond, longPrompt(i, c.length, c.index)...)
		}
		assert.Assert(t, f.blocks(longPrompt(99, c.length, c.index)...), "part %d of %d", c.index, c.length)
		other := longPrompt(0, c.length, c.index)
		other[c.index] = 0
		assert.Assert(t, !f.blocks(other...), "a prompt with the others of %d parts", c.length)
	}
}

// Guards against the deadly part being left out because the crash has many other
// suspects: requests that had begun at the same endpoint.
func TestPartIsBlockedAmongManySuspects(t *testing.T) {
	f := newFixture()
	for i := range crashesToBlock {
		f.pass(time.Second)
		f.endpoint++
		for j := range 16 {
			f.crashOf(f.endpoint, 300*time.Millisecond, longPrompt(100*i+j, 1000, j)[j+1:]...)
		}
		f.crashOf(f.endpoint, 300*time.Millisecond, longPrompt(100*i+50, 1000, 999)...)
	}
	assert.Assert(t, f.blocks(deadly))
}

// Guards against one block for each part, with all others as its companions, where
// the same long prompt crashes endpoint after endpoint.
func TestRepeatedLongPromptIsOneBlock(t *testing.T) {
	f := newFixture()
	prompt := longPrompt(0, maxParts, 7)
	f.crashInSuccession(prompt...)
	assert.Equal(t, len(f.Table.blocks), 1)
	assert.Assert(t, f.blocks(prompt...))
	assert.Assert(t, !f.blocks(prompt[8:]...), "any other request may be sound")
	f.pass(time.Second)
	f.crash(300*time.Millisecond, longPrompt(1, maxParts, 7)...)
	f.pass(settleTime)
	assert.Assert(t, f.blocks(deadly), "a crash of another prompt with the part tells which it is")
	assert.Assert(t, !f.blocks(prompt[8:]...))
}

// Guards against evidence that grows beyond what daemons can exchange several
// times a second, and against evidence that is split and never complete.
func TestEvidenceOfLongPromptsIsSplit(t *testing.T) {
	const maxMessageBytes, messagesWithin = 16 << 10, 30
	from, to := newFixture(), newFixture()
	for i := range crashesToBlock {
		from.pass(time.Second)
		from.crash(300*time.Millisecond, longPrompt(i, maxParts, 500*i)...)
	}
	to.now = from.now
	for sent := 0; !to.blocks(deadly); sent++ {
		assert.Assert(t, sent < messagesWithin, "not blocked after %d messages", sent)
		m := from.Outgoing(from.now)
		assert.Assert(t, m != nil && proto.Size(m) <= maxMessageBytes, "%d bytes", proto.Size(m))
		to.Merge(to.now, m)
		from.pass(50 * time.Millisecond)
		to.now = from.now
	}
	for range 100 {
		from.pass(50 * time.Millisecond)
		if m := from.Outgoing(from.now); m != nil {
			assert.Assert(t, proto.Size(m) <= maxMessageBytes, "%d bytes", proto.Size(m))
			to.Merge(from.now, m)
		}
	}
	assert.Equal(t, to.suspects, from.suspects)
}

func benchmarkTable(b *testing.B, length int) (*fixture, parts) {
	f := newFixture()
	for i := range crashesToBlock {
		f.pass(time.Second)
		f.crash(300*time.Millisecond, longPrompt(i, length, length/2)...)
	}
	b.ResetTimer()
	return f, longPrompt(99, length, length-1)[:length-1]
}

func forLengths(b *testing.B, run func(b *testing.B, length int)) {
	for name, length := range map[string]int{"parts-16": 16, "parts-1000": 1000, "parts-4096": maxParts} {
		b.Run(name, func(b *testing.B) { run(b, length) })
	}
}

func BenchmarkBlocked(b *testing.B) {
	forLengths(b, func(b *testing.B, length int) {
		f, prompt := benchmarkTable(b, length)
		for b.Loop() {
			f.Blocked(f.now, prompt)
		}
	})
}

func BenchmarkRecordAnswer(b *testing.B) {
	forLengths(b, func(b *testing.B, length int) {
		f, prompt := benchmarkTable(b, length)
		for b.Loop() {
			f.now = f.now.Add(time.Millisecond)
			f.RecordAnswer(f.now, prompt)
		}
	})
}

func BenchmarkRecordCrash(b *testing.B) {
	forLengths(b, func(b *testing.B, length int) {
		f, prompt := benchmarkTable(b, length)
		for b.Loop() {
			f.pass(time.Second)
			f.crash(300*time.Millisecond, prompt...)
		}
	})
}
