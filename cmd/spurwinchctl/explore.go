package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/spf13/cobra"

	"spurwinch/internal/lab/faults"
	"spurwinch/internal/lab/simulation"
)

// explored is one schedule's end, as workers tell it.
type explored struct {
	Seed       uint64             `json:"seed"`
	Scenario   string             `json:"scenario"`
	Violations []faults.Violation `json:"violations"`
	Seen       map[string]int     `json:"seen"`
	Figures    faults.Figures     `json:"figures"`
	Bytes      float64            `json:"bytes_node_s"`
}

func exploreCommand() *cobra.Command {
	var o simulation.Options
	var seeds, policy string
	var worker, asJSON bool
	c := &cobra.Command{Use: "explore failover|policy", Short: "Play schedules of faults in simulated time and check each history",
		Long: "Plays one schedule for each seed: the decision packages as they are in service, with network, clocks, disks and crashes by seed.\n" +
			"Status 0: no rule broken; 1: one is, with its seed.",
		Args: cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs), ValidArgs: []string{"failover", "policy"},
		RunE: func(c *cobra.Command, args []string) error {
			from, to, err := seedRange(seeds)
			if err != nil {
				return err
			}
			if o.Faults == "" {
				o.Faults = map[string]string{"failover": "drawn", "policy": "policy-drawn"}[args[0]]
			} else if args[0] == "policy" && !strings.HasPrefix(o.Faults, "policy-") {
				o.Faults = "policy-" + o.Faults
			}
			if _, err := simulation.Find(o.Faults); err != nil {
				return err
			}
			if o.Policy = simulation.Policy(policy); policy != "common" && policy != "each" && policy != "static" {
				return fmt.Errorf("--policy %q: common, each or static is wanted", policy)
			}
			if worker {
				return exploreHere(c.OutOrStdout(), o, from, to)
			}
			return exploreAll(c, o, from, to, asJSON)
		}}
	c.Flags().StringVar(&seeds, "seeds", "1..20", "`A..B`, one schedule each")
	c.Flags().IntVar(&o.Nodes, "nodes", 300, "nodes")
	c.Flags().IntVar(&o.Zones, "zones", 9, "zones")
	c.Flags().IntVar(&o.Regions, "regions", 3, "regions")
	c.Flags().IntVar(&o.Hosts, "hosts", 4, "hosts in each zone")
	c.Flags().IntVar(&o.Bears, "bears", 0, "connections that a host bears; 0: by the number of nodes")
	c.Flags().Float64Var(&o.Use, "use", 0.45, "part of what all hosts bear that clients ask for")
	c.Flags().Float64Var(&o.Loss, "loss", 0.01, "part of the messages that are lost")
	c.Flags().DurationVar(&o.Length, "length", 0, "of a schedule, simulated")
	c.Flags().StringVar(&o.Faults, "faults", "", "a scenario's name; drawn: by seed")
	c.Flags().StringVar(&o.Mutation, "mutation", "", "break the program in this way")
	c.Flags().StringVar(&policy, "policy", "common", "common, each or static")
	c.Flags().BoolVar(&asJSON, "json", false, "the result as JSON")
	c.Flags().BoolVar(&worker, "worker", false, "")
	c.Flags().MarkHidden("worker")
	return c
}

func seedRange(s string) (from, to uint64, err error) {
	a, b, ok := strings.Cut(s, "..")
	if from, err = strconv.ParseUint(a, 10, 64); err == nil && ok {
		to, err = strconv.ParseUint(b, 10, 64)
	}
	if err != nil || !ok || to < from || to-from >= 1e6 {
		return 0, 0, fmt.Errorf("--seeds %q: A..B is wanted, as in 1..2000", s)
	}
	return from, to, nil
}

// exploreHere plays schedules one after another, a line of JSON each: Raft draws from the process's one source of chance.
func exploreHere(out io.Writer, o simulation.Options, from, to uint64) error {
	enc := json.NewEncoder(out)
	for seed := from; seed <= to; seed++ {
		o.Seed = seed
		w, v, err := simulation.Play(o)
		if err != nil {
			return err
		}
		if err := enc.Encode(explored{seed, o.Faults, v.Violations, v.Seen, v.Figures, w.Rate()}); err != nil {
			return err
		}
	}
	return nil
}

// exploreAll has a process for each core play its part of the seeds.
func exploreAll(c *cobra.Command, o simulation.Options, from, to uint64, asJSON bool) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	var all []explored
	var failed error
	next := from
	// On an interrupt schedules under way are played to their end, and what was played is told.
	ctx, stopped := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stopped()
	for range runtime.NumCPU() {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				mu.Lock()
				a := next
				b := min(to, a+min(4, (to-from)/uint64(4*runtime.NumCPU())))
				next = b + 1
				stop := a > to || failed != nil || ctx.Err() != nil
				mu.Unlock()
				if stop {
					return
				}
				args := []string{"lab", "explore", "failover", "--worker", "--seeds", fmt.Sprintf("%d..%d", a, b), "--nodes", strconv.Itoa(o.Nodes),
					"--zones", strconv.Itoa(o.Zones), "--regions", strconv.Itoa(o.Regions), "--hosts", strconv.Itoa(o.Hosts), "--bears", strconv.Itoa(o.Bears),
					"--use", fmt.Sprint(o.Use), "--loss", fmt.Sprint(o.Loss), "--length", o.Length.String(), "--faults", o.Faults, "--policy", string(o.Policy),
					"--mutation", o.Mutation}
				cmd := exec.Command(self, args...)
				cmd.Stderr = os.Stderr
				cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL} // a terminal's interrupt is for this process
				cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
				out, err := cmd.Output()
				mu.Lock()
				if err != nil {
					failed = fmt.Errorf("seeds %d..%d: %w", a, b, err)
				}
				for _, l := range strings.Split(strings.TrimSpace(string(out)), "\n") {
					var e explored
					if json.Unmarshal([]byte(l), &e) == nil && e.Seed > 0 {
						all = append(all, e)
					}
				}
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	if failed != nil {
		return failed
	}
	if ctx.Err() != nil {
		fmt.Fprintf(os.Stderr, "interrupted: %d of %d schedules were played\n", len(all), to-from+1)
	}
	var sum struct {
		Schedules  int        `json:"schedules"`
		Violations int        `json:"violations"`
		Served     float64    `json:"served"`
		Crossed    float64    `json:"crossed"`
		Regions    float64    `json:"regions"`
		Worst      float64    `json:"worst"`
		Peak       float64    `json:"peak"`
		Reversals  int        `json:"reversals"`
		SpreadHalf float64    `json:"spread_p50_s"` // from the first node that takes a plan to the others, in the mean
		Spread     float64    `json:"spread_p99_s"`
		Bytes      float64    `json:"bytes_node_s"`
		OldPolicy  float64    `json:"old_policy_s"` // the longest time that a policy was in use after the next one was decided
		ChangeHalf float64    `json:"change_p50_s"` // in the mean over schedules
		Change99   float64    `json:"change_p99_s"`
		ChangeMost float64    `json:"change_longest_s"`
		Policies   int        `json:"policies"`
		GivenUp    int        `json:"given_up"`
		Commands   int        `json:"commands"` // of which an order was found
		Broken     []explored `json:"broken"`
	}
	sum.Worst = 1
	for _, e := range all {
		sum.Schedules++
		sum.Violations += len(e.Violations)
		sum.Served += e.Figures.Served / float64(len(all))
		sum.Crossed += e.Figures.Crossed / float64(len(all))
		sum.Regions += e.Figures.Regions / float64(len(all))
		sum.Bytes += e.Bytes / float64(len(all))
		sum.SpreadHalf += e.Figures.SpreadHalf / float64(len(all))
		sum.Spread += e.Figures.Spread / float64(len(all))
		sum.Worst, sum.Peak, sum.Reversals = min(sum.Worst, e.Figures.Worst), max(sum.Peak, e.Figures.PeakOfRoom), sum.Reversals+e.Figures.Reversals
		sum.ChangeHalf, sum.Change99 = sum.ChangeHalf+e.Figures.ChangeHalf/float64(len(all)), sum.Change99+e.Figures.Change99/float64(len(all))
		sum.ChangeMost = max(sum.ChangeMost, e.Figures.ChangeMost)
		sum.OldPolicy, sum.Policies, sum.GivenUp = max(sum.OldPolicy, e.Figures.OldPolicy), sum.Policies+e.Seen["policies"], sum.GivenUp+e.Seen["change given up"]
		sum.Commands += e.Seen["commands in order"]
		if len(e.Violations) > 0 && len(sum.Broken) < 20 {
			sum.Broken = append(sum.Broken, e)
		}
	}
	out := c.OutOrStdout()
	if asJSON {
		raw, err := json.MarshalIndent(sum, "", "  ")
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%s\n", raw)
	} else {
		if sum.Policies > 0 {
			fmt.Fprintf(out, "%d schedules: %d policies decided, %d changes given up, %d commands in an order that fits; the old one in use for %.2f s at most\n",
				sum.Schedules, sum.Policies, sum.GivenUp, sum.Commands, sum.OldPolicy)
			fmt.Fprintf(out, "from a command to a policy in force at the last node: p50 %.2f s, p99 %.2f s (means), longest %.2f s\n", sum.ChangeHalf, sum.Change99, sum.ChangeMost)
		}
		fmt.Fprintf(out, "%d schedules: %.2f%% served, %.2f%% crossed zones, %.2f%% regions; fullest zone %.0f%%, %d reversals\n", sum.Schedules,
			100*sum.Served, 100*sum.Crossed, 100*sum.Regions, 100*sum.Peak, sum.Reversals)
		fmt.Fprintf(out, "a plan reaches the others %.3f s (p50), %.3f s (p99) after the first; %.0f bytes a node and second\n", sum.SpreadHalf, sum.Spread, sum.Bytes)
		for _, e := range sum.Broken {
			for _, x := range e.Violations[:min(3, len(e.Violations))] {
				fmt.Fprintf(out, "seed %d at %.2f s: %s: %s\n", e.Seed, x.At, x.Rule, x.What)
			}
		}
		fmt.Fprintf(out, "violations: %d\n", sum.Violations)
	}
	if sum.Violations > 0 {
		return statusError{1, fmt.Sprintf("%d rules broken", sum.Violations)}
	}
	return nil
}
