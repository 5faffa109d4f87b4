package report

import (
	"fmt"
	"image/color"
	"math"
	"path/filepath"
	"slices"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of each plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// legendPadding is the space around the entries of the legend.
const legendPadding = 1 * vg.Millimeter

// legendHeadroom is the factor by which the vertical axis is extended, so that the
// legend hides no line.
const legendHeadroom = 1.6

// namedPlot is a plot with the base name of its files.
type namedPlot struct {
	name string
	draw func([]*Result) (*plot.Plot, error)
}

// Plot draws one or more results as PNG and SVG files in folder: the time to first
// token by prompt length and over the run, and the slowdown of short requests over
// load. It returns the names of the files.
func Plot(folder string, results []*Result) ([]string, error) {
	plots := []namedPlot{{"first-token", firstTokenPlot}, {"timeline", timelinePlot}}
	if hasSlowdown(results) {
		plots = append(plots, namedPlot{"slowdown", slowdownPlot})
	}
	var files []string
	for _, d := range plots {
		p, err := d.draw(results)
		if err != nil {
			return files, trace.Wrap(err)
		}
		saved, err := save(p, folder, d.name)
		if err != nil {
			return files, trace.Wrap(err)
		}
		files = append(files, saved...)
	}
	return files, nil
}

func save(p *plot.Plot, folder, name string) ([]string, error) {
	var files []string
	for _, suffix := range []string{".png", ".svg"} {
		file := filepath.Join(folder, name+suffix)
		if err := p.Save(plotWidth, plotHeight, file); err != nil {
			return nil, trace.Wrap(err)
		}
		files = append(files, file)
	}
	return files, nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.BackgroundColor = color.White
	p.Legend.Top = true
	p.Legend.Left = true
	p.Legend.Padding = legendPadding
	p.Title.Padding = legendPadding
	p.Add(plotter.NewGrid())
	return p
}

// curve is one line of a plot.
type curve struct {
	name   string
	points plotter.XYs
}

// addCurves adds curves to a plot, each with its own colour and shape.
func addCurves(p *plot.Plot, curves []curve) error {
	for i, c := range curves {
		if len(c.points) == 0 {
			continue
		}
		line, points, err := plotter.NewLinePoints(c.points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		points.Color = plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		p.Add(line, points)
		p.Legend.Add(c.name, line, points)
	}
	return nil
}

// label returns the name of a result in the legend, numbered if several results have
// the same scenario.
func label(results []*Result, i int) string {
	name := results[i].Scenario.Name
	same := func(r *Result) bool { return r.Scenario.Name == name }
	if slices.ContainsFunc(results[:i], same) || slices.ContainsFunc(results[i+1:], same) {
		return fmt.Sprintf("%s #%d", name, i+1)
	}
	return name
}

// firstTokenPlot draws p50 and p95 by prompt length for the phase of each result
// that mixedPhase selects.
func firstTokenPlot(results []*Result) (*plot.Plot, error) {
	p := newPlot("Time to first token by prompt length", "prompt length in tokens", "time to first token in ms")
	var curves []curve
	for i, r := range results {
		phase := r.mixedPhase()
		if phase == nil {
			continue
		}
		name := fmt.Sprintf("%s, %s", label(results, i), phase.Name)
		curves = append(curves,
			curve{name + ", p50", phase.points(func(q Quantiles) float64 { return q.P50 })},
			curve{name + ", p95", phase.points(func(q Quantiles) float64 { return q.P95 })},
		)
	}
	if !slices.ContainsFunc(curves, func(c curve) bool { return len(c.points) > 0 }) {
		return nil, trace.BadParameter("no result has a time to first token")
	}
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	if err := addCurves(p, curves); err != nil {
		return nil, err
	}
	p.X.Min, p.X.Max = lengthRange(results)
	p.Y.Max *= math.Pow(legendHeadroom, float64(len(curves)))
	return p, nil
}

// mixedPhase returns the first phase with long requests at load 1, or else the last
// phase with long requests, or nil.
func (r *Result) mixedPhase() *Phase {
	var found *Phase
	for i := range r.Phases {
		p := &r.Phases[i]
		if p.WithoutLong {
			continue
		}
		if p.Load == 1 {
			return p
		}
		found = p
	}
	return found
}

// lengthRange returns the bounds of all prompt lengths.
func lengthRange(results []*Result) (low, high float64) {
	low = math.Inf(1)
	for _, r := range results {
		for _, b := range r.Scenario.Prompts {
			low = min(low, float64(b.MinTokens))
			high = max(high, float64(b.MaxTokens))
		}
	}
	return low, high
}

// points returns a point for each bucket, with x at the geometric mean of its
// bounds.
func (p *Phase) points(y func(Quantiles) float64) plotter.XYs {
	var points plotter.XYs
	for _, g := range p.Groups {
		if g.FirstToken.Count > 0 {
			x := math.Sqrt(float64(g.MinTokens) * float64(g.MaxTokens))
			points = append(points, plotter.XY{X: x, Y: y(g.FirstToken)})
		}
	}
	return points
}

func hasSlowdown(results []*Result) bool {
	return slices.ContainsFunc(results, func(r *Result) bool { return len(r.Slowdown) > 0 })
}

// slowdownPlot draws the slowdown at p95 over load for the first group of each
// result, that of the shortest prompts.
func slowdownPlot(results []*Result) (*plot.Plot, error) {
	p := newPlot("Slowdown of short requests caused by long ones", "load", "p95 with long requests / without")
	var curves []curve
	for i, r := range results {
		if len(r.Slowdown) == 0 {
			continue
		}
		group := r.Slowdown[0].Group
		name := fmt.Sprintf("%s, %s tokens", label(results, i), group)
		first, total := curve{name: name + ", first token"}, curve{name: name + ", total"}
		for _, s := range r.Slowdown {
			if s.Group == group {
				first.points = append(first.points, plotter.XY{X: s.Load, Y: s.FirstTokenP95})
				total.points = append(total.points, plotter.XY{X: s.Load, Y: s.TotalP95})
			}
		}
		curves = append(curves, first, total)
	}
	for _, c := range curves {
		slices.SortFunc(c.points, func(a, b plotter.XY) int {
			if a.X < b.X {
				return -1
			}
			return 1
		})
	}
	if err := addCurves(p, curves); err != nil {
		return nil, err
	}
	p.Y.Min = min(p.Y.Min, 1)
	p.Y.Max = p.Y.Min + (p.Y.Max-p.Y.Min)*legendHeadroom
	return p, nil
}
