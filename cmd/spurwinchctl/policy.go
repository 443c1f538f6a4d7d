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
	policyReadTimeout  = 15 * time.Second // of commands that read the state, and of abort
	policyPollInterval = 150 * time.Millisecond
	// confirmationPollInterval is between the calls that wait for the leader to confirm that it leads.
	confirmationPollInterval = policyPollInterval / 5
)

func policyCommand() *cobra.Command {
	var client fleetClient
	command := &cobra.Command{
		Use:   "policy",
		Short: "Change a fleet's policy, everywhere or nowhere",
		Long: "Calls the one that leads the fleet. Status 0: done, or in force; 1: given up, or the answer is no; " +
			"2: wrong call or bad file; 3: how a change ended\n" +
			"isn't known yet: spurwinchctl policy wait ID tells.",
	}
	flags := command.PersistentFlags()
	flags.StringVar(&client.listPath, "nodes", "", "the common `FILE` with the list of nodes")
	flags.StringVar(&client.keyPath, "key-file", "", "the `FILE` with the fleet's key")
	flags.BoolVar(&client.asJSON, "json", false, "the answer as JSON")
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
		Short: "Check a policy's file, without a fleet",
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
		Short: "Propose a policy and wait until it is in force or given up",
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
		"the number that it is to replace; else the one in force as the command begins")
	return command
}

func policyRollbackCommand(client *fleetClient) *cobra.Command {
	var proposal policyProposal
	command := &cobra.Command{
		Use:   "rollback NUMBER",
		Short: "Propose the document of an earlier number again, under a new number",
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
		Short: "Tell which policy is in force, what is on its way, and who goes by what",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return client.showPolicy(command.OutOrStdout(), printPolicyStatus)
		},
	}
}

func policyHistoryCommand(client *fleetClient) *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "Tell how the newest changes ended",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return client.showPolicy(command.OutOrStdout(), printPolicyHistory)
		},
	}
}

// showPolicy prints the state of the policy as JSON, or else by the given function.
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
		Short: "Wait for the end of a change",
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
		Short: "Give a change up that is on its way",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			call := agent.Call{Verb: string(agent.VerbPolicyAbort), ID: args[0]}
			if _, err := client.call(call, true); err != nil {
				return err
			}
			deadline := time.Now().Add(policyReadTimeout)
			err := client.waitForChange(command.OutOrStdout(), args[0], deadline, nil)
			if err == nil {
				return statusError{status: statusNegative, text: "it is in force: rollback proposes what was before"}
			}
			var status statusError
			if errors.As(err, &status) && status.status == statusNegative {
				return nil // the change was aborted, as was asked for
			}
			return err
		},
	}
}

func policyShowCommand(client *fleetClient) *cobra.Command {
	return &cobra.Command{
		Use:   "show NUMBER",
		Short: "Print the document of a number",
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
		Short: "Tell what differs between two policies, each a number or a file",
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
