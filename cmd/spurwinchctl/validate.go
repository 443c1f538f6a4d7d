package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"

	"spurwinch/internal/lab/replay"
	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/planner"
	"spurwinch/internal/plan/workload"
)

// verdict is one fleet's forecast beside what a replay measured.
type verdict struct {
	Fleet      int                   `json:"fleet"`
	What       string                `json:"what"`
	Servers    int                   `json:"servers"`
	Sessions   int                   `json:"sessions"`
	Asked      float64               `json:"asked"` // cores in the mean over cores, without groups
	Forecast   float64               `json:"forecast"`
	SD         float64               `json:"forecast_sd"` // of one evening
	Measured   float64               `json:"measured"`
	MeasuredSD float64               `json:"measured_sd"` // of one replay
	Error      float64               `json:"error"`       // of the measured
	Classes    map[string][2]float64 `json:"classes"`     // forecast, measured
	Target     float64               `json:"target"`
	LeastSaid  int                   `json:"least_forecast"`
	LeastWas   int                   `json:"least_measured"`
	LagMS      float64               `json:"lag_99_ms"`
	Broken     string                `json:"broken,omitempty"`
}

type validating struct {
	fleets, reps, only, parallel, replays int
	seed                                  uint64
	length                                time.Duration
	base, node, keep                      string
	size, json                            bool
	target                                float64
}

func validateCommand() *cobra.Command {
	var v validating
	c := &cobra.Command{Use: "validate --fleets N --seed S", Short: "Check forecasts against replays on loopback", Args: cobra.NoArgs,
		Long: "Draws small fleets; for each, has real nodes capture a load, forecasts from the capture what the fleet will make of it,\nthen plays the same load through real nodes against stand-in servers, and prints both."}
	f := c.Flags()
	f.IntVar(&v.fleets, "fleets", 8, "how many")
	f.IntVar(&v.only, "only", -1, "this one of them only, from 0")
	f.Uint64Var(&v.seed, "seed", 1, "what the fleets are drawn from")
	f.IntVar(&v.reps, "reps", 8, "replications behind each forecast")
	f.DurationVar(&v.length, "length", 30*time.Second, "of each load; replays take as long")
	f.IntVar(&v.replays, "replays", 1, "replays behind each measured figure; one by itself varies")
	f.IntVar(&v.parallel, "parallel", 2, "replays at once; on a machine too busy they measure the machine")
	f.StringVar(&v.base, "fleet", "", "`FLEET` file that the small ones are drawn after (default: the one built in)")
	f.StringVar(&v.node, "node", "", "the spurwinch `PROGRAM` (default: the one beside this program)")
	f.StringVar(&v.keep, "keep", "", "`DIR` for captures, configurations and logs (default: a temporary one, removed)")
	f.BoolVar(&v.size, "size", true, "check the least number of servers as well")
	f.Float64Var(&v.target, "target", 0.9, "service that the least number of servers is for")
	f.BoolVar(&v.json, "json", false, "print JSON")
	c.RunE = func(c *cobra.Command, _ []string) error { return v.run(c) }
	return c
}

func (v *validating) run(c *cobra.Command) error {
	switch {
	case v.fleets < 1 || v.fleets > 1000:
		return fmt.Errorf("--fleets %d: 1 to 1000 are wanted", v.fleets)
	case v.replays < 1 || v.replays > 100:
		return fmt.Errorf("--replays %d: 1 to 100 are wanted", v.replays)
	case v.length < 10*time.Second || v.length > 10*time.Minute:
		return fmt.Errorf("--length %v: 10s to 10m are wanted", v.length)
	case v.parallel < 1 || v.parallel > 64:
		return fmt.Errorf("--parallel %d: 1 to 64 are wanted", v.parallel)
	}
	base := planner.TrialBase()
	if v.base != "" {
		var err error
		if base, err = fleet.Read(v.base); err != nil {
			return err
		}
	}
	if v.node == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		v.node = filepath.Join(filepath.Dir(self), "spurwinch")
	}
	if _, err := os.Stat(v.node); err != nil {
		return fmt.Errorf("node program: %w (build it beside this one, or name it by --node)", err)
	}
	dir := v.keep
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "spurwinch-validate-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	} else if old, _ := os.ReadDir(dir); len(old) > 0 {
		return fmt.Errorf("--keep %s: holds %d files already; captures of two runs must not be read as one: an empty directory is wanted", dir, len(old))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	bar := newProgress(c)
	out := make([]verdict, v.fleets)
	errs := make([]error, v.fleets)
	slots := make(chan struct{}, v.parallel)
	var wait sync.WaitGroup
	var mu sync.Mutex
	say := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		bar.say(format, args...)
	}
	for i := range v.fleets {
		if v.only >= 0 && i != v.only {
			continue
		}
		wait.Add(1)
		slots <- struct{}{}
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			out[i], errs[i] = v.one(ctx, base, i, filepath.Join(dir, fmt.Sprintf("fleet-%d", i)), say)
		}()
	}
	wait.Wait()
	bar.done()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if v.only >= 0 && v.only < len(out) {
		out = out[v.only : v.only+1]
	}
	if v.json {
		return printJSON(c.OutOrStdout(), out)
	}
	v.print(c, out)
	return nil
}

// one checks one fleet.
func (v *validating) one(ctx context.Context, base *fleet.Fleet, i int, dir string, say func(string, ...any)) (verdict, error) {
	t := planner.DrawTrial(base, v.seed, i, v.length)
	r := verdict{Fleet: i, What: t.What, Servers: t.Fleet.Count(), Sessions: len(t.Load.Sessions), Asked: t.Load.Cores(t.Fleet) / t.Fleet.Cores(),
		Classes: map[string][2]float64{}, Target: v.target}
	seed := workload.Mix(v.seed*100 + uint64(i))
	play := func(f *fleet.Fleet, what string, seed uint64, o replay.Options) (replay.Result, error) {
		say("fleet %d (%s): %s, %v", i, t.What, what, v.length)
		o.Node, o.Seed, o.Dir = v.node, seed, filepath.Join(dir, what)
		if err := os.MkdirAll(o.Dir, 0o755); err != nil {
			return replay.Result{}, err
		}
		res, err := replay.Play(ctx, f, t.Load, o)
		r.LagMS = max(r.LagMS, float64(res.Lag.Microseconds())/1000)
		return res, err
	}
	// The load is captured where there is room for it, as on an evening before the one that is planned.
	roomy := t.Fleet.Resize(3*t.Fleet.Count() + 4)
	got, err := play(roomy, "capture", seed, replay.Options{Capture: true})
	if err != nil {
		return r, err
	}
	seen, err := workload.ReadCaptures(got.Captures)
	if err != nil {
		return r, err
	}
	if len(seen.Faults) > 0 {
		return r, fmt.Errorf("fleet %d: %v", i, seen.Faults[0])
	}
	wanted, err := seen.Sessions(t.Fleet, seed)
	if err != nil {
		return r, err
	}
	wanted.Length = v.length
	say("fleet %d (%s): forecast", i, t.What)
	lose := planner.Options{Seed: seed, Lose: t.Lose, LoseAt: t.LoseAt}
	said, err := planner.Replicate(t.Fleet, wanted, lose, v.reps, nil)
	if err != nil {
		return r, err
	}
	// One replay is one evening: it varies by itself, by the forecast's ±. Several tell chance from error.
	var was []float64
	for k, c := range t.Fleet.Classes {
		r.Classes[c.Name] = [2]float64{said.Classes[t.Fleet.Classes[k].Name].Mean, 0}
	}
	for n := range v.replays {
		res, err := play(t.Fleet, fmt.Sprintf("replay-%d", n), seed+1+uint64(1000*n), replay.Options{Lose: t.Lose, LoseAt: t.LoseAt})
		if err != nil {
			return r, err
		}
		was = append(was, res.Service)
		for k, c := range t.Fleet.Classes {
			x := r.Classes[c.Name]
			x[1] += res.Classes[k] / float64(v.replays)
			r.Classes[c.Name] = x
		}
	}
	r.Forecast, r.SD = said.Service.Mean, said.Service.SD
	r.Measured, r.MeasuredSD = stat.MeanStdDev(was, nil)
	if v.replays == 1 {
		r.MeasuredSD = 0
	}
	r.Error = math.Abs(r.Forecast-r.Measured) / max(r.Measured, 0.01)
	if !v.size {
		return r, nil
	}
	return r, v.least(t, wanted, &r, seed, play, say)
}

// least compares the least number of servers for the target with what replays of that many, and of its neighbours, show.
func (v *validating) least(t planner.Trial, wanted *workload.Load, r *verdict, seed uint64, play func(*fleet.Fleet, string, uint64, replay.Options) (replay.Result, error), say func(string, ...any)) error {
	say("fleet %d (%s): least servers", r.Fleet, t.What)
	n, err := planner.LeastTotal(t.Fleet, wanted, planner.SizeOptions{Options: planner.Options{Seed: seed}, Target: v.target, Reps: v.reps, Most: 200})
	if err != nil {
		return err
	}
	r.LeastSaid = n
	enough := map[int]bool{}
	check := func(n int) (bool, error) {
		if n < 1 {
			return false, nil
		}
		if ok, known := enough[n]; known {
			return ok, nil
		}
		res, err := play(t.Fleet.Resize(n), fmt.Sprintf("size-%d", n), seed+uint64(n), replay.Options{})
		enough[n] = res.Service >= v.target
		return enough[n], err
	}
	ok, err := check(n)
	for step := 0; err == nil && step < 4; step++ {
		if ok {
			if ok, err = check(n - 1); ok {
				n--
				continue
			}
			break
		}
		n++
		if ok, err = check(n); ok {
			break
		}
	}
	r.LeastWas = n
	return err
}

func (v *validating) print(c *cobra.Command, all []verdict) {
	out := c.OutOrStdout()
	fmt.Fprintf(out, "Forecasts against replays on loopback: seed %d, loads of %v, %d replications behind each forecast\n\n", v.seed, v.length, v.reps)
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "fleet\twhat\tservers\tsessions\tload asked\tforecast\t±\tmeasured\t±\terror\tleast said\tmeasured\tlag 99%\t")
	var errs []float64
	off := 0
	for _, r := range all {
		fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%.0f%%\t%.1f%%\t%.1f\t%.1f%%\t%.1f\t%.1f%%\t%d\t%d\t%.1f ms\t\n", r.Fleet, r.What, r.Servers, r.Sessions, 100*r.Asked,
			100*r.Forecast, 100*r.SD, 100*r.Measured, 100*r.MeasuredSD, 100*r.Error, r.LeastSaid, r.LeastWas, r.LagMS)
		errs = append(errs, r.Error)
		if d := r.LeastSaid - r.LeastWas; d > 1 || d < -1 {
			off++
		}
	}
	w.Flush()
	fmt.Fprintln(out, "\nBy class, forecast and measured:")
	w = tabwriter.NewWriter(out, 2, 0, 2, ' ', tabwriter.AlignRight)
	var names []string
	for k := range all[0].Classes {
		names = append(names, k)
	}
	sort.Strings(names)
	fmt.Fprint(w, "fleet\t")
	for _, k := range names {
		fmt.Fprintf(w, "%s\t\t", k)
	}
	fmt.Fprintln(w)
	for _, r := range all {
		fmt.Fprintf(w, "%d\t", r.Fleet)
		for _, k := range names {
			fmt.Fprintf(w, "%.1f%%\t%.1f%%\t", 100*r.Classes[k][0], 100*r.Classes[k][1])
		}
		fmt.Fprintln(w)
	}
	w.Flush()
	sort.Float64s(errs)
	fmt.Fprintf(out, "\nError of the service figure: median %.1f%%, most %.1f%%", 100*errs[len(errs)/2], 100*errs[len(errs)-1])
	if v.size {
		fmt.Fprintf(out, "; the least number is off by more than one on %d of %d fleets", off, len(all))
	}
	fmt.Fprintln(out)
}
