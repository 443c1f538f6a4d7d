package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"spurwinch/internal/failover/agent"
)

func fleetCommand() *cobra.Command {
	var client fleetClient
	command := &cobra.Command{
		Use:   "fleet",
		Short: "Show the state of a running fleet, and drain zones",
		Long: "Calls the node of the fleet that --node names, or else one node after another until one answers.\n" +
			"Calls that only the leader can answer go to the leader, " +
			"unless --node is given.",
	}
	flags := command.PersistentFlags()
	flags.StringVar(&client.listPath, "nodes", "", "the `FILE` with the fleet's list of nodes")
	flags.StringVar(&client.keyPath, "key-file", "", "the `FILE` with the fleet's key")
	flags.StringVar(&client.node, "node", "", "the `NAME` of the node to call (default: any)")
	flags.BoolVar(&client.asJSON, "json", false, "print the reply as JSON")
	requirePersistentFlags(command, "nodes", "key-file")
	status := fleetVerb{verb: agent.VerbStatus, toLeader: true, print: printFleetStatus}
	plan := fleetVerb{verb: agent.VerbPlan, print: printFleetPlan}
	explain := fleetVerb{verb: agent.VerbExplain, toLeader: true, print: printExplanation}
	drain := fleetVerb{verb: agent.VerbDrain, toLeader: true, proposes: true, print: printOrderOutcome}
	undrain := fleetVerb{verb: agent.VerbUndrain, toLeader: true, proposes: true, print: printOrderOutcome}
	command.AddCommand(
		status.command(&client, "status", "Show the leader, the plan in force, the zones and the nodes that lag behind",
			cobra.NoArgs),
		plan.command(&client, "plan", "Show the plan: each zone's capacity and where its clients may go", cobra.NoArgs),
		explain.command(&client, "explain ZONE", "Explain why a zone is in its current state", cobra.ExactArgs(1)),
		drain.command(&client, "drain ZONE", "Stop placing new clients in a zone; open connections stay",
			cobra.ExactArgs(1)),
		undrain.command(&client, "undrain ZONE", "Cancel the drain of a zone: its capacity is restored step by step",
			cobra.ExactArgs(1)),
	)
	return command
}

// requirePersistentFlags marks persistent flags of a command as required. It panics if the command lacks one of
// them.
func requirePersistentFlags(command *cobra.Command, names ...string) {
	for _, name := range names {
		if err := command.MarkPersistentFlagRequired(name); err != nil {
			panic(err)
		}
	}
}

// fleetVerb describes the call that a subcommand of fleet makes.
type fleetVerb struct {
	verb     agent.Verb
	toLeader bool // only the leader can answer
	proposes bool // the call makes a proposal, and the command waits for its outcome
	print    func(io.Writer, *agent.Reply)
}

func (v fleetVerb) command(client *fleetClient, use, short string, args cobra.PositionalArgs) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  args,
		RunE: func(command *cobra.Command, args []string) error {
			return v.run(client, command.OutOrStdout(), args)
		},
	}
}

func (v fleetVerb) run(client *fleetClient, out io.Writer, args []string) error {
	call := agent.Call{Verb: string(v.verb), ID: fmt.Sprintf("%s-%d", v.verb, time.Now().UnixNano())}
	if len(args) > 0 {
		call.Arg = args[0]
	}
	reply, err := client.call(call, v.toLeader)
	if err != nil {
		return err
	}
	if v.proposes {
		if reply, err = client.waitForProposal(call.ID); err != nil {
			return err
		}
	}
	if client.asJSON {
		return printJSON(out, reply)
	}
	v.print(out, &reply)
	return nil
}
