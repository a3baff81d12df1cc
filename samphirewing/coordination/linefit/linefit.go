// Package linefit fits a line to exponentially decaying observations.
package linefit

// Line holds the decayed sums over the observations (x, y): of their weights,
// x, x*x, y and x*y. The zero value has no observations.
type Line struct{ weight, x, xx, y, xy float64 }

// Observe adds an observation of weight 1 after multiplying the weight of the
// earlier ones by decay.
func (l *Line) Observe(decay, x, y float64) {
	l.weight = l.weight*decay + 1
	l.x = l.x*decay + x
	l.xx = l.xx*decay + x*x
	l.y = l.y*decay + y
	l.xy = l.xy*decay + x*y
}

// Weight returns the total weight of the observations.
func (l *Line) Weight() float64 { return l.weight }

// Fit returns the least-squares line, with base and slope limited to at least
// zero. The slope is zero if all observations have the same x. At least one
// observation is required.
func (l *Line) Fit() (base, slope float64) {
	if determinant := l.weight*l.xx - l.x*l.x; determinant > 0 {
		slope = max((l.weight*l.xy-l.x*l.y)/determinant, 0)
	}
	return max((l.y-slope*l.x)/l.weight, 0), slope
}
