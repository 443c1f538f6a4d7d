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

// Arguments of lab explore: what its schedules put to the test.
const (
	exploreFailover = "failover"
	explorePolicy   = "policy"
)

// policyScenarioPrefix begins the names of the scenarios that change the policy.
const policyScenarioPrefix = "policy-"

// scheduleResult is the outcome of one schedule; workers write it as a line of JSON.
type scheduleResult struct {
	Seed       uint64             `json:"seed"`
	Scenario   string             `json:"scenario"`
	Violations []faults.Violation `json:"violations"`
	Seen       map[string]int     `json:"seen"`
	Figures    faults.Figures     `json:"figures"`
	Bytes      float64            `json:"bytes_node_s"`
}

// exploration plays a range of schedules; its fields are the flags of lab explore.
type exploration struct {
	options simulation.Options
	seeds   string
	policy  string
	worker  bool // play the schedules in this process
	asJSON  bool
}

func exploreCommand() *cobra.Command {
	var settings exploration
	command := &cobra.Command{
		Use:   "explore failover|policy",
		Short: "Play schedules of faults in simulated time and check each history",
		Long: "Plays one schedule for each seed: the decision packages as they are in service, " +
			"with network, clocks, disks and crashes by seed.\n" +
			"Status 0: no rule broken; 1: one is, with its seed.",
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
	flags.StringVar(&e.seeds, "seeds", "1..20", "`A..B`, one schedule each")
	flags.IntVar(&e.options.Nodes, "nodes", 300, "nodes")
	flags.IntVar(&e.options.Zones, "zones", 9, "zones")
	flags.IntVar(&e.options.Regions, "regions", 3, "regions")
	flags.IntVar(&e.options.ServersPerZone, "hosts", 4, "hosts in each zone")
	flags.IntVar(&e.options.ConnectionsPerServer, "bears", 0,
		"connections that a host bears; 0: by the number of nodes")
	flags.Float64Var(&e.options.Utilization, "use", 0.45, "part of what all hosts bear that clients ask for")
	flags.Float64Var(&e.options.Loss, "loss", 0.01, "part of the messages that are lost")
	flags.DurationVar(&e.options.Length, "length", 0, "of a schedule, simulated")
	flags.StringVar(&e.options.Scenario, "faults", "", "a scenario's name; drawn: by seed")
	flags.StringVar(&e.options.Mutation, "mutation", "", "break the program in this way")
	flags.StringVar(&e.policy, "policy", string(simulation.CommonPlan), "common, each or static")
	flags.BoolVar(&e.asJSON, "json", false, "the result as JSON")
	flags.BoolVar(&e.worker, "worker", false, "")
	if err := flags.MarkHidden("worker"); err != nil {
		panic(err) // the flag is defined above
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
		return fmt.Errorf("--policy %q: common, each or static is wanted", e.policy)
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
		return statusError{status: statusNegative, text: fmt.Sprintf("%d rules broken", summary.Violations)}
	}
	return nil
}

// scenarioName returns the full name of a scenario. Without a name, faults are drawn by seed.
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

// playSchedules plays schedules one after another, a line of JSON each: Raft draws from the process's one source of
// random numbers.
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
