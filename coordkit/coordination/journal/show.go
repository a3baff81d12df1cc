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

// AcceptsFrom returns the least issue time of new keys that the partitions
// owned by this process accept, and false while one of them has no writer that
// has read or marked its stream.
func (j *Journal) AcceptsFrom(ctx context.Context) (time.Time, bool) {
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

func (j *Journal) floor(ctx context.Context, partition int) (time.Time, bool) {
	j.mu.Lock()
	w := j.writers[partition]
	j.mu.Unlock()
	if w == nil {
		return time.Time{}, false
	}
	return w.floor(ctx)
}

// PartitionCount is how many keys one partition's index holds, and how many of
// them have no outcome.
type PartitionCount struct {
	Partition int
	Keys      int
	Open      int
}

// Counts returns the counts of the partitions that are written here.
func (j *Journal) Counts(ctx context.Context) []PartitionCount {
	var counts []PartitionCount
	for p := range j.options.Limits.Partitions {
		j.mu.Lock()
		w := j.writers[p]
		j.mu.Unlock()
		if w == nil || j.options.OwnerOf(p) != j.options.Self.ID {
			continue
		}
		if c, ok := w.count(ctx); ok {
			counts = append(counts, c)
		}
	}
	return counts
}

func (w *partitionWriter) count(ctx context.Context) (PartitionCount, bool) {
	answer := make(chan PartitionCount, 1)
	w.post(func(time.Time) {
		index := w.writer.Index()
		answer <- PartitionCount{Partition: w.number, Keys: index.Len(), Open: index.Open()}
	})
	select {
	case c := <-answer:
		return c, true
	case <-w.ctx.Done():
	case <-ctx.Done():
	}
	return PartitionCount{}, false
}

// floor returns the time of the first record known to the writer.
func (w *partitionWriter) floor(ctx context.Context) (time.Time, bool) {
	answer := make(chan time.Time, 1)
	w.post(func(time.Time) { answer <- w.writer.Index().floor })
	select {
	case floor := <-answer:
		return floor, !floor.IsZero()
	case <-w.ctx.Done():
	case <-ctx.Done():
	}
	return time.Time{}, false
}
