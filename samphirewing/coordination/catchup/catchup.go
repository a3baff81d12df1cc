// Package catchup decides when a daemon that receives a topic through other daemons
// reads it from the store itself.
//
// The load that it handles: records too large to be relayed, such as a configuration
// of 230 KB, are written faster than a slow link delivers them, so that offsets are
// announced while a read is under way. Such a read proves nothing about them. The
// daemon counts as behind until it has received every announced offset, or a read
// that began after the announcement has shown that the topic ends before it.
package catchup

import (
	"slices"
	"time"
)

const (
	// Tolerance is how long announced records may be missing before they are read
	// directly. Relayed records arrive within this time.
	Tolerance = 250 * time.Millisecond
	// maxAnnouncements bounds the announcements that are kept apart.
	maxAnnouncements = 64
)

// Progress is how much of a topic a daemon has received, compared with what other
// daemons have announced. The zero value has received nothing.
type Progress struct {
	// next is the offset after the last record received.
	next int64
	// announced is the highest offset before which records are known to exist.
	announced int64
	// refuted is the highest announced offset that the store did not confirm.
	refuted int64
	// missing holds the announcements of records that have not been received, by
	// ascending offset.
	missing []announcement
	// currentAt is when this daemon last had all records.
	currentAt time.Time
}

// announcement is the news that a topic extends to end. It was learnt at knownAt, and
// there were no further records at readAt.
type announcement struct {
	end             int64
	knownAt, readAt time.Time
}

// Read identifies what was announced when a read of the store began.
type Read struct{ announced int64 }

// Next returns the offset after the last record received.
func (p *Progress) Next() int64 { return p.next }

// Announce records that other daemons know of records before an offset, and that
// these were all records at readAt. A zero readAt says nothing of that.
func (p *Progress) Announce(now time.Time, end int64, readAt time.Time) {
	risen := end > p.announced
	p.announced = max(p.announced, end)
	last := len(p.missing) - 1
	switch {
	case p.announced <= p.received():
		p.currentAt = later(p.currentAt, readAt)
	case last < 0 || risen && last+1 < maxAnnouncements:
		p.missing = append(p.missing, announcement{end: p.announced, knownAt: now, readAt: readAt})
	default:
		p.missing[last].end, p.missing[last].readAt = p.announced, later(p.missing[last].readAt, readAt)
	}
}

// Receive records that all records before an offset have been received.
func (p *Progress) Receive(next int64) {
	p.next = next
	done := 0
	for done < len(p.missing) && p.missing[done].end <= p.received() {
		p.currentAt = later(p.currentAt, p.missing[done].readAt)
		done++
	}
	p.missing = slices.Delete(p.missing, 0, done)
}

// received returns the offset before which no records are missing.
func (p *Progress) received() int64 { return max(p.next, p.refuted) }

// List records a listing that ends at an offset and was read at readAt. A listing may
// be older than that, so it refutes nothing, and counts as current only if it has all
// that was announced.
func (p *Progress) List(end int64, readAt time.Time) {
	p.Receive(end)
	if !p.Missing() {
		p.currentAt = later(p.currentAt, readAt)
	}
}

// BeginRead must be called before the read is sent to the store.
func (p *Progress) BeginRead() Read { return Read{announced: p.announced} }

// EndRead records the answer to a read: all records before next have been received,
// and the topic ended at end at readAt. An answer that was cut by its size limit
// leaves records out.
func (p *Progress) EndRead(now time.Time, r Read, next, end int64, readAt time.Time) {
	if next >= end {
		p.refuted = max(p.refuted, r.announced)
		p.currentAt = later(p.currentAt, readAt)
	}
	p.Receive(next)
	p.Announce(now, end, time.Time{})
}

// CurrentAt returns the latest known time until which this daemon has received all
// records.
func (p *Progress) CurrentAt() time.Time { return p.currentAt }

// Missing reports whether announced records have not been received.
func (p *Progress) Missing() bool { return len(p.missing) > 0 }

// Behind returns how long ago the oldest missing records were announced.
func (p *Progress) Behind(now time.Time) time.Duration {
	if !p.Missing() {
		return 0
	}
	return now.Sub(p.missing[0].knownAt)
}

// MustRead reports whether the records are to be read from the store, since they
// were not relayed in time.
func (p *Progress) MustRead(now time.Time) bool {
	return p.Missing() && p.Behind(now) >= Tolerance
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
