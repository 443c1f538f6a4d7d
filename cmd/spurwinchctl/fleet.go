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
		Short: "Ask a fleet's nodes, and order zones drained",
		Long: "Calls a node of the fleet: the one that --node names, else each in turn until one answers. " +
			"What only the one that leads can answer goes\n" +
			"there by itself.",
	}
	flags := command.PersistentFlags()
	flags.StringVar(&client.listPath, "nodes", "", "the common `FILE` with the list of nodes")
	flags.StringVar(&client.keyPath, "key-file", "", "the `FILE` with the fleet's key")
	flags.StringVar(&client.node, "node", "", "the node that is asked")
	flags.BoolVar(&client.asJSON, "json", false, "the answer as JSON")
	requirePersistentFlags(command, "nodes", "key-file")
	status := fleetVerb{verb: agent.VerbStatus, toLeader: true, print: printFleetStatus}
	plan := fleetVerb{verb: agent.VerbPlan, print: printFleetPlan}
	explain := fleetVerb{verb: agent.VerbExplain, toLeader: true, print: printExplanation}
	drain := fleetVerb{verb: agent.VerbDrain, toLeader: true, proposes: true, print: printOrderOutcome}
	undrain := fleetVerb{verb: agent.VerbUndrain, toLeader: true, proposes: true, print: printOrderOutcome}
	command.AddCommand(
		status.command(&client, "status", "Tell who is there, who leads, and by which plan nodes go", cobra.NoArgs),
		plan.command(&client, "plan", "Tell the plan: each zone's room and where its clients may go", cobra.NoArgs),
		explain.command(&client, "explain ZONE", "Tell what led to a zone's state", cobra.ExactArgs(1)),
		drain.command(&client, "drain ZONE", "Have a zone take nothing new; what stands there stays",
			cobra.ExactArgs(1)),
		undrain.command(&client, "undrain ZONE", "Take the order back: the zone's room is given back step by step",
			cobra.ExactArgs(1)),
	)
	return command
}

// requirePersistentFlags makes persistent flags of a command obligatory. A name that is no flag is a fault of this
// program.
func requirePersistentFlags(command *cobra.Command, names ...string) {
	for _, name := range names {
		if err := command.MarkPersistentFlagRequired(name); err != nil {
			panic(err)
		}
	}
}

// fleetVerb is a call that a subcommand of fleet makes.
type fleetVerb struct {
	verb     agent.Verb
	toLeader bool // only the leader can answer
	proposes bool // the call makes a proposal, whose outcome is waited for
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
