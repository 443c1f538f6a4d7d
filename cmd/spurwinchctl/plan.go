package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"runtime/debug"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/planner"
	"spurwinch/internal/plan/workload"
)

// mostMemory is what the collector works to stay under; four runs of 50,000 connections at once take most of it.
const mostMemory = 940 << 20

// planning is what the plan commands share.
type planning struct {
	loads []string
	fleet string
	scale float64
	seed  uint64
	reps  int
	json  bool
	plot  string
	cold  bool

	conf *fleet.Fleet
	load *workload.Load
}

func (p *planning) flags(c *cobra.Command) {
	f := c.Flags()
	f.StringSliceVar(&p.loads, "load", nil, "`CAPTURE` files, or patterns, of all nodes")
	f.StringVar(&p.fleet, "fleet", "", "the `FLEET` file")
	f.Float64Var(&p.scale, "scale", 1, "times the captured load")
	f.Uint64Var(&p.seed, "seed", 1, "of all chance: the same seed gives the same answer")
	f.IntVar(&p.reps, "reps", 0, "replications behind each figure, each with its own chance (default: 8, 4 over 50000 sessions, 2 over 200000)")
	f.BoolVar(&p.json, "json", false, "print JSON")
	f.StringVar(&p.plot, "plot", "", "draw to `FILE.svg` or FILE.png")
	f.BoolVar(&p.cold, "all-cold", false, "all servers start with the load")
	c.MarkFlagRequired("load")
	c.MarkFlagRequired("fleet")
}

func (p *planning) read(errs io.Writer) (err error) {
	if !(p.scale > 0 && p.scale <= 1000) {
		return fmt.Errorf("--scale %v: a factor over 0, up to 1000, is wanted", p.scale)
	}
	if p.reps < 0 || p.reps > 1000 {
		return fmt.Errorf("--reps %d: 1 to 1000 are wanted", p.reps)
	}
	if p.plot != "" && !strings.HasSuffix(p.plot, ".svg") && !strings.HasSuffix(p.plot, ".png") {
		return fmt.Errorf("--plot %s: a name that ends in .svg or .png is wanted", p.plot)
	}
	debug.SetGCPercent(400) // as long as the limit is far; the collector took a third of a long run
	debug.SetMemoryLimit(mostMemory)
	if p.conf, err = fleet.Read(p.fleet); err != nil {
		return err
	}
	files, err := expand(p.loads)
	if err != nil {
		return err
	}
	seen, err := workload.ReadCaptures(files)
	if err != nil {
		return err
	}
	tellFaults(errs, seen)
	if p.load, err = seen.Sessions(p.conf, p.seed); err != nil {
		return err
	}
	if p.scale != 1 {
		p.load = p.load.Scale(p.scale, p.seed)
	}
	if p.reps == 0 {
		switch n := len(p.load.Sessions); { // large loads vary less, and take longer
		case n > 200000:
			p.reps = 2
		case n > 50000:
			p.reps = 4
		default:
			p.reps = 8
		}
	}
	if len(p.load.Sessions) == 0 {
		fmt.Fprintln(errs, "note: the capture holds no request: nothing was wanted, and all of it is served")
	}
	return nil
}

func (p *planning) options() planner.Options { return planner.Options{Seed: p.seed, AllCold: p.cold} }

// progress tells on standard error how far long work is, where that is a terminal.
type progress struct {
	out io.Writer
	on  bool
	mu  sync.Mutex
}

func newProgress(c *cobra.Command) *progress {
	i, err := os.Stderr.Stat()
	return &progress{out: c.ErrOrStderr(), on: err == nil && i.Mode()&os.ModeCharDevice != 0}
}

func (p *progress) say(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.on {
		fmt.Fprintf(p.out, "\r\033[K"+format, args...)
	}
}

func (p *progress) done() { p.say("") }

func planCommand() *cobra.Command {
	c := &cobra.Command{Use: "plan", Short: "Forecast what a fleet makes of a captured load"}
	c.AddCommand(forecastCommand(), sizeCommand(), loseCommand(), validateCommand(), costCommand())
	return c
}

func printJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func percent(f planner.Figure) string {
	return fmt.Sprintf("%5.1f%%  (%.1f to %.1f; one evening ±%.1f)", 100*f.Mean, 100*f.Low, 100*f.High, 100*f.SD)
}

func (p *planning) describe(out io.Writer) {
	fmt.Fprintf(out, "Load   %d sessions in %.0f s, %.0f standing, %.1f cores asked in the mean, without groups\n", len(p.load.Sessions),
		p.load.Length.Seconds(), p.load.Standing(), p.load.Cores(p.conf))
	fmt.Fprintf(out, "Fleet  %s: %d servers, %.1f cores of the yardstick, %d centres\n", p.conf.General.Name, p.conf.Count(), p.conf.Cores(), len(p.conf.Centres))
}

func forecastCommand() *cobra.Command {
	var p planning
	c := &cobra.Command{Use: "forecast --load CAPTURE --fleet FLEET", Short: "Service to expect, and what breaks first", Args: cobra.NoArgs}
	p.flags(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := p.read(c.ErrOrStderr()); err != nil {
			return err
		}
		bar := newProgress(c)
		n := 0
		// What breaks first is looked for beside the replications: on a large load those leave a core free.
		type answer struct {
			b   planner.Broken
			err error
		}
		breaks := make(chan answer, 1)
		go func() {
			b, err := planner.FirstToBreak(p.conf, p.load, p.options(), func(m float64) { bar.say("what breaks first: %.2f times the load", m) })
			breaks <- answer{b, err}
		}()
		f, err := planner.Replicate(p.conf, p.load, p.options(), p.reps, func() { n++; bar.say("%d of %d replications done", n, p.reps) })
		first := <-breaks
		if err = errors.Join(err, first.err); err != nil {
			return err
		}
		b := first.b
		bar.done()
		if p.plot != "" {
			if err := p.plotLoad(f, bar); err != nil {
				return err
			}
		}
		if p.json {
			return printJSON(c.OutOrStdout(), struct {
				planner.Forecast
				First planner.Broken `json:"first_to_break"`
			}{f, jsonSafe(b)})
		}
		out := c.OutOrStdout()
		p.describe(out)
		fmt.Fprintf(out, "\nService, worth of well-served seconds over all asked for (95%% over %d replications)\n", p.reps)
		w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
		fmt.Fprintf(w, "  in all\t%s\n  worst 10 s\t%s\tfrom %.0f s on\n", percent(f.Service), percent(f.Worst), f.WorstAt)
		for _, k := range p.conf.Classes {
			fmt.Fprintf(w, "  class %s\t%s\n", k.Name, percent(f.Classes[k.Name]))
		}
		for _, e := range p.conf.Editions {
			fmt.Fprintf(w, "  edition %s\t%s\n", e.Name, percent(f.Editions[e.Name]))
		}
		w.Flush()
		fmt.Fprintf(out, "\nNo placement can serve more than %.1f%%\n", 100*f.Bound.Service)
		for _, s := range f.Bound.Cannot {
			fmt.Fprintf(out, "  can't work: %s\n", s)
		}
		fmt.Fprintln(out, "\nFirst to break")
		if b.None {
			fmt.Fprintf(out, "  nothing, up to %.0f times the load\n", b.Multiple)
		} else {
			fmt.Fprintf(out, "  %s, at %.2f times the load, %.1f s in, at %s; service is then %.1f%%\n", b.Limit, b.Multiple, b.AtS, b.Where, 100*b.Service)
		}
		fmt.Fprintln(out, "\nLimits, most that was used of each (the middle replication)")
		w = tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
		for _, s := range f.Limits {
			if s.Peak > 0 {
				fmt.Fprintf(w, "  %s\t%.0f%%\tat %.1f s\t%s\n", s.Limit, 100*s.Peak, s.AtS, s.Where)
			}
		}
		return w.Flush()
	}
	return c
}

// jsonSafe has no number that JSON lacks.
func jsonSafe(b planner.Broken) planner.Broken {
	if math.IsInf(b.Multiple, 0) {
		b.Multiple = -1
	}
	return b
}

func sizeCommand() *cobra.Command {
	var p planning
	var target float64
	var most int
	var window time.Duration
	c := &cobra.Command{Use: "size --load CAPTURE --fleet FLEET --target 0.98", Short: "The least servers of each kind that a target needs", Args: cobra.NoArgs}
	p.flags(c)
	c.Flags().Float64Var(&target, "target", 0.98, "service to reach, over 0 and under 1")
	c.Flags().IntVar(&most, "most", 2000, "servers to try at most")
	c.Flags().DurationVar(&window, "window", 10*time.Minute, "a load longer than 1.5 times this is searched on its busiest stretch of it (0: the whole)")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if !(target > 0 && target < 1) {
			return fmt.Errorf("--target %v: a part over 0 and under 1 is wanted", target)
		}
		if err := p.read(c.ErrOrStderr()); err != nil {
			return err
		}
		bar := newProgress(c)
		s, err := planner.LeastServers(p.conf, p.load, planner.SizeOptions{Options: p.options(), Target: target, Reps: p.reps, Most: most,
			Window: window, Tell: func(t string) { bar.say("%s", t) }})
		if err != nil {
			return err
		}
		bar.done()
		if p.plot != "" {
			if err := plotSizes(p.plot, s); err != nil {
				return err
			}
		}
		out := c.OutOrStdout()
		if p.json {
			if err := printJSON(out, s); err != nil {
				return err
			}
		} else {
			p.describe(out)
			printSizing(out, s)
		}
		if !s.Reached {
			return statusError{status: 1}
		}
		return nil
	}
	return c
}

func printSizing(out io.Writer, s planner.Sizing) {
	fmt.Fprintf(out, "\nTarget: service of %.1f%%, over the load from %.0f to %.0f s\n", 100*s.Target, s.FromS, s.ToS)
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	for _, t := range s.Tried {
		fmt.Fprintf(w, "  %d servers\t%s\t%s\n", t.Servers, sizeText(t), kindText(t.Kinds))
	}
	w.Flush()
	if !s.Reached {
		fmt.Fprintf(out, "Not reachable: %s\n", s.Why)
		return
	}
	fmt.Fprintf(out, "\nLeast: %d servers (%s), service %s\n", s.Least.Servers, kindText(s.Least.Kinds), sizeText(s.Least))
	var names []string
	for k := range s.OneBelow {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		fmt.Fprintf(out, "  one %s less: %s\n", k, sizeText(s.OneBelow[k]))
	}
	if s.Whole != nil {
		fmt.Fprintf(out, "  the least over the whole load: %s\n", percent(*s.Whole))
	}
}

func sizeText(s planner.Size) string {
	if s.AtMost {
		return fmt.Sprintf("under %.2f%%, not played to its end", 100*s.Service.Mean)
	}
	f := s.Service // to the hundredth: sizes differ by less than a tenth
	return fmt.Sprintf("%5.2f%%  (%.1f to %.1f; one evening ±%.1f)", 100*f.Mean, 100*f.Low, 100*f.High, 100*f.SD)
}

func kindText(m map[string]int) string {
	var all []string
	for k, n := range m {
		all = append(all, fmt.Sprintf("%d %s", n, k))
	}
	sort.Strings(all)
	return strings.Join(all, ", ")
}

func loseCommand() *cobra.Command {
	var p planning
	var centre string
	var at time.Duration
	c := &cobra.Command{Use: "lose --load CAPTURE --fleet FLEET --centre NAME", Short: "What losing a data centre does", Args: cobra.NoArgs}
	p.flags(c)
	c.Flags().StringVar(&centre, "centre", "", "the data centre that is lost, its servers and nodes")
	c.Flags().DurationVar(&at, "at", 0, "when, after the load's beginning (default: half of it)")
	c.MarkFlagRequired("centre")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := p.read(c.ErrOrStderr()); err != nil {
			return err
		}
		if p.conf.Centre(centre) < 0 {
			var names []string
			for _, k := range p.conf.Centres {
				names = append(names, k.Name)
			}
			return fmt.Errorf("--centre %q: the fleet file has %s", centre, strings.Join(names, ", "))
		}
		if at <= 0 {
			at = p.load.Length / 2
		}
		if at >= p.load.Length {
			return fmt.Errorf("--at %v: the load is %v long", at, p.load.Length.Round(time.Second))
		}
		o := p.options()
		o.Lose, o.LoseAt = centre, at
		bar := newProgress(c)
		l, err := planner.Lose(p.conf, p.load, o, p.reps, bar.say)
		if err != nil {
			return err
		}
		bar.done()
		if p.plot != "" {
			if err := plotSeries(p.plot, "Service as "+centre+" is lost", l.Series, at); err != nil {
				return err
			}
		}
		if p.json {
			return printJSON(c.OutOrStdout(), l)
		}
		out := c.OutOrStdout()
		p.describe(out)
		fmt.Fprintf(out, "\n%s is lost %.0f s in: %d of %d servers, %d of %d nodes\n", centre, at.Seconds(), l.ServersLost, p.conf.Count(), l.NodesLost, l.Nodes)
		w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
		fmt.Fprintf(w, "  \tbefore\tstorm of returns\tafter\twithout the loss\n")
		fmt.Fprintf(w, "  \t0 to %.0f s\t%.0f s on, %.0f s\tfrom %.0f s on\tafter\n", at.Seconds(), at.Seconds(), l.StormS, at.Seconds()+l.StormS)
		row := func(name string, x planner.Phases) {
			fmt.Fprintf(w, "  %s\t%5.1f%%\t%5.1f%%\t%5.1f%%\t%5.1f%%\n", name, 100*x.Before, 100*x.Storm, 100*x.After, 100*x.Whole)
		}
		row("in all", l.All)
		for _, k := range p.conf.Classes {
			row("class "+k.Name, l.Classes[k.Name])
		}
		w.Flush()
		fmt.Fprintf(out, "Broken connections: %.0f; most new requests in a second: %.0f before, %.0f after the loss\n", l.Breaks, l.PeakBefore, l.PeakAfter)
		return nil
	}
	return c
}
