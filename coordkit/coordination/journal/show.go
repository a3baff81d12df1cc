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

// MinIssueTime returns the least issue time of new keys that the partitions
// owned by this process accept, and false while one of them has no writer that
// has read or marked its stream.
func (j *Journal) MinIssueTime(ctx context.Context) (time.Time, bool) {
	var latest time.Time
	for p := range j.options.Limits.Partitions {
		if j.options.OwnerOf(p) != j.options.Self.ID {
			continue
		}
		floor, ok := j.floor(ctx, p)
		if !ok {
			return time.Time{}, false
		}
		if floor.After(latest) {
			latest = floor
		}
	}
	return latest.Add(j.options.Limits.MaxFuture), true
}

// PartitionCount is how many keys one partition's index holds, and how many of
// them have no outcome.
type PartitionCount struct {
	Partition int
	Keys      int
	Open      int
}

// Counts returns the counts of the partitions that are owned and written here.
func (j *Journal) Counts(ctx context.Context) []PartitionCount {
	var counts []PartitionCount
	for p := range j.options.Limits.Partitions {
		if j.options.OwnerOf(p) != j.options.Self.ID {
			continue
		}
		count, ok := readIndex(ctx, j, p, func(x *Index) PartitionCount {
			return PartitionCount{Partition: p, Keys: x.Len(), Open: x.Open()}
		})
		if ok {
			counts = append(counts, count)
		}
	}
	return counts
}

// floor returns the time of the first record known to a partition's writer.
func (j *Journal) floor(ctx context.Context, partition int) (time.Time, bool) {
	floor, ok := readIndex(ctx, j, partition, func(x *Index) time.Time { return x.floor })
	return floor, ok && !floor.IsZero()
}

// readIndex reads the index of a partition on its writer's goroutine. It
// returns false when no writer runs here or the context ends first.
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
