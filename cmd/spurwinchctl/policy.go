package main

import (
	"errors"
	"io"
	"time"

	"github.com/spf13/cobra"

	"spurwinch/internal/failover/agent"
	"spurwinch/internal/policy"
)

const (
	policyReadTimeout  = 15 * time.Second // for abort and for commands that read the state
	policyPollInterval = 150 * time.Millisecond
	// confirmationPollInterval is the interval between calls while the leader confirms that it is still the leader.
	confirmationPollInterval = policyPollInterval / 5
)

func policyCommand() *cobra.Command {
	var client fleetClient
	command := &cobra.Command{
		Use:   "policy",
		Short: "Show and change a fleet's policy, on all nodes or on none",
		Long: "Calls the leader of the fleet. Exit status: 0 if the command succeeded or the change is in force,\n" +
			"1 if the change was aborted or rejected, 2 on invalid input or an invalid command line,\n" +
			"3 if the outcome is not known yet; spurwinchctl policy wait ID shows it later.",
	}
	flags := command.PersistentFlags()
	flags.StringVar(&client.listPath, "nodes", "", "the `FILE` with the fleet's list of nodes")
	flags.StringVar(&client.keyPath, "key-file", "", "the `FILE` with the fleet's key")
	flags.BoolVar(&client.asJSON, "json", false, "print the reply as JSON")
	command.AddCommand(
		policyCheckCommand(),
		policyProposeCommand(&client),
		policyRollbackCommand(&client),
		policyStatusCommand(&client),
		policyWaitCommand(&client),
		policyAbortCommand(&client),
		policyHistoryCommand(&client),
		policyShowCommand(&client),
		policyDiffCommand(&client),
	)
	return command
}

func policyCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a policy file without calling the fleet",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			text, _, err := readPolicyFile(args[0])
			if err != nil {
				return err
			}
			printf(command.OutOrStdout(), "%s: valid policy, digest %s\n", args[0], policy.Digest(text))
			return nil
		},
	}
}

func policyProposeCommand(client *fleetClient) *cobra.Command {
	var proposal policyProposal
	command := &cobra.Command{
		Use:   "propose FILE",
		Short: "Propose a policy and wait until it is in force or aborted",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			text, _, err := readPolicyFile(args[0])
			if err != nil {
				return err
			}
			proposal.text = text
			proposal.hasBase = command.Flags().Changed("base")
			return client.propose(command.OutOrStdout(), &proposal)
		},
	}
	proposal.addFlags(command)
	command.Flags().Uint64Var(&proposal.base, "base", 0,
		"number of the policy to replace (default: the policy in force when the command starts)")
	return command
}

func policyRollbackCommand(client *fleetClient) *cobra.Command {
	var proposal policyProposal
	command := &cobra.Command{
		Use:   "rollback NUMBER",
		Short: "Propose an earlier policy again, under a new number",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			state, err := client.readPolicy(proposal.timeout)
			if err != nil {
				return err
			}
			if proposal.text, err = documentText(state, args[0]); err != nil {
				return err
			}
			proposal.base = state.Number
			proposal.hasBase = true
			return client.propose(command.OutOrStdout(), &proposal)
		},
	}
	proposal.addFlags(command)
	return command
}

func policyStatusCommand(client *fleetClient) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the policy in force, the pending change, and the nodes that don't apply the policy in force",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return client.showPolicy(command.OutOrStdout(), printPolicyStatus)
		},
	}
}

func policyHistoryCommand(client *fleetClient) *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "Show the outcomes of the newest changes",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return client.showPolicy(command.OutOrStdout(), printPolicyHistory)
		},
	}
}

// showPolicy prints the state of the policy, as JSON with --json and otherwise by the given function.
func (c *fleetClient) showPolicy(out io.Writer, printText func(io.Writer, *agent.PolicyReply)) error {
	state, err := c.readPolicy(policyReadTimeout)
	if err != nil {
		return err
	}
	if c.asJSON {
		return printJSON(out, state)
	}
	printText(out, state)
	return nil
}

func policyWaitCommand(client *fleetClient) *cobra.Command {
	var timeout time.Duration
	command := &cobra.Command{
		Use:   "wait ID",
		Short: "Wait until a change is in force or aborted",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return client.waitForChange(command.OutOrStdout(), args[0], time.Now().Add(timeout), nil)
		},
	}
	addTimeoutFlag(command, &timeout)
	return command
}

func policyAbortCommand(client *fleetClient) *cobra.Command {
	return &cobra.Command{
		Use:   "abort ID",
		Short: "Abort a pending change",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			call := agent.Call{Verb: string(agent.VerbPolicyAbort), ID: args[0]}
			if _, err := client.call(call, true); err != nil {
				return err
			}
			deadline := time.Now().Add(policyReadTimeout)
			err := client.waitForChange(command.OutOrStdout(), args[0], deadline, nil)
			if err == nil {
				return statusError{
					status: statusNegative,
					text:   "the change is already in force; policy rollback proposes an earlier policy again",
				}
			}
			var status statusError
			if errors.As(err, &status) && status.status == statusNegative {
				return nil // the change was aborted, as requested
			}
			return err
		},
	}
}

func policyShowCommand(client *fleetClient) *cobra.Command {
	return &cobra.Command{
		Use:   "show NUMBER",
		Short: "Print the document of the policy with the given number",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			state, err := client.readPolicy(policyReadTimeout)
			if err != nil {
				return err
			}
			text, err := documentText(state, args[0])
			if err != nil {
				return err
			}
			_, err = command.OutOrStdout().Write(text)
			return err
		},
	}
}

func policyDiffCommand(client *fleetClient) *cobra.Command {
	return &cobra.Command{
		Use:   "diff A B",
		Short: "Show the differences between two policies, each given as a number or a file",
		Args:  cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			before, err := client.findDocument(args[0])
			if err != nil {
				return err
			}
			after, err := client.findDocument(args[1])
			if err != nil {
				return err
			}
			for _, line := range policy.Diff(before, after) {
				printLine(command.OutOrStdout(), line)
			}
			return nil
		},
	}
}
