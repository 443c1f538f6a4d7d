package main

import (
	"fmt"
	"image/color"
	"math"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"spurwinch/internal/plan/planner"
)

var (
	ink   = color.RGBA{R: 31, G: 90, B: 142, A: 255}
	faint = color.RGBA{R: 190, G: 190, B: 190, A: 255}
	alarm = color.RGBA{R: 178, G: 48, B: 48, A: 255}
)

func canvas(title, x string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, "service, % of the worth asked for"
	p.Title.Padding, p.X.Padding, p.Y.Padding = 8, 4, 4
	p.Y.Min, p.Y.Max = 0, 102
	g := plotter.NewGrid()
	g.Horizontal.Color, g.Vertical.Color = faint, faint
	p.Add(g)
	return p
}

func save(p *plot.Plot, path string) error {
	if err := p.Save(18*vg.Centimeter, 11*vg.Centimeter, path); err != nil {
		return fmt.Errorf("--plot: %w", err)
	}
	return nil
}

// curve adds means with their 95% intervals.
func curve(p *plot.Plot, pts plotter.XYs, bars []planner.Figure) error {
	line, dots, err := plotter.NewLinePoints(pts)
	if err != nil {
		return err
	}
	line.Color, line.Width, dots.Color = ink, vg.Points(1.5), ink
	type both struct {
		plotter.XYs
		plotter.YErrors
	}
	e := both{XYs: pts}
	for _, f := range bars {
		e.YErrors = append(e.YErrors, struct{ Low, High float64 }{100 * (f.Mean - f.Low), 100 * (f.High - f.Mean)})
	}
	errs, err := plotter.NewYErrorBars(e)
	if err != nil {
		return err
	}
	errs.Color = ink
	p.Add(line, dots, errs)
	// What differs must be seen: the axis begins a little under the least figure.
	p.Y.Min = 100.0
	for i, f := range bars {
		p.Y.Min = max(0, math.Floor(min(p.Y.Min, 100*f.Low-2, pts[i].Y-2)/5)*5)
	}
	return nil
}

// level adds a line at a height, with its name.
func level(p *plot.Plot, y, from, to float64, name string) error {
	l, err := plotter.NewLine(plotter.XYs{{X: from, Y: y}, {X: to, Y: y}})
	if err != nil {
		return err
	}
	l.Color, l.Dashes = alarm, []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(l)
	p.Y.Min = min(p.Y.Min, math.Floor((y-2)/5)*5)
	p.Legend.Add(name, l)
	p.Legend.Top, p.Legend.Left, p.Legend.YOffs = false, true, vg.Points(6)
	p.Legend.XOffs = vg.Points(8)
	return nil
}

// plotSizes draws service against the number of servers.
func plotSizes(path string, s planner.Sizing) error {
	p := canvas("Service against servers", "servers")
	var pts plotter.XYs
	var bars []planner.Figure
	for _, t := range s.Tried {
		pts = append(pts, plotter.XY{X: float64(t.Servers), Y: 100 * t.Service.Mean})
		bars = append(bars, t.Service)
	}
	if err := curve(p, pts, bars); err != nil {
		return err
	}
	if err := level(p, 100*s.Target, pts[0].X, pts[len(pts)-1].X, fmt.Sprintf("target %.1f%%", 100*s.Target)); err != nil {
		return err
	}
	return save(p, path)
}

// plotLoad draws service against multiples of the load.
func (p *planning) plotLoad(now planner.Forecast, bar *progress) error {
	g := canvas("Service against load", "times the load of the forecast")
	var pts plotter.XYs
	var bars []planner.Figure
	for _, m := range []float64{0.25, 0.5, 0.75, 1, 1.25, 1.5, 2, 2.5, 3} {
		f := now
		if m != 1 {
			bar.say("for the plot: %.2f times the load", m)
			var err error
			if f, err = planner.Replicate(p.conf, p.load.Scale(m, p.seed), p.options(), p.reps, nil); err != nil {
				return err
			}
		}
		pts = append(pts, plotter.XY{X: m, Y: 100 * f.Service.Mean})
		bars = append(bars, f.Service)
	}
	bar.done()
	if err := curve(g, pts, bars); err != nil {
		return err
	}
	return save(g, p.plot)
}

// plotSeries draws service by second, with the time of an event.
func plotSeries(path, title string, ys []float64, at time.Duration) error {
	p := canvas(title, "seconds")
	var pts plotter.XYs
	for i, y := range ys[:len(ys)-1] {
		if !math.IsNaN(y) {
			pts = append(pts, plotter.XY{X: float64(i) + 0.5, Y: 100 * y})
		}
	}
	if len(pts) == 0 {
		return fmt.Errorf("--plot: nothing was wanted, so there is nothing to draw")
	}
	line, err := plotter.NewLine(pts)
	if err != nil {
		return err
	}
	line.Color, line.Width = ink, vg.Points(1.5)
	mark, err := plotter.NewLine(plotter.XYs{{X: at.Seconds(), Y: 0}, {X: at.Seconds(), Y: 100}})
	if err != nil {
		return err
	}
	mark.Color, mark.Dashes = alarm, []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(line, mark)
	p.Legend.Add("the loss", mark)
	p.Legend.Left, p.Legend.XOffs, p.Legend.YOffs = true, vg.Points(8), vg.Points(6)
	return save(p, path)
}
