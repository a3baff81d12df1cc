// Package linefit fits a line to observations that fade.
package linefit

// Line holds faded sums of observations (x, y): their weight, x, x*x, y and
// x*y. The zero value holds none.
type Line struct{ weight, x, xx, y, xy float64 }

// Observe adds an observation; those before keep that part of their weight.
func (l *Line) Observe(keep, x, y float64) {
	l.weight = l.weight*keep + 1
	l.x = l.x*keep + x
	l.xx = l.xx*keep + x*x
	l.y = l.y*keep + y
	l.xy = l.xy*keep + x*y
}

// Weight is the weight of all observations; the newest has one.
func (l *Line) Weight() float64 { return l.weight }

// Fit returns the line of least squares, neither part of it below zero. The
// line is level when all observations have one x. There must be one.
func (l *Line) Fit() (base, slope float64) {
	if spread := l.weight*l.xx - l.x*l.x; spread > 0 {
		slope = max((l.weight*l.xy-l.x*l.y)/spread, 0)
	}
	return max((l.y-slope*l.x)/l.weight, 0), slope
}
