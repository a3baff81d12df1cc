package journal

import (
	"context"
	"time"
)

// ShowPartition returns the matching keys of one partition from its writer.
func (j *Journal) ShowPartition(ctx context.Context, partition int, f Filter) ([]Row, error) {
	if f.Limit == 0 {
		f.Limit = defaultShowLimit
	}
	return j.showPartition(ctx, partition, f)
}

// MinIssueTime returns the time that a new key's issue time must exceed in every
// partition owned by this process. It returns false while the writer of an owned
// partition has not applied a record of its stream.
func (j *Journal) MinIssueTime(ctx context.Context) (time.Time, bool) {
	var latest time.Time
	for p := range j.options.Limits.Partitions {
		if j.options.OwnerOf(p) != j.options.Self.ID {
			continue
		}
		recordedAt, ok := j.firstRecordAt(ctx, p)
		if !ok {
			return time.Time{}, false
		}
		if recordedAt.After(latest) {
			latest = recordedAt
		}
	}
	return latest.Add(j.options.Limits.MaxFuture), true
}

// PartitionCount is the number of keys in one partition's index, and the number
// of them whose winner has no outcome.
type PartitionCount struct {
	Partition int
	Keys      int
	Open      int
}

// Counts returns the key counts of the partitions that this instance owns and
// has a running writer for.
func (j *Journal) Counts(ctx context.Context) []PartitionCount {
	var counts []PartitionCount
	for p := range j.options.Limits.Partitions {
		if j.options.OwnerOf(p) != j.options.Self.ID {
			continue
		}
		count, ok := readIndex(ctx, j, p, func(x *Index) PartitionCount {
			return PartitionCount{Partition: p, Keys: x.Len(), Open: x.OpenLen()}
		})
		if ok {
			counts = append(counts, count)
		}
	}
	return counts
}

// firstRecordAt returns the time of the first record that a partition's writer
// has applied.
func (j *Journal) firstRecordAt(ctx context.Context, partition int) (time.Time, bool) {
	recordedAt, ok := readIndex(ctx, j, partition, func(x *Index) time.Time { return x.firstRecordAt })
	return recordedAt, ok && !recordedAt.IsZero()
}

// readIndex calls read with a partition's index on the writer's goroutine. It
// returns false when this process has no writer of the partition, or when the
// writer stops or ctx ends first.
func readIndex[T any](ctx context.Context, j *Journal, partition int, read func(*Index) T) (T, bool) {
	var none T
	j.mu.Lock()
	w := j.writers[partition]
	j.mu.Unlock()
	if w == nil {
		return none, false
	}
	answer := make(chan T, 1)
	w.post(func(time.Time) { answer <- read(w.writer.Index()) })
	select {
	case value := <-answer:
		return value, true
	case <-w.ctx.Done():
	case <-ctx.Done():
	}
	return none, false
}
