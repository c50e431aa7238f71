package replay

import (
	"fmt"
	"image/color"
	"maps"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 18
	// barMargin is the margin beside the outer groups of bars, in units of the
	// distance between groups.
	barMargin = 0.6
)

// lineColours are the colours of the results in a plot, in order.
var lineColours = []color.Color{
	color.RGBA{R: 31, G: 119, B: 180, A: 255},
	color.RGBA{R: 214, G: 39, B: 40, A: 255},
	color.RGBA{R: 44, G: 160, B: 44, A: 255},
	color.RGBA{R: 148, G: 103, B: 189, A: 255},
}

// NamedResult is a result with its label in the legend of a plot.
type NamedResult struct {
	Name   string
	Result *Result
}

// PlotGoodput plots the goodput of non-batch chat requests over time. The
// extension of path, .svg or .png, selects the format.
func PlotGoodput(path string, results ...NamedResult) error {
	p := plot.New()
	p.Title.Text = "Goodput of waiting callers"
	p.Y.Label.Text = "share of requests within both targets"
	p.Y.Min, p.Y.Max = 0, 1
	return plotTimelines(p, path, results, func(s TimelineSlice) float64 { return s.Goodput })
}

// PlotFirstToken plots the 95th percentile of the time to first token over time.
// See PlotGoodput for the formats.
func PlotFirstToken(path string, results ...NamedResult) error {
	p := plot.New()
	p.Title.Text = "First token, 95th percentile"
	p.Y.Label.Text = "milliseconds"
	p.Y.Min = 0
	return plotTimelines(p, path, results, func(s TimelineSlice) float64 { return s.FirstP95 })
}

// plotTimelines adds a line for each result with the metric over time and saves
// the plot. Empty slices are omitted.
func plotTimelines(p *plot.Plot, path string, results []NamedResult, metric func(TimelineSlice) float64) error {
	p.X.Label.Text = "seconds"
	for i, r := range results {
		points := make(plotter.XYs, 0, len(r.Result.Timeline))
		for _, s := range r.Result.Timeline {
			if s.Sent > 0 {
				points = append(points, plotter.XY{X: s.At, Y: metric(s)})
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrapf(err, "plot %s", r.Name)
		}
		line.Color = lineColours[i%len(lineColours)]
		p.Add(line)
		p.Legend.Add(r.Name, line)
	}
	p.Add(plotter.NewGrid())
	p.Y.Max *= 1.1 // Leaves room for the legend.
	p.Legend.Top = true
	return savePlot(p, path)
}

// PlotWorkspaces plots the goodput of each workspace as a bar chart, with the
// results side by side. See PlotGoodput for the formats.
func PlotWorkspaces(path string, results ...NamedResult) error {
	p := plot.New()
	p.Title.Text = "Goodput by workspace"
	p.Y.Label.Text = "share of requests within the targets"
	p.Y.Min, p.Y.Max = 0, 1
	names := workspaceNames(results)
	for i, r := range results {
		values := make(plotter.Values, len(names))
		for j, name := range names {
			if g := r.Result.Workspaces[name]; g != nil {
				values[j] = g.Goodput
			}
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return errors.Wrapf(err, "plot %s", r.Name)
		}
		bars.Color = lineColours[i%len(lineColours)]
		bars.Offset = vg.Length(i*barWidth) - vg.Length((len(results)-1)*barWidth)/2
		p.Add(bars)
		p.Legend.Add(r.Name, bars)
	}
	p.NominalX(names...)
	p.X.Min, p.X.Max = -barMargin, float64(len(names)-1)+barMargin
	p.Y.Max = 1.1 // Leaves room for the legend.
	p.Legend.Top = true
	return savePlot(p, path)
}

func workspaceNames(results []NamedResult) []string {
	names := make(map[string]bool)
	for _, r := range results {
		for name := range r.Result.Workspaces {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

func savePlot(p *plot.Plot, path string) error {
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), fmt.Sprint("plot ", path))
}
