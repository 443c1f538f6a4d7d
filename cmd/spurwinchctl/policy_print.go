package main

import (
	"io"

	"spurwinch/internal/failover/agent"
)

// answerYes is the answer of a member that accepts a proposed policy.
const answerYes = "yes"

func printPolicyStatus(out io.Writer, state *agent.PolicyReply) {
	if state.Number == 0 {
		printLine(out, "number 0: no policy is committed yet, each node uses its own files")
	} else {
		printf(out, "number %d is in force, digest %s\n", state.Number, state.Digest)
	}
	if change := state.Change; change != nil {
		printf(out, "pending: change %s, number %d, digest %s: %s\n",
			change.ID, change.Number, change.Digest, change.Step)
	}
	serving := 0
	for i := range state.Members {
		if member := &state.Members[i]; member.Live && member.MayServe && member.ServedNumber == state.Number {
			serving++
		}
	}
	printf(out, "%d of %d members apply the policy in force\n", serving, len(state.Members))
	printOtherMembers(out, state)
}

// printOtherMembers lists the members that don't apply the policy in force or that reject the proposed one.
func printOtherMembers(out io.Writer, state *agent.PolicyReply) {
	table := newFleetTable(out)
	for i := range state.Members {
		member := &state.Members[i]
		rejects := member.Answer != "" && member.Answer != answerYes
		switch {
		case !member.Live:
			printf(table, "%s\tnot in the membership view\t\n", member.Name)
		case !member.HasStatus:
			printf(table, "%s\tno status yet\t\n", member.Name)
		case !member.MayServe:
			printf(table, "%s\tnot allowed to serve\t%s\n", member.Name, member.Answer)
		case member.ServedNumber != state.Number || rejects:
			printf(table, "%s\tapplies policy %d\t%s\n", member.Name, member.ServedNumber, member.Answer)
		}
	}
	flushTable(table)
}

func printPolicyHistory(out io.Writer, state *agent.PolicyReply) {
	table := newFleetTable(out)
	printLine(table, "number\tchange\toutcome\treason")
	for i := range state.Outcomes {
		outcome := &state.Outcomes[i]
		result := "aborted"
		if outcome.Accepted {
			result = "in force"
		}
		printf(table, "%d\t%s\t%s\t%s\n", outcome.Number, outcome.ID, result, outcome.Reason)
	}
	flushTable(table)
}
