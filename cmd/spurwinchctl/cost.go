package main

import (
	"fmt"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot/plotter"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/planner"
	"spurwinch/internal/plan/workload"
)

// costed is what one replication took at a size.
type costed struct {
	Servers  int     `json:"servers"`
	Standing float64 `json:"standing"`
	Sessions int     `json:"sessions"`
	WallS    float64 `json:"wall_s"`
	Service  float64 `json:"service"`
}

// costCommand measures the planner itself.
func costCommand() *cobra.Command {
	var file, plotTo string
	var sizes []int
	var fill float64
	var length time.Duration
	var seed uint64
	var asJSON bool
	c := &cobra.Command{Use: "cost --fleet FLEET", Short: "Time that a forecast takes on this machine, by the size of the fleet", Args: cobra.NoArgs,
		Long: "Resizes the fleet, has as many connections stand as fill the given part of it, and times one replication."}
	c.Flags().StringVar(&file, "fleet", "", "the `FLEET` file")
	c.Flags().IntSliceVar(&sizes, "sizes", []int{10, 30, 100, 300, 1000}, "servers")
	c.Flags().Float64Var(&fill, "fill", 0.45, "part of all cores that connections ask for, without groups")
	c.Flags().DurationVar(&length, "length", 2*time.Minute, "of the load")
	c.Flags().Uint64Var(&seed, "seed", 1, "of all chance")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	c.Flags().StringVar(&plotTo, "plot", "", "draw to `FILE.svg` or FILE.png")
	c.MarkFlagRequired("fleet")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if !(fill > 0 && fill <= 2) || length < 5*time.Second || length > 24*time.Hour {
			return fmt.Errorf("--fill takes a part over 0, up to 2; --length 5s to 24h")
		}
		f, err := fleet.Read(file)
		if err != nil {
			return err
		}
		var all []costed
		bar := newProgress(c)
		for _, n := range sizes {
			if n < 1 || n > 20000 {
				return fmt.Errorf("--sizes %d: 1 to 20000 are wanted", n)
			}
			bar.say("%d servers", n)
			g := f.Resize(n)
			if g.Store.Rate > 0 { // the store grows with the fleet, or it alone would be measured
				g.Store.Rate *= float64(n) / float64(f.Count())
			}
			each := fill * g.Cores() / (g.MeanLoad() * g.CoreLoad())
			for i := range g.Nodes { // so do the nodes' descriptors
				g.Nodes[i].Sockets = max(g.Nodes[i].Sockets, int(each))
			}
			l := workload.Draw(g, workload.Drawn{Seed: seed, Length: length, Standing: each, Stand: true})
			runtime.GC()
			from := time.Now()
			r, err := planner.Play(g, l, planner.Options{Seed: seed})
			if err != nil {
				return err
			}
			took := time.Since(from)
			all = append(all, costed{n, l.Standing(), len(l.Sessions), took.Seconds(), r.Service})
		}
		bar.done()
		if plotTo != "" {
			if err := plotCost(plotTo, all); err != nil {
				return err
			}
		}
		if asJSON {
			return printJSON(c.OutOrStdout(), all)
		}
		out := c.OutOrStdout()
		fmt.Fprintf(out, "One replication of %v on one core\n", length)
		w := tabwriter.NewWriter(out, 2, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(w, "servers\tstanding\tsessions\twall\tms a simulated s\tservice\t")
		for _, x := range all {
			fmt.Fprintf(w, "%d\t%.0f\t%d\t%.2f s\t%.2f\t%.1f%%\t\n", x.Servers, x.Standing, x.Sessions, x.WallS, 1000*x.WallS/length.Seconds(), 100*x.Service)
		}
		return w.Flush()
	}
	return c
}

// plotCost draws time against servers.
func plotCost(path string, all []costed) error {
	p := canvas("Time of one replication by the size of the fleet", "servers")
	p.Y.Label.Text = "seconds"
	var pts plotter.XYs
	for _, x := range all {
		pts = append(pts, plotter.XY{X: float64(x.Servers), Y: x.WallS})
	}
	p.Y.Max = 0.1
	for _, x := range pts {
		p.Y.Max = max(p.Y.Max, 1.05*x.Y)
	}
	line, dots, err := plotter.NewLinePoints(pts)
	if err != nil {
		return err
	}
	line.Color, dots.Color = ink, ink
	p.Add(line, dots)
	return save(p, path)
}
