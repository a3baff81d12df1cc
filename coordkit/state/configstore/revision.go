package configstore

import "fmt"

// offsetBits is the number of low bits of a Revision that hold the log offset;
// the bits above hold the generation.
const offsetBits = 40

// Generation counts how often the stream was lost and reopened. Offsets restart
// in a new generation; revisions continue to increase.
type Generation int64

// MakeRevision returns the revision of the record at an offset of a generation.
// In generation 0 it equals the offset.
func MakeRevision(g Generation, offset int64) Revision {
	return Revision(int64(g)<<offsetBits | offset)
}

// Generation returns the generation of the revision.
func (r Revision) Generation() Generation { return Generation(r >> offsetBits) }

// Offset returns the log offset within the generation.
func (r Revision) Offset() int64 { return int64(r) & (1<<offsetBits - 1) }

// String returns "offset", or "generation:offset" after generation 0.
func (r Revision) String() string {
	if r.Generation() == 0 {
		return fmt.Sprintf("%d", r.Offset())
	}
	return fmt.Sprintf("%d:%d", r.Generation(), r.Offset())
}
