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

// Operator is the sender's number in an operator's call: no node's.
const Operator = 0xffff

// Verb is the operation of an operator's call, as Call.Verb has it on the wire.
type Verb string

// The verbs of calls.
const (
	VerbStatus        Verb = "status"         // the node, the plan and, of the leader, the nodes
	VerbPlan          Verb = "plan"           // the same
	VerbExplain       Verb = "explain"        // what led to the state of the zone Arg; of the leader
	VerbDrain         Verb = "drain"          // have no load in the zone Arg; of the leader
	VerbUndrain       Verb = "undrain"        // the opposite
	VerbEnded         Verb = "ended"          // how the proposal Arg ended; of a voter
	VerbPolicy        Verb = "policy"         // without Arg a token, with a token in Arg the policy; of the leader
	VerbPolicyPropose Verb = "policy-propose" // propose the policy Data in place of number Base; of the leader
	VerbPolicyAbort   Verb = "policy-abort"   // give the change ID up; of the leader
)

// Call is an operator's call to a node.
type Call struct {
	_    struct{} `cbor:",toarray"`
	Verb string   // a Verb
	Arg  string   // a zone, a proposal's id or a token, by the verb
	ID   string   // of the proposal that drain, undrain or a change of the policy makes
	Data []byte   // a policy
	Base uint64   // the number of the policy that it is to replace
	Part policy.Canary
}

// callClock is the clock of an operator's call, which is sent alone on a stream: nothing is compared with it, and the
// reply has the same.
const callClock = 1

// callError is why a call is not answered, and what its caller can do about it.
type callError struct {
	reason  string
	badCall bool // the call itself is wrong: no node will answer it otherwise
	retry   bool // the same call may succeed later, or at the leader
}

// Error is the reason as the operator reads it.
func (e *callError) Error() string { return e.reason }

var (
	errNotLeader  = &callError{reason: "this node does not lead", retry: true}
	errNoEvidence = &callError{reason: "this node does not lead: evidence is with the one that does", retry: true}
	errNotVoter   = &callError{reason: "this node does not vote: voters know how proposals ended", retry: true}
	errNoPolicy   = &callError{
		reason:  "this fleet has no policy on its log: [policy] in the list of nodes has it",
		badCall: true,
	}
	errBadToken    = &callError{reason: "a token of an answer is wanted", badCall: true}
	errLeaderMoved = &callError{reason: "another one leads since the call came", retry: true}
	errSuperseded  = &callError{reason: "given up: another change came first"}
)

// Seal encodes an operator's call to the node with the number to in the list, authenticated by the fleet's key.
func Seal(key []byte, list *membership.List, to int, call Call) []byte {
	return seal(key, digestOf(list), header{kind: kindCall, from: Operator, to: to, clock: callClock}, encode(call))
}

// Unseal decodes a node's reply to a call. The error says what of it is not valid.
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

// Answer handles an operator's call that came by a stream and returns the encoded reply; ok is false for anything else,
// to which there is no reply. A call that fails is replied to with its error.
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

// handleCall answers a call, in a reply that describes the node already.
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
	case VerbEnded:
		return a.describeProposal(call.Arg, reply)
	case VerbPolicy, VerbPolicyPropose, VerbPolicyAbort:
		return a.handlePolicyCall(call, reply)
	default:
		const verbs = "status, plan, drain, undrain, explain, ended, policy, policy-propose and policy-abort"
		return &callError{reason: fmt.Sprintf("no call %q: %s are there", call.Verb, verbs)}
	}
}

// explainZone describes what led to a zone's state.
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
	return &callError{reason: fmt.Sprintf("no zone %q: one of %v is wanted", zone, zones), badCall: true}
}

// orderDrain proposes that a zone is drained, or no longer is.
func (a *Agent) orderDrain(call Call) error {
	if err := a.checkZone(call.Arg); err != nil {
		return err
	}
	if !a.IsLeader() {
		return errNotLeader
	}
	newest := a.follower.Newest(failover.OperatorOrdersKind)
	orders, _ := failover.DecodeOperatorOrders(newest.Data) // none, or of a later version: they are replaced
	orders.Drained = slices.DeleteFunc(slices.Clone(orders.Drained), func(zone string) bool { return zone == call.Arg })
	if Verb(call.Verb) == VerbDrain {
		orders.Drained = append(orders.Drained, call.Arg)
		slices.SortFunc(orders.Drained, cmp.Compare[string])
	}
	return a.propose(consensus.Proposal{
		ID: call.ID, Kind: failover.OperatorOrdersKind, Replaces: newest.Index, Data: orders.Encode(),
	})
}

// propose proposes an entry to the log for a call. A proposal that the voter rejects now may be accepted later.
func (a *Agent) propose(proposal consensus.Proposal) error {
	if err := a.voter.Propose(proposal); err != nil {
		return &callError{reason: err.Error(), retry: true}
	}
	return nil
}

// describeProposal describes how a proposal ended, if it has.
func (a *Agent) describeProposal(id string, reply *Reply) error {
	if a.voter == nil {
		return errNotVoter
	}
	if result, ok := a.voter.Result(id); ok {
		reply.Ended = &ProposalOutcome{ID: result.ID, Number: result.Index, Taken: result.Accepted}
	}
	return nil
}

// setError puts an error into a reply.
func (r *Reply) setError(err error) {
	r.Error = err.Error()
	var failed *callError
	if errors.As(err, &failed) {
		r.BadCall = failed.badCall
		r.Retry = failed.retry
	}
}
