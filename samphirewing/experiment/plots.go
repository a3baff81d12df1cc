package experiment

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth   = 16 * vg.Centimeter
	plotHeight  = 10 * vg.Centimeter
	plotDirMode = 0o755
)

var plotColours = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xd9, G: 0x5f, B: 0x02, A: 0xff},
	color.RGBA{R: 0x4d, G: 0x9a, B: 0x3a, A: 0xff},
	color.RGBA{R: 0x77, G: 0x55, B: 0xaa, A: 0xff},
}

// WritePlots writes PNG files into a directory, which it creates if necessary:
// goodput of each tier and wasted prefill over load. Only the scenarios that
// differ by load alone are plotted.
func (r Report) WritePlots(dir string) error {
	if err := os.MkdirAll(dir, plotDirMode); err != nil {
		return errors.Annotate(err, "making the plots' directory")
	}
	for tier := range Tiers {
		name := fmt.Sprintf("%s-goodput-tier-%d.png", r.Deployment, tier)
		title := fmt.Sprintf("%s: whole answers in time, tier %d", r.Deployment, tier)
		value := func(row Row) float64 { return 100 * row.GoodShare[tier] }
		if err := r.plot(filepath.Join(dir, name), title, "share of the offered (%)", value); err != nil {
			return err
		}
	}
	wasted := func(row Row) float64 { return float64(row.WastedTokens) / 1e6 }
	name := filepath.Join(dir, r.Deployment+"-wasted-prefill.png")
	return r.plot(name, r.Deployment+": wasted prefill", "tokens (millions)", wasted)
}

func (r Report) plot(file, title, label string, value func(Row) float64) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "offered load over capacity"
	p.Y.Label.Text = label
	p.Y.Min = 0
	p.Legend.Top = false
	p.Legend.Left = true
	for i, policy := range r.policies() {
		line, points, err := plotter.NewLinePoints(r.loadSeries(policy, value))
		if err != nil {
			return errors.Annotatef(err, "plotting %s", policy)
		}
		line.Color = plotColours[i%len(plotColours)]
		points.Color = line.Color
		p.Add(line, points)
		p.Legend.Add(policy, line, points)
	}
	return errors.Annotatef(p.Save(plotWidth, plotHeight, file), "saving %s", file)
}

// loadSeries returns the values of a policy over load, from the scenarios that
// differ by load alone.
func (r Report) loadSeries(policy string, value func(Row) float64) plotter.XYs {
	var points plotter.XYs
	for _, row := range r.Rows {
		if row.Policy == policy && row.Scenario == fmt.Sprintf("load-%.1f", row.Load) {
			points = append(points, plotter.XY{X: row.Load, Y: value(row)})
		}
	}
	return points
}

func (r Report) policies() []string {
	var names []string
	seen := map[string]bool{}
	for _, row := range r.Rows {
		if !seen[row.Policy] {
			seen[row.Policy] = true
			names = append(names, row.Policy)
		}
	}
	return names
}
