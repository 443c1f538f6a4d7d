package agent

import (
	"fmt"
	"time"

	"spurwinch/internal/failover"
)

// admitScale is the value in a plan's AdmitFractions that means that all arrivals are admitted.
const admitScale = 255

// Reply is a node's reply to an operator's call. Tools print it as JSON. Nodes send it as CBOR with the same keys.
type Reply struct {
	Error              string             `json:"error,omitempty"`
	BadCall            bool               `json:"bad,omitempty"`   // the call is invalid: no node accepts it
	Retry              bool               `json:"retry,omitempty"` // the same call may succeed later, or at the leader
	Leader             string             `json:"leader,omitempty"`
	Node               string             `json:"node"`
	Zone               string             `json:"zone"`
	Mode               string             `json:"mode"`
	Plan               uint64             `json:"plan"`
	GrantsValidSeconds float64            `json:"lease_s"`        // seconds until the grants in other zones expire
	Log                string             `json:"log"`            // ID of the log, in hexadecimal
	Term               uint64             `json:"term,omitempty"` // voters only
	Leads              bool               `json:"leads"`          // this node is the leader
	Voter              bool               `json:"voter"`
	Counts             Counts             `json:"messages"`
	Zones              []ZoneReply        `json:"zones,omitempty"`
	Reason             string             `json:"why,omitempty"`
	LostNodes          []string           `json:"lost,omitempty"`
	LeasedFrom         map[string]float64 `json:"loans,omitempty"` // capacity that this node has leased, by zone
	LeasedOut          float64            `json:"lent"`            // capacity of its own zone that other nodes lease
	Drained            []string           `json:"drained,omitempty"`
	Nodes              []NodeReply        `json:"nodes,omitempty"` // leader only
	Explain            []string           `json:"explain,omitempty"`
	Outcome            *ProposalOutcome   `json:"ended,omitempty"`
	Policy             *PolicyReply       `json:"policy,omitempty"`
}

// ProposalOutcome is the outcome of a proposal, accepted or not.
type ProposalOutcome struct {
	ID       string `json:"id"`
	Number   uint64 `json:"number"`
	Accepted bool   `json:"taken"`
}

// ZoneReply is a zone of the plan.
type ZoneReply struct {
	Name           string             `json:"name"`
	Region         string             `json:"region"`
	State          string             `json:"state"`
	Nodes          int                `json:"nodes"`
	Listed         int                `json:"listed"` // nodes of the zone in the list of nodes
	Capacity       float64            `json:"room"`
	GuestLoad      float64            `json:"guests"` // load that clients of other zones currently need in this zone
	LeaseOwner     string             `json:"lender,omitempty"`
	Reserve        float64            `json:"lends"` // part of the capacity that the lease owner may lease out
	Demand         map[string]float64 `json:"want"`
	Grants         map[string]float64 `json:"grants"`
	AdmitFractions map[string]float64 `json:"admit"`
}

// NodeReply is a node as the leader sees it.
type NodeReply struct {
	Name                 string  `json:"name"`
	Zone                 string  `json:"zone"`
	Live                 bool    `json:"live"`
	Plan                 uint64  `json:"plan"`
	LastReportSecondsAgo float64 `json:"heard_s_ago"` // seconds since its last report; negative: no report yet
}

// describe returns a reply that describes the node's own state, as every reply does.
func (a *Agent) describe(now time.Duration) Reply {
	self := a.options.List.Node(a.options.Self)
	reply := Reply{
		Node:       self.Name,
		Zone:       self.Zone,
		Mode:       a.mode.String(),
		Plan:       a.planNumber,
		Log:        fmt.Sprintf("%016x", a.follower.LogID()),
		Voter:      a.voter != nil,
		Leads:      a.IsLeader(),
		Counts:     a.Counts,
		LeasedFrom: a.leasedLoads(),
		LeasedOut:  a.leaseOwner.LeasedOut(now),
	}
	if a.plan != nil && now < a.grantsValidUntil {
		reply.GrantsValidSeconds = (a.grantsValidUntil - now).Seconds()
	}
	if a.voter != nil {
		reply.Term = a.voter.Term()
		voters := a.options.List.Voters()
		if leader := a.voter.Leader(); leader >= 0 && leader < len(voters) {
			reply.Leader = a.options.List.Node(voters[leader]).Name
		}
	}
	newest := a.follower.Newest(failover.OperatorOrdersKind)
	orders, _ := failover.DecodeOperatorOrders(newest.Data) // without orders no zone is drained
	reply.Drained = orders.Drained
	return reply
}

// describePlan adds the plan in effect to a reply.
func (a *Agent) describePlan(reply *Reply) {
	if a.plan == nil {
		return
	}
	reply.Reason = a.plan.Reason
	for _, node := range a.plan.LostNodes {
		if node >= 0 && node < a.options.List.Len() {
			reply.LostNodes = append(reply.LostNodes, a.options.List.Node(node).Name)
		}
	}
	for i := range a.plan.Zones {
		reply.Zones = append(reply.Zones, a.describeZone(i))
	}
}

// describeZone describes the zone at an index of the plan.
func (a *Agent) describeZone(index int) ZoneReply {
	plan, zone := a.plan, a.plan.Zones[index]
	reply := ZoneReply{
		Name:           zone.Name,
		Region:         zone.Region,
		State:          zone.State.String(),
		Nodes:          zone.Nodes,
		Listed:         zone.Listed,
		Capacity:       float64(zone.Capacity),
		GuestLoad:      float64(zone.GuestLoad),
		Demand:         map[string]float64{},
		Grants:         map[string]float64{},
		AdmitFractions: map[string]float64{},
	}
	if zone.LeaseOwner >= 0 && zone.LeaseOwner < a.options.List.Len() {
		reply.LeaseOwner = a.options.List.Node(zone.LeaseOwner).Name
		reply.Reserve = float64(zone.Reserve)
	}
	for class, name := range plan.Classes {
		reply.Demand[name] = float64(zone.Demand[class])
		reply.AdmitFractions[name] = float64(plan.AdmitFractions[index][class]) / admitScale
	}
	for _, grant := range plan.Grants {
		if grant.From == index {
			reply.Grants[plan.Zones[grant.To].Name] = float64(grant.Load)
		}
	}
	return reply
}

// describeNodes adds the nodes to a reply as the leader sees them.
func (a *Agent) describeNodes(reply *Reply, now time.Duration) {
	if a.planner == nil {
		return
	}
	for i := range a.options.List.Len() {
		node := a.options.List.Node(i)
		view := a.planner.NodeView(i, now)
		reply.Nodes = append(reply.Nodes, NodeReply{
			Name: node.Name, Zone: node.Zone, Live: view.Live, Plan: view.Plan,
			LastReportSecondsAgo: view.LastReportSecondsAgo,
		})
	}
}
