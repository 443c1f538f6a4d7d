package main

import (
	"errors"
	"fmt"
	"image/color"
	"math"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"spurwinch/internal/plan/planner"
)

// Size and scale of all plots.
const (
	plotWidth     = 18 * vg.Centimeter
	plotHeight    = 11 * vg.Centimeter
	maxPercent    = 102 // the top of the percent axis, a little over 100
	axisStep      = 5   // percent; the axis starts at a multiple of it
	axisMargin    = 2   // minimum distance from the start of the axis to the lowest figure, in percent
	dataLineWidth = 1.5 // points
	legendOffset  = 8   // points from the left edge
)

var (
	dataColor = color.RGBA{R: 31, G: 90, B: 142, A: 255}
	gridColor = color.RGBA{R: 190, G: 190, B: 190, A: 255}
	markColor = color.RGBA{R: 178, G: 48, B: 48, A: 255}
)

var dashes = []vg.Length{vg.Points(4), vg.Points(3)}

// errNothingToPlot means that the load has no requests.
var errNothingToPlot = errors.New("--plot: the load must have at least one request to plot")

// loadFactors are the multiples of the load that a plot of a forecast shows.
var loadFactors = []float64{0.25, 0.5, 0.75, 1, 1.25, 1.5, 2, 2.5, 3}

// newPlot returns an empty plot of service in percent.
func newPlot(title, horizontalLabel string) *plot.Plot {
	chart := plot.New()
	chart.Title.Text = title
	chart.Title.Padding = 8
	chart.X.Label.Text = horizontalLabel
	chart.X.Padding = 4
	chart.Y.Label.Text = "service, % of the requested value"
	chart.Y.Padding = 4
	chart.Y.Min = 0
	chart.Y.Max = maxPercent
	grid := plotter.NewGrid()
	grid.Horizontal.Color = gridColor
	grid.Vertical.Color = gridColor
	chart.Add(grid)
	return chart
}

func savePlot(chart *plot.Plot, path string) error {
	if err := chart.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("--plot: %w", err)
	}
	return nil
}

// axisStart returns a start for the percent axis that leaves some space below a value in percent. The start is a
// multiple of axisStep and is negative for the smallest values.
func axisStart(value float64) float64 {
	return math.Floor((value-axisMargin)/axisStep) * axisStep
}

// serviceCurve plots service against a quantity, with the 95% confidence interval of each point.
type serviceCurve struct {
	plotter.XYs
	plotter.YErrors

	lowest float64 // the lowest point or lower end of an interval, in percent
}

func (c *serviceCurve) add(quantity float64, service planner.Figure) {
	c.XYs = append(c.XYs, plotter.XY{X: quantity, Y: 100 * service.Mean})
	interval := struct{ Low, High float64 }{
		Low:  100 * (service.Mean - service.Low),
		High: 100 * (service.High - service.Mean),
	}
	c.YErrors = append(c.YErrors, interval)
	lowest := 100 * min(service.Low, service.Mean)
	if len(c.XYs) == 1 || lowest < c.lowest {
		c.lowest = lowest
	}
}

// addTo draws the curve. The axis starts a little below the lowest figure, so that differences are visible.
func (c *serviceCurve) addTo(chart *plot.Plot) error {
	line, dots, err := plotter.NewLinePoints(c.XYs)
	if err != nil {
		return err
	}
	line.Color = dataColor
	line.Width = vg.Points(dataLineWidth)
	dots.Color = dataColor
	intervals, err := plotter.NewYErrorBars(c)
	if err != nil {
		return err
	}
	intervals.Color = dataColor
	chart.Add(line, dots, intervals)
	chart.Y.Min = max(0, axisStart(c.lowest))
	return nil
}

// addTarget draws a horizontal line and adds its name to the legend.
func addTarget(chart *plot.Plot, target, from, to float64, name string) error {
	line, err := plotter.NewLine(plotter.XYs{{X: from, Y: target}, {X: to, Y: target}})
	if err != nil {
		return err
	}
	line.Color = markColor
	line.Dashes = dashes
	chart.Add(line)
	chart.Y.Min = min(chart.Y.Min, axisStart(target))
	addLegend(chart, name, line)
	return nil
}

// addLegend adds a line's name to the legend in the lower left corner.
func addLegend(chart *plot.Plot, name string, line *plotter.Line) {
	chart.Legend.Add(name, line)
	chart.Legend.Top = false
	chart.Legend.Left = true
	chart.Legend.XOffs = vg.Points(legendOffset)
	chart.Legend.YOffs = vg.Points(6)
}

// plotSizes plots service against the number of servers.
func plotSizes(path string, sizing *planner.Sizing) error {
	chart := newPlot("Service against servers", "servers")
	var curve serviceCurve
	for _, size := range sizing.Tried {
		curve.add(float64(size.Servers), size.Service)
	}
	if err := curve.addTo(chart); err != nil {
		return err
	}
	target := 100 * sizing.Target
	first := curve.XYs[0].X
	last := curve.XYs[len(curve.XYs)-1].X
	if err := addTarget(chart, target, first, last, fmt.Sprintf("target %.1f%%", target)); err != nil {
		return err
	}
	return savePlot(chart, path)
}

// plotForecast plots service against multiples of the load.
func plotForecast(input *planInput, forecast planner.Forecast, progress *progress) error {
	chart := newPlot("Service against load", "multiple of the load of the forecast")
	var curve serviceCurve
	for _, factor := range loadFactors {
		service := forecast.Service
		if factor != 1 {
			progress.show("simulating for the plot: %.2f times the load", factor)
			scaled := input.load.Scale(factor, input.seed)
			other, err := planner.Replicate(input.fleet, scaled, input.options(), input.replications, nil)
			if err != nil {
				return err
			}
			service = other.Service
		}
		curve.add(factor, service)
	}
	progress.done()
	if err := curve.addTo(chart); err != nil {
		return err
	}
	return savePlot(chart, input.plotPath)
}

// plotLoss plots service by second and marks the time of the loss.
func plotLoss(path, title string, serviceBySecond []float64, lossTime time.Duration) error {
	chart := newPlot(title, "seconds")
	var points plotter.XYs
	for second, service := range serviceBySecond[:len(serviceBySecond)-1] { // without the incomplete last second
		if !math.IsNaN(service) {
			points = append(points, plotter.XY{X: float64(second) + 0.5, Y: 100 * service})
		}
	}
	if len(points) == 0 {
		return errNothingToPlot
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = dataColor
	line.Width = vg.Points(dataLineWidth)
	mark, err := plotter.NewLine(plotter.XYs{{X: lossTime.Seconds(), Y: 0}, {X: lossTime.Seconds(), Y: 100}})
	if err != nil {
		return err
	}
	mark.Color = markColor
	mark.Dashes = dashes
	chart.Add(line, mark)
	addLegend(chart, "the loss", mark)
	return savePlot(chart, path)
}

// plotCost plots the time of one replication against the number of servers.
func plotCost(path string, measurements []costMeasurement) error {
	chart := newPlot("Time of one replication by the size of the fleet", "servers")
	chart.Y.Label.Text = "seconds"
	var points plotter.XYs
	chart.Y.Max = 0.1
	for _, measured := range measurements {
		points = append(points, plotter.XY{X: float64(measured.Servers), Y: measured.WallS})
		chart.Y.Max = max(chart.Y.Max, 1.05*measured.WallS)
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	line.Color = dataColor
	dots.Color = dataColor
	chart.Add(line, dots)
	return savePlot(chart, path)
}
