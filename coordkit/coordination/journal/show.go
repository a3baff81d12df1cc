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

// AcceptsFrom returns the least issue time that this process's writers accept
// of new keys, and false while one of them has not read or marked its stream.
func (j *Journal) AcceptsFrom(ctx context.Context) (time.Time, bool) {
	j.mu.Lock()
	writers := make([]*partitionWriter, 0, len(j.writers))
	for _, w := range j.writers {
		writers = append(writers, w)
	}
	j.mu.Unlock()
	var latest time.Time
	for _, w := range writers {
		floor, ok := w.floor(ctx)
		if !ok {
			return time.Time{}, false
		}
		if floor.After(latest) {
			latest = floor
		}
	}
	return latest.Add(j.options.Limits.MaxFuture), true
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
