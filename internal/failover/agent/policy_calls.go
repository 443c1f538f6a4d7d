package agent

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"spurwinch/internal/consensus"
	"spurwinch/internal/policy"
)

// PolicyReply describes the policy as the leader knows it.
type PolicyReply struct {
	// Token is the Call.Arg for reading the policy. The policy that is read is no older than the token.
	Token     string                     `json:"token,omitempty"`
	Number    uint64                     `json:"number"`
	Digest    string                     `json:"digest,omitempty"`
	Change    *ChangeReply               `json:"change,omitempty"`
	Outcomes  []policy.ChangeOutcome     `json:"ended,omitempty"`
	Documents []policy.VersionedDocument `cbor:"docs" json:"-"`
	Entry     uint64                     `json:"entry"`    // index of the log entry with the policy
	Window    float64                    `json:"window_s"` // seconds that a replaced policy may stay in use
	Members   []PolicyMember             `json:"members,omitempty"`
	Bases     []policy.VersionedBase     `json:"grounds,omitempty"`
}

// ChangeReply is a pending change.
type ChangeReply struct {
	ID     string        `json:"id"`
	Number uint64        `json:"number"`
	Base   uint64        `json:"base"`
	Step   string        `json:"step"`
	Digest string        `json:"digest"`
	Part   policy.Canary `json:"part"`
	Text   []byte        `cbor:"text" json:"-"`
}

// PolicyMember is a member of the fleet as the leader knows it.
type PolicyMember struct {
	Name         string `json:"name"`
	Live         bool   `json:"live"`
	HasStatus    bool   `json:"heard"`
	KnownNumber  uint64 `json:"has"`
	ServedNumber uint64 `json:"serves"`
	MayServe     bool   `json:"may_serve"`
	Answer       string `json:"answer,omitempty"` // verdict on the pending change
}

// handlePolicyCall handles operators' calls about the policy, which only the leader accepts. Reads are linearizable:
// the leader reads the state only after a majority has confirmed its leadership since the call arrived.
func (a *Agent) handlePolicyCall(call Call, reply *Reply) error {
	switch {
	case a.options.Policy == nil:
		return errNoPolicy
	case !a.IsLeader():
		return errNotLeader
	case Verb(call.Verb) != VerbPolicy:
		return a.proposePolicy(call, reply)
	case call.Arg == "":
		token := readToken{term: a.voter.Term(), confirmation: a.voter.ConfirmLeadership()}
		reply.Policy = &PolicyReply{Token: token.String()}
		reply.Retry = true
		return nil
	default:
		return a.readPolicy(call.Arg, reply)
	}
}

// readToken identifies a ConfirmLeadership call of the voter. Once a majority has confirmed that call, the policy that
// the leader reads is no older than the token.
type readToken struct {
	term, confirmation uint64
}

// String returns the token's text, which callers send back in Call.Arg.
func (t readToken) String() string { return fmt.Sprintf("%d/%d", t.term, t.confirmation) }

func parseReadToken(text string) (readToken, error) {
	termText, confirmationText, _ := strings.Cut(text, "/")
	term, termErr := strconv.ParseUint(termText, 10, 64)
	confirmation, confirmationErr := strconv.ParseUint(confirmationText, 10, 64)
	if termErr != nil || confirmationErr != nil {
		return readToken{}, errBadToken
	}
	return readToken{term: term, confirmation: confirmation}, nil
}

// readPolicy adds the policy to a reply once the token's call is confirmed. Until then the caller has to retry.
func (a *Agent) readPolicy(tokenText string, reply *Reply) error {
	token, err := parseReadToken(tokenText)
	if err != nil {
		return err
	}
	switch {
	case token.term != a.voter.Term():
		return errLeaderChanged
	case token.confirmation > a.voter.ConfirmedCall():
		reply.Policy = &PolicyReply{Token: tokenText}
		reply.Retry = true
	default:
		reply.Policy = a.describePolicy()
	}
	return nil
}

// proposePolicy proposes a change, or the abort of the pending one. The change's ID makes the call idempotent.
func (a *Agent) proposePolicy(call Call, reply *Reply) error {
	state, entry := a.newestPolicy()
	isNew := Verb(call.Verb) == VerbPolicyPropose
	if outcome, ended, known := state.Find(call.ID); known && (isNew || ended) {
		reply.Policy = a.describePolicy()
		reply.Reason = outcome.Reason
		return nil
	}
	if result, ok := a.voter.Result(call.ID); ok && !result.Accepted {
		return errSuperseded
	}
	proposal := consensus.Proposal{Kind: policy.Kind, Replaces: entry}
	if isNew {
		next, err := a.stateWithChange(state, call)
		if err != nil {
			return err
		}
		proposal.ID = call.ID
		proposal.Data = next.Encode()
	} else {
		if state.Change == nil || state.Change.ID != call.ID {
			return &callError{reason: fmt.Sprintf("no change %q is pending", call.ID)}
		}
		proposal.ID = stepAbortedByOperator.proposalID(entry)
		proposal.Data = state.Abort("aborted by an operator").Encode()
	}
	if err := a.propose(proposal); err != nil {
		return err
	}
	reply.Retry = true // the next call with this ID gets the outcome
	return nil
}

// stateWithChange returns a copy of the state in which the call's change is pending.
func (a *Agent) stateWithChange(state *policy.State, call Call) (*policy.State, error) {
	if zone := call.Part.Zone; zone != "" && a.checkZone(zone) != nil {
		zones := a.options.List.Zones()
		return nil, &callError{reason: fmt.Sprintf("unknown canary zone %q: must be one of %v", zone, zones)}
	}
	document, err := a.options.Policy.Read(call.Data)
	if err != nil {
		return nil, &callError{reason: a.options.List.Node(a.options.Self).Name + ": " + err.Error()}
	}
	next, err := state.Propose(call.ID, call.Base, call.Data, document, call.Part)
	if err != nil {
		return nil, &callError{reason: err.Error(), retry: errors.Is(err, policy.ErrChangeInProgress)}
	}
	return next, nil
}

// describePolicy describes the newest state in the log and, at the leader, the members according to their newest
// reports.
func (a *Agent) describePolicy() *PolicyReply {
	state, entry := a.newestPolicy()
	reply := &PolicyReply{
		Number:    state.Number,
		Outcomes:  state.Ended,
		Documents: state.Documents,
		Entry:     entry,
		Window:    a.options.Policy.Rules.Window.Seconds(),
		Bases:     state.Bases,
	}
	if state.Number > 0 {
		text, _ := state.Text(state.Number) // a state always has the document in force
		reply.Digest = policy.Digest(text)
	}
	if change := state.Change; change != nil {
		reply.Change = &ChangeReply{
			ID:     change.ID,
			Number: change.Number,
			Base:   change.Base,
			Step:   change.Stage.String(),
			Digest: policy.Digest(change.Text),
			Part:   change.Canary,
			Text:   change.Text,
		}
	}
	if a.planner == nil {
		return reply
	}
	for _, member := range a.members() {
		described := PolicyMember{
			Name:         member.Name,
			Live:         member.Live,
			HasStatus:    member.HasStatus,
			KnownNumber:  member.Status.KnownNumber,
			ServedNumber: member.Status.AppliedNumber,
			MayServe:     member.Status.MayServe,
		}
		if state.Change != nil && member.Status.Entry == entry {
			described.Answer = verdictText(member.Status.Verdict, member.Status.Reason)
		}
		reply.Members = append(reply.Members, described)
	}
	return reply
}
