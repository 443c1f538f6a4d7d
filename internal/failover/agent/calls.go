package agent

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"spurwinch/internal/consensus"
	"spurwinch/internal/failover"
	"spurwinch/internal/membership"
	"spurwinch/internal/policy"
)

// Operator is the sender number of an operator's call. No node has this number.
const Operator = 0xffff

// Verb is the operation of an operator's call, with the value of Call.Verb on the wire.
type Verb string

// The verbs of operators' calls.
const (
	VerbStatus        Verb = "status"         // describe the node and the plan; the leader also describes all nodes
	VerbPlan          Verb = "plan"           // same as VerbStatus
	VerbExplain       Verb = "explain"        // explain the state of the zone in Arg; leader only
	VerbDrain         Verb = "drain"          // drain the zone in Arg; leader only
	VerbUndrain       Verb = "undrain"        // end the drain of the zone in Arg; leader only
	VerbOutcome       Verb = "ended"          // report the outcome of the proposal in Arg; voters only
	VerbPolicy        Verb = "policy"         // return a token, or the policy if Arg is a token; leader only
	VerbPolicyPropose Verb = "policy-propose" // propose the policy Data to replace policy number Base; leader only
	VerbPolicyAbort   Verb = "policy-abort"   // abort the change ID; leader only
)

// Call is an operator's call to a node.
type Call struct {
	_    struct{}      `cbor:",toarray"`
	Verb string        // a Verb
	Arg  string        // a zone, a proposal's ID or a token, depending on the verb
	ID   string        // ID of the proposal that drain, undrain or a policy change makes
	Data []byte        // a policy document
	Base uint64        // number of the policy that Data replaces
	Part policy.Canary // the change's canary
}

// callClock is the clock of an operator's call and of its reply. A stream carries a single call, so the clock is not
// compared with any other.
const callClock = 1

// callError is the reason why a call failed, and whether the call is invalid or the caller can retry it.
type callError struct {
	reason  string
	badCall bool // the call is invalid: no node accepts it
	retry   bool // the same call may succeed later, or at the leader
}

// Error returns the reason as the operator reads it.
func (e *callError) Error() string { return e.reason }

var (
	errNotLeader  = &callError{reason: "this node does not lead", retry: true}
	errNoEvidence = &callError{reason: "this node does not lead: only the leader has the evidence", retry: true}
	errNotVoter   = &callError{reason: "this node does not vote: only voters know proposals' outcomes", retry: true}
	errNoPolicy   = &callError{
		reason:  "this fleet has no policy in its log: [policy] in the list of nodes enables it",
		badCall: true,
	}
	errBadToken      = &callError{reason: "invalid token: must be the token of an earlier reply", badCall: true}
	errLeaderChanged = &callError{reason: "the leader changed after the token was issued", retry: true}
	errSuperseded    = &callError{reason: "change not accepted: another change entered the log first"}
)

// Seal encodes an operator's call to a node and authenticates it with the fleet's key. The parameter to is the node's
// number in the list.
func Seal(key []byte, list *membership.List, to int, call Call) []byte {
	return seal(key, digestOf(list), header{kind: kindCall, from: Operator, to: to, clock: callClock}, encode(call))
}

// Unseal decodes a node's reply to a call. The error says which part of the reply is invalid.
func Unseal(key []byte, list *membership.List, message []byte) (Reply, error) {
	head, body, err := open(key, digestOf(list), message)
	if err != nil {
		return Reply{}, fmt.Errorf("open reply: %w", err)
	}
	if head.kind != kindReply {
		return Reply{}, fmt.Errorf("open reply: %w", errCorrupt)
	}
	var reply Reply
	if err := decoding.Unmarshal(body, &reply); err != nil {
		return Reply{}, fmt.Errorf("decode reply: %w", err)
	}
	return reply, nil
}

// Answer handles an operator's call that arrived on a stream and returns the encoded reply. ok is false for messages
// that are not valid calls, which get no reply. If a call fails, the reply contains the error.
func (a *Agent) Answer(message []byte, now time.Duration) (reply []byte, ok bool) {
	head, body, err := open(a.options.Key, a.listDigest, message)
	if err != nil || head.kind != kindCall || head.from != Operator || head.to != a.options.Self {
		return nil, false
	}
	call, ok := decode[Call](body)
	if !ok {
		return nil, false
	}
	answer := a.describe(now)
	if err := a.handleCall(call, &answer, now); err != nil {
		answer.setError(err)
	}
	a.advance(now)
	head = header{kind: kindReply, from: a.options.Self, to: Operator, clock: head.clock}
	return seal(a.options.Key, a.listDigest, head, encode(answer)), true
}

// handleCall handles a call and adds the results to a reply that already describes the node.
func (a *Agent) handleCall(call Call, reply *Reply, now time.Duration) error {
	switch Verb(call.Verb) {
	case VerbStatus, VerbPlan:
		a.describePlan(reply)
		a.describeNodes(reply, now)
		return nil
	case VerbExplain:
		a.describePlan(reply)
		return a.explainZone(call.Arg, reply, now)
	case VerbDrain, VerbUndrain:
		return a.orderDrain(call)
	case VerbOutcome:
		return a.describeProposal(call.Arg, reply)
	case VerbPolicy, VerbPolicyPropose, VerbPolicyAbort:
		return a.handlePolicyCall(call, reply)
	default:
		const verbs = "status, plan, drain, undrain, explain, ended, policy, policy-propose and policy-abort"
		return &callError{reason: fmt.Sprintf("unknown call %q: the calls are %s", call.Verb, verbs)}
	}
}

// explainZone adds the reasons for a zone's state to a reply.
func (a *Agent) explainZone(zone string, reply *Reply, now time.Duration) error {
	if a.planner == nil {
		return errNoEvidence
	}
	if err := a.checkZone(zone); err != nil {
		return err
	}
	reply.Explain = a.planner.Explain(zone, now)
	return nil
}

func (a *Agent) checkZone(zone string) error {
	zones := a.options.List.Zones()
	if slices.Contains(zones, zone) {
		return nil
	}
	return &callError{reason: fmt.Sprintf("unknown zone %q: must be one of %v", zone, zones), badCall: true}
}

// orderDrain proposes orders that drain a zone or end its drain.
func (a *Agent) orderDrain(call Call) error {
	if err := a.checkZone(call.Arg); err != nil {
		return err
	}
	if !a.IsLeader() {
		return errNotLeader
	}
	newest := a.follower.Newest(failover.OperatorOrdersKind)
	orders, _ := failover.DecodeOperatorOrders(newest.Data) // missing orders, or those of a later version, are replaced
	orders.Drained = slices.DeleteFunc(slices.Clone(orders.Drained), func(zone string) bool { return zone == call.Arg })
	if Verb(call.Verb) == VerbDrain {
		orders.Drained = append(orders.Drained, call.Arg)
		slices.SortFunc(orders.Drained, cmp.Compare[string])
	}
	return a.propose(consensus.Proposal{
		ID: call.ID, Kind: failover.OperatorOrdersKind, Replaces: newest.Index, Data: orders.Encode(),
	})
}

// propose proposes a log entry for a call. If the voter rejects the proposal, the caller may retry it later.
func (a *Agent) propose(proposal consensus.Proposal) error {
	if err := a.voter.Propose(proposal); err != nil {
		return &callError{reason: err.Error(), retry: true}
	}
	return nil
}

// describeProposal adds the outcome of a proposal to a reply, if it is known.
func (a *Agent) describeProposal(id string, reply *Reply) error {
	if a.voter == nil {
		return errNotVoter
	}
	if result, ok := a.voter.Result(id); ok {
		reply.Outcome = &ProposalOutcome{ID: result.ID, Number: result.Index, Accepted: result.Accepted}
	}
	return nil
}

// setError sets a reply's error, and whether the call was invalid or can be retried.
func (r *Reply) setError(err error) {
	r.Error = err.Error()
	var failed *callError
	if errors.As(err, &failed) {
		r.BadCall = failed.badCall
		r.Retry = failed.retry
	}
}
