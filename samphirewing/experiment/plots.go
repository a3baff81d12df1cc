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
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	plotDir    = 0o755
)

var plotColours = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xd9, G: 0x5f, B: 0x02, A: 0xff},
	color.RGBA{R: 0x4d, G: 0x9a, B: 0x3a, A: 0xff},
	color.RGBA{R: 0x77, G: 0x55, B: 0xaa, A: 0xff},
}

// WritePlots writes PNG files into a directory: goodput by tier, and wasted
// prefill, against load. Scenarios with a fault or a burst are left out.
func (r Report) WritePlots(dir string) error {
	if err := os.MkdirAll(dir, plotDir); err != nil {
		return errors.Annotate(err, "making the plots' directory")
	}
	for tier := range Tiers {
		name := fmt.Sprintf("%s-goodput-tier-%d.png", r.Deployment, tier)
		title := fmt.Sprintf("%s: whole answers in time, tier %d", r.Deployment, tier)
		value := func(x Row) float64 { return 100 * x.GoodShare[tier] }
		if err := r.plot(filepath.Join(dir, name), title, "share of the offered (%)", value); err != nil {
			return err
		}
	}
	wasted := func(x Row) float64 { return float64(x.WastedTokens) / 1e6 }
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
		line, points, err := plotter.NewLinePoints(r.byLoad(policy, value))
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

// byLoad returns a policy's values in the scenarios that differ by load alone.
func (r Report) byLoad(policy string, value func(Row) float64) plotter.XYs {
	var points plotter.XYs
	for _, x := range r.Rows {
		if x.Policy == policy && x.Scenario == fmt.Sprintf("load-%.1f", x.Load) {
			points = append(points, plotter.XY{X: x.Load, Y: value(x)})
		}
	}
	return points
}

func (r Report) policies() []string {
	var names []string
	seen := map[string]bool{}
	for _, x := range r.Rows {
		if !seen[x.Policy] {
			seen[x.Policy] = true
			names = append(names, x.Policy)
		}
	}
	return names
}
