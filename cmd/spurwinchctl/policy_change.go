package main

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"spurwinch/internal/failover/agent"
	"spurwinch/internal/policy"
)

// changeIDLength is how many random characters the id of a change has where none is given.
const changeIDLength = 10

// policyProposal is a change of the policy; most of its fields are flags of propose and rollback.
type policyProposal struct {
	id             string
	canary         string // zone:NAME, or 1/N for one node in N; empty: all nodes at once
	canaryDuration time.Duration
	maxExtra       float64 // rejections of the canary beyond those elsewhere, as a part of its requests
	timeout        time.Duration
	base           uint64 // the number that it is to replace
	hasBase        bool   // else it replaces the one in force
	text           []byte
}

func (p *policyProposal) addFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&p.id, "id", "", "of the change: proposing one again changes nothing; drawn where none is given")
	flags.StringVar(&p.canary, "part", "", "a part that goes first: zone:NAME, or 1/N for one node in N")
	flags.DurationVar(&p.canaryDuration, "for", 30*time.Second, "how long the part is watched")
	flags.Float64Var(&p.maxExtra, "worse", 0.02,
		"part of the requests that may be turned away there beyond what is elsewhere")
	addTimeoutFlag(command, &p.timeout)
}

func addTimeoutFlag(command *cobra.Command, timeout *time.Duration) {
	command.Flags().DurationVar(timeout, "timeout", time.Minute, "how long to wait for the end")
}

// call returns the proposal as a call, without its base.
func (p *policyProposal) call() (agent.Call, error) {
	call := agent.Call{Verb: string(agent.VerbPolicyPropose), ID: p.id, Data: p.text}
	if call.ID == "" {
		call.ID = "c-" + strings.ToLower(rand.Text()[:changeIDLength])
	}
	if p.canary == "" {
		return call, nil
	}
	canary, err := policy.ParseCanary(p.canary)
	if err != nil {
		return call, err
	}
	canary.Seconds = p.canaryDuration.Seconds()
	canary.MaxExtraRejections = p.maxExtra
	call.Part = canary
	return call, nil
}

// propose proposes a change and waits for its outcome. The same id makes it safe to propose it again where an answer
// was lost.
func (c *fleetClient) propose(out io.Writer, proposal *policyProposal) error {
	call, err := proposal.call()
	if err != nil {
		return err
	}
	deadline := time.Now().Add(proposal.timeout)
	call.Base = proposal.base
	if !proposal.hasBase {
		state, err := c.readPolicy(proposal.timeout)
		if err != nil {
			return err
		}
		call.Base = state.Number
	}
	if !c.asJSON {
		printf(out, "change %s, to replace number %d\n", call.ID, call.Base)
	}
	maybeLogged := false
	send := func() error {
		_, err := c.call(call, true)
		if err == nil || errors.Is(err, errNoAnswer) || errors.Is(err, errNotLeader) {
			maybeLogged = true // without an error, or with its answer lost
		}
		if maybeLogged {
			return nil // waiting tells the outcome
		}
		return err
	}
	if err := send(); err != nil {
		return err
	}
	return c.waitForChange(out, call.ID, deadline, send)
}

// waitForChange polls the leader for the outcome of a change until the deadline, and without --json prints its steps.
// It returns nil where the change is in force, and else a statusError: statusNegative where it was given up,
// statusUnknown at the deadline, another error where the policy can't be read. At each poll at which the leader knows
// nothing of the change, resend proposes it again; without a resend (nil), the wait ends with statusNegative.
func (c *fleetClient) waitForChange(out io.Writer, id string, deadline time.Time, resend func() error) error {
	printed := ""
	for ; ; time.Sleep(policyPollInterval) {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			text := fmt.Sprintf("how change %s ended isn't known yet: spurwinchctl policy wait %s tells later", id, id)
			return statusError{status: statusUnknown, text: text}
		}
		state, err := c.readPolicy(remaining)
		if err != nil {
			return err
		}
		if outcome := findOutcome(state, id); outcome != nil {
			return c.reportOutcome(out, outcome)
		}
		switch {
		case state.Change != nil && state.Change.ID == id:
			step := fmt.Sprintf("number %d: %s", state.Change.Number, state.Change.Step)
			if step != printed && !c.asJSON {
				printed = step
				printLine(out, step)
			}
		case resend == nil:
			text := fmt.Sprintf("no change %q is on its way, and none of the newest had this id", id)
			return statusError{status: statusNegative, text: text}
		default:
			if err := resend(); err != nil {
				return err
			}
		}
	}
}

// findOutcome returns the outcome of a change, or nil where it isn't decided or not known any more.
func findOutcome(state *agent.PolicyReply, id string) *policy.ChangeOutcome {
	for i := range state.Ended {
		if state.Ended[i].ID == id {
			return &state.Ended[i]
		}
	}
	return nil
}

// outcomeReport is the JSON of a change's outcome.
type outcomeReport struct {
	ID     string `json:"id"`
	Number uint64 `json:"number"`
	Taken  bool   `json:"in_force"`
	Why    string `json:"why"`
}

// reportOutcome prints the outcome of a change and returns the status that it means.
func (c *fleetClient) reportOutcome(out io.Writer, outcome *policy.ChangeOutcome) error {
	if c.asJSON {
		report := outcomeReport{
			ID:     outcome.ID,
			Number: outcome.Number,
			Taken:  outcome.Accepted,
			Why:    outcome.Reason,
		}
		if err := printJSON(out, report); err != nil {
			return err
		}
	}
	if !outcome.Accepted {
		text := fmt.Sprintf("change %s, number %d, was given up: %s", outcome.ID, outcome.Number, outcome.Reason)
		return statusError{status: statusNegative, text: text}
	}
	if !c.asJSON {
		printf(out, "number %d is in force: %s\n", outcome.Number, outcome.Reason)
	}
	return nil
}
