package journal

import "context"

// ShowPartition returns the matching keys of one partition from its writer.
func (j *Journal) ShowPartition(ctx context.Context, partition int, f Filter) ([]Row, error) {
	if f.Limit == 0 {
		f.Limit = defaultShowLimit
	}
	return j.showPartition(ctx, partition, f)
}
