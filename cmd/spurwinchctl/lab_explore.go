package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"spurwinch/internal/lab/faults"
	"spurwinch/internal/lab/simulation"
)

// Arguments of lab explore: the part of the program that the schedules test.
const (
	exploreFailover = "failover"
	explorePolicy   = "policy"
)

// policyScenarioPrefix is the prefix of the names of scenarios that change the policy.
const policyScenarioPrefix = "policy-"

// scheduleResult is the outcome of one schedule. Worker processes write it as a line of JSON.
type scheduleResult struct {
	Seed       uint64             `json:"seed"`
	Scenario   string             `json:"scenario"`
	Violations []faults.Violation `json:"violations"`
	Seen       map[string]int     `json:"seen"`
	Figures    faults.Figures     `json:"figures"`
	Bytes      float64            `json:"bytes_node_s"`
}

// exploration plays a range of schedules. Its fields are the flags of lab explore.
type exploration struct {
	options simulation.Options
	seeds   string
	policy  string
	worker  bool // play the schedules in this process, not in worker processes
	asJSON  bool
}

func exploreCommand() *cobra.Command {
	var settings exploration
	command := &cobra.Command{
		Use:   "explore failover|policy",
		Short: "Run random fault schedules in simulated time and check each history",
		Long: "Runs one schedule for each seed. All decisions are made by the same code as in a real node; the seed\n" +
			"determines the simulated network, clocks, disks and crashes.\n" +
			"Exit status: 0 if no rule is broken, 1 if a schedule breaks a rule (its seed is printed).",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{exploreFailover, explorePolicy},
		RunE: func(command *cobra.Command, args []string) error {
			return settings.run(command.OutOrStdout(), args[0])
		},
	}
	settings.addFlags(command)
	return command
}

func (e *exploration) addFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&e.seeds, "seeds", "1..20", "range `A..B` of seeds, one schedule for each")
	flags.IntVar(&e.options.Nodes, "nodes", 300, "number of nodes")
	flags.IntVar(&e.options.Zones, "zones", 9, "number of zones")
	flags.IntVar(&e.options.Regions, "regions", 3, "number of regions")
	flags.IntVar(&e.options.ServersPerZone, "hosts", 4, "number of hosts in each zone")
	flags.IntVar(&e.options.ConnectionsPerServer, "bears", 0,
		"connections that a host can carry; 0: derived from the number of nodes")
	flags.Float64Var(&e.options.Utilization, "use", 0.45,
		"load that clients request, as a fraction of the capacity of all hosts")
	flags.Float64Var(&e.options.Loss, "loss", 0.01, "fraction of the messages between nodes that is lost")
	flags.DurationVar(&e.options.Length, "length", 0,
		"simulated length of each schedule; 0: 40s for failover, 45s for policy, more if the scenario needs it")
	flags.StringVar(&e.options.Scenario, "faults", "", "the `NAME` of a scenario; drawn: random faults by seed")
	flags.StringVar(&e.options.Mutation, "mutation", "",
		"label of this run, such as the name of a mutation; it has no effect")
	flags.StringVar(&e.policy, "policy", string(simulation.CommonPlan),
		"who places clients: common (the fleet's plan), each (each node) or static (a fixed order of zones)")
	flags.BoolVar(&e.asJSON, "json", false, "print the result as JSON")
	flags.BoolVar(&e.worker, "worker", false, "")
	if err := flags.MarkHidden("worker"); err != nil {
		panic(err) // can't happen: the flag is defined above
	}
}

func (e *exploration) run(out io.Writer, subject string) error {
	first, last, err := parseSeeds(e.seeds)
	if err != nil {
		return err
	}
	e.options.Scenario = scenarioName(subject, e.options.Scenario)
	if _, err := simulation.Find(e.options.Scenario); err != nil {
		return err
	}
	e.options.Policy = simulation.Policy(e.policy)
	switch e.options.Policy {
	case simulation.CommonPlan, simulation.EachNode, simulation.StaticOrder:
	default:
		return fmt.Errorf("--policy must be common, each or static, got %q", e.policy)
	}
	if e.worker {
		return playSchedules(out, e.options, first, last)
	}
	results, err := playInProcesses(e.options, first, last)
	if err != nil {
		return err
	}
	summary := summarize(results)
	if e.asJSON {
		if err := printJSON(out, summary); err != nil {
			return err
		}
	} else {
		summary.print(out)
	}
	if summary.Violations > 0 {
		return statusError{status: statusNegative, text: fmt.Sprintf("%d violations of rules", summary.Violations)}
	}
	return nil
}

// scenarioName returns the full name of a scenario. If the name is empty, the seed determines the faults.
func scenarioName(subject, name string) string {
	switch {
	case subject == explorePolicy && name == "":
		return policyScenarioPrefix + "drawn"
	case subject == explorePolicy && !strings.HasPrefix(name, policyScenarioPrefix):
		return policyScenarioPrefix + name
	case name == "":
		return "drawn"
	}
	return name
}

// playSchedules plays schedules one after another and writes a line of JSON for each. They can't run concurrently since
// Raft uses the process-wide source of random numbers.
func playSchedules(out io.Writer, options simulation.Options, first, last uint64) error {
	encoder := json.NewEncoder(out)
	for seed := first; seed <= last; seed++ {
		options.Seed = seed
		world, verdict, err := simulation.Play(options)
		if err != nil {
			return err
		}
		result := scheduleResult{
			Seed:       seed,
			Scenario:   options.Scenario,
			Violations: verdict.Violations,
			Seen:       verdict.Seen,
			Figures:    verdict.Figures,
			Bytes:      world.Rate(),
		}
		if err := encoder.Encode(result); err != nil {
			return err
		}
	}
	return nil
}
