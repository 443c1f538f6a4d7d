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

// changeIDLength is the number of random characters in the ID of a change without --id.
const changeIDLength = 10

// policyProposal is a proposed change of the policy. Most of its fields are flags of propose and rollback.
type policyProposal struct {
	id             string
	canary         string // zone:NAME, or 1/N for one node in N; if empty, all nodes change at once
	canaryDuration time.Duration
	maxExtra       float64 // allowed rejections in the canary beyond those elsewhere, as a fraction of its requests
	timeout        time.Duration
	base           uint64 // number of the policy to replace
	hasBase        bool   // if false, the change replaces the policy in force
	text           []byte
}

func (p *policyProposal) addFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&p.id, "id", "",
		"the `ID` of the change; repeating a proposal with its ID has no effect (default: random)")
	flags.StringVar(&p.canary, "part", "",
		"the `CANARY` that changes first: zone:NAME, or 1/N for one node in N (default: none)")
	flags.DurationVar(&p.canaryDuration, "for", 30*time.Second,
		"how long the canary is observed before all other nodes change, 1s to 1h")
	flags.Float64Var(&p.maxExtra, "worse", 0.02,
		"abort if the fraction of requests rejected in the canary exceeds that elsewhere by more than this, 0 to 1")
	addTimeoutFlag(command, &p.timeout)
}

func addTimeoutFlag(command *cobra.Command, timeout *time.Duration) {
	command.Flags().DurationVar(timeout, "timeout", time.Minute, "how long to wait for the outcome")
}

// call returns the call that proposes the change, without its base.
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

// propose proposes a change and waits for its outcome. If a reply is lost, the change can safely be proposed again,
// because the proposals have the same ID.
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
		printf(out, "change %s, to replace policy number %d\n", call.ID, call.Base)
	}
	maybeLogged := false
	send := func() error {
		_, err := c.call(call, true)
		if err == nil || errors.Is(err, errNoAnswer) || errors.Is(err, errNotLeader) {
			maybeLogged = true // the call succeeded or its reply was lost
		}
		if maybeLogged {
			return nil // waitForChange finds the outcome
		}
		return err
	}
	if err := send(); err != nil {
		return err
	}
	return c.waitForChange(out, call.ID, deadline, send)
}

// waitForChange polls the leader for the outcome of a change until the deadline. It prints the steps of the change,
// unless --json is set. It returns nil if the change is in force. Otherwise, the error is a statusError with
// statusNegative if the change was aborted, one with statusUnknown at the deadline, or another error if the policy
// can't be read. At each poll at which the leader doesn't know the change, resend proposes it again. If resend is nil,
// the wait ends with statusNegative instead.
func (c *fleetClient) waitForChange(out io.Writer, id string, deadline time.Time, resend func() error) error {
	printedStep := ""
	for ; ; time.Sleep(policyPollInterval) {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			text := fmt.Sprintf("the outcome of change %s is not known yet: spurwinchctl policy wait %s shows it later",
				id, id)
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
			if step != printedStep && !c.asJSON {
				printedStep = step
				printLine(out, step)
			}
		case resend == nil:
			text := fmt.Sprintf("no change with the ID %q is pending or among the newest changes", id)
			return statusError{status: statusNegative, text: text}
		default:
			if err := resend(); err != nil {
				return err
			}
		}
	}
}

// findOutcome returns the outcome of a change, or nil if the change is pending or its outcome is no longer stored.
func findOutcome(state *agent.PolicyReply, id string) *policy.ChangeOutcome {
	for i := range state.Outcomes {
		if state.Outcomes[i].ID == id {
			return &state.Outcomes[i]
		}
	}
	return nil
}

// outcomeReport is the JSON form of a change's outcome.
type outcomeReport struct {
	ID       string `json:"id"`
	Number   uint64 `json:"number"`
	Accepted bool   `json:"in_force"`
	Reason   string `json:"why"`
}

// reportOutcome prints the outcome of a change. It returns a statusError if the change was aborted.
func (c *fleetClient) reportOutcome(out io.Writer, outcome *policy.ChangeOutcome) error {
	if c.asJSON {
		report := outcomeReport{
			ID:       outcome.ID,
			Number:   outcome.Number,
			Accepted: outcome.Accepted,
			Reason:   outcome.Reason,
		}
		if err := printJSON(out, report); err != nil {
			return err
		}
	}
	if !outcome.Accepted {
		text := fmt.Sprintf("change %s, number %d, was aborted: %s", outcome.ID, outcome.Number, outcome.Reason)
		return statusError{status: statusNegative, text: text}
	}
	if !c.asJSON {
		printf(out, "number %d is in force: %s\n", outcome.Number, outcome.Reason)
	}
	return nil
}
