package agent

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"spurwinch/internal/agree"
	"spurwinch/internal/failover"
	"spurwinch/internal/membership"
	"spurwinch/internal/policy"
)

// Operator is the sender's number in an operator's call: no node's.
const Operator = 0xffff

// Call is what an operator asks a node.
type Call struct {
	_    struct{} `cbor:",toarray"`
	Verb string   // status, plan, drain, undrain, explain, ended
	Arg  string   // a zone, or a proposal's id
	ID   string   // of the proposal that drain or undrain makes
	Data []byte   // a policy
	Base uint64   // the number that it is to replace
	Part policy.Canary
}

// Reply is the node's answer.
type Reply struct {
	Error   string             `json:"error,omitempty"`
	Bad     bool               `json:"bad,omitempty"`   // the call itself is wrong: no node will answer it otherwise
	Retry   bool               `json:"retry,omitempty"` // the same call may do later, or at the one that leads
	Leader  string             `json:"leader,omitempty"`
	Node    string             `json:"node"`
	Zone    string             `json:"zone"`
	Mode    string             `json:"mode"`
	Plan    uint64             `json:"plan"`
	Lease   float64            `json:"lease_s"` // crossings are allowed for so long, without further word
	Log     string             `json:"log"`
	Term    uint64             `json:"term,omitempty"` // of a voter
	Leads   bool               `json:"leads"`
	Voter   bool               `json:"voter"`
	Counts  Counts             `json:"messages"`
	Zones   []ZoneReply        `json:"zones,omitempty"`
	Why     string             `json:"why,omitempty"`
	Lost    []string           `json:"lost,omitempty"`
	Loans   map[string]float64 `json:"loans,omitempty"` // what this node has been lent, by zone
	Lent    float64            `json:"lent"`            // what it has lent itself
	Drained []string           `json:"drained,omitempty"`
	Nodes   []NodeReply        `json:"nodes,omitempty"` // of the one that leads
	Explain []string           `json:"explain,omitempty"`
	Ended   *Ended             `json:"ended,omitempty"`
	Policy  *PolicyReply       `json:"policy,omitempty"`
}

// Ended is how a proposal ended.
type Ended struct {
	ID     string `json:"id"`
	Number uint64 `json:"number"`
	Taken  bool   `json:"taken"`
}

// ZoneReply is a zone of the plan.
type ZoneReply struct {
	Name   string             `json:"name"`
	Region string             `json:"region"`
	State  string             `json:"state"`
	Nodes  int                `json:"nodes"`
	Listed int                `json:"listed"`
	Room   float64            `json:"room"`
	Guests float64            `json:"guests"` // what clients of other zones need there now
	Lender string             `json:"lender,omitempty"`
	Lends  float64            `json:"lends"` // what the lender may lend of the room
	Want   map[string]float64 `json:"want"`
	Grants map[string]float64 `json:"grants"`
	Admit  map[string]float64 `json:"admit"`
}

// NodeReply is a node as the one that leads sees it.
type NodeReply struct {
	Name string  `json:"name"`
	Zone string  `json:"zone"`
	Live bool    `json:"live"`
	Plan uint64  `json:"plan"`
	Ago  float64 `json:"heard_s_ago"` // under 0: never
}

// Seal and Unseal are an operator's side of a call: they make it and read its answer.
func Seal(key []byte, list *membership.List, to int, c Call) []byte {
	return seal(key, digestOf(list), header{kind: ask, from: Operator, to: to, clock: 1}, encode(c))
}

// Unseal reads a node's answer.
func Unseal(key []byte, list *membership.List, p []byte) (r Reply, err error) {
	h, body, err := open(key, digestOf(list), p)
	if err == nil && h.kind != answer {
		err = errSpoilt
	}
	if err == nil {
		err = decoding.Unmarshal(body, &r)
	}
	return r, err
}

// Answer answers an operator's call that came by a stream; ok is false for anything else.
func (a *Agent) Answer(p []byte, now time.Duration) (reply []byte, ok bool) {
	h, body, err := open(a.options.Key, a.listDigest, p)
	if err != nil || h.kind != ask || h.from != Operator || h.to != a.options.Self {
		return nil, false
	}
	var c Call
	if decoding.Unmarshal(body, &c) != nil {
		return nil, false
	}
	r := a.reply(c, now)
	a.advance(now)
	return seal(a.options.Key, a.listDigest, header{kind: answer, from: a.options.Self, to: Operator, clock: h.clock}, encode(r)), true
}

func (a *Agent) reply(c Call, now time.Duration) Reply {
	me := a.options.List.Node(a.options.Self)
	r := Reply{Node: me.Name, Zone: me.Zone, Mode: a.mode.String(), Plan: a.planNumber, Lease: max(0, (a.lease - now).Seconds()),
		Log: fmt.Sprintf("%016x", a.follower.Log()), Voter: a.voter != nil, Leads: a.Leads(), Counts: a.Counts}
	if a.plan == nil || now >= a.lease {
		r.Lease = 0
	}
	if a.voter != nil {
		r.Term = a.voter.Term()
		if l := a.voter.Leader(); l >= 0 && l < len(a.options.List.Voters()) {
			r.Leader = a.options.List.Node(a.options.List.Voters()[l]).Name
		}
	}
	r.Loans, r.Lent = a.lent(), a.lender.Reserved(now)
	orders, _ := failover.DecodeOperatorOrders(a.follower.Newest(failover.OperatorOrdersKind).Data)
	r.Drained = orders.Drained
	switch c.Verb {
	case "status", "plan":
		a.replyPlan(&r)
		if a.planner != nil {
			for i := range a.options.List.Len() {
				n := a.options.List.Node(i)
				seen := a.planner.NodeView(i, now)
				r.Nodes = append(r.Nodes, NodeReply{Name: n.Name, Zone: n.Zone, Live: seen.Live, Plan: seen.Plan, Ago: seen.HeardSecondsAgo})
			}
		}
	case "explain":
		a.replyPlan(&r)
		if a.planner == nil {
			r.Error, r.Retry = "this node does not lead: evidence is with the one that does", true
			break
		}
		if !slices.Contains(a.options.List.Zones(), c.Arg) {
			r.Bad, r.Error = true, fmt.Sprintf("no zone %q: one of %v is wanted", c.Arg, a.options.List.Zones())
			break
		}
		r.Explain = a.planner.Explain(c.Arg, now)
	case "drain", "undrain":
		switch {
		case !slices.Contains(a.options.List.Zones(), c.Arg):
			r.Bad, r.Error = true, fmt.Sprintf("no zone %q: one of %v is wanted", c.Arg, a.options.List.Zones())
		case !a.Leads():
			r.Error, r.Retry = "this node does not lead", true
		default:
			orders.Drained = slices.DeleteFunc(slices.Clone(orders.Drained), func(z string) bool { return z == c.Arg })
			if c.Verb == "drain" {
				orders.Drained = append(orders.Drained, c.Arg)
				slices.SortFunc(orders.Drained, cmp.Compare[string])
			}
			if err := a.voter.Propose(agree.Proposal{ID: c.ID, Kind: failover.OperatorOrdersKind, Replaces: a.follower.Newest(failover.OperatorOrdersKind).Number,
				Data: orders.Encode()}); err != nil {
				r.Error, r.Retry = err.Error(), true
			}
		}
	case "ended":
		if a.voter == nil {
			r.Error, r.Retry = "this node does not vote: voters know how proposals ended", true
			break
		}
		if d, ok := a.voter.Ended(c.Arg); ok {
			r.Ended = &Ended{ID: d.ID, Number: d.Number, Taken: d.Accepted}
		}
	case "policy", "policy-propose", "policy-abort":
		a.replyPolicy(c, &r, now)
	default:
		r.Error = fmt.Sprintf("no call %q: status, plan, drain, undrain, explain, ended, policy, policy-propose and policy-abort are there", c.Verb)
	}
	return r
}

func (a *Agent) replyPlan(r *Reply) {
	p := a.plan
	if p == nil {
		return
	}
	r.Why = p.Reason
	for _, i := range p.LostNodes {
		if i >= 0 && i < a.options.List.Len() {
			r.Lost = append(r.Lost, a.options.List.Node(i).Name)
		}
	}
	for i, z := range p.Zones {
		out := ZoneReply{Name: z.Name, Region: z.Region, State: z.State.String(), Nodes: z.Nodes, Listed: z.Listed, Room: float64(z.Capacity), Guests: float64(z.GuestLoad),
			Want: map[string]float64{}, Grants: map[string]float64{}, Admit: map[string]float64{}}
		if z.LeaseOwner >= 0 && z.LeaseOwner < a.options.List.Len() {
			out.Lender, out.Lends = a.options.List.Node(z.LeaseOwner).Name, float64(z.Reserve)
		}
		for c, name := range p.Classes {
			out.Want[name], out.Admit[name] = float64(z.Demand[c]), float64(p.AdmitFractions[i][c])/255
		}
		for _, g := range p.Grants {
			if g.From == i {
				out.Grants[p.Zones[g.To].Name] = float64(g.Load)
			}
		}
		r.Zones = append(r.Zones, out)
	}
}
