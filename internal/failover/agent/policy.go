package agent

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"spurwinch/internal/agree"
	"spurwinch/internal/failover"
	"spurwinch/internal/policy"
)

// Policy says that the fleet has its policy on the log, and how this node reads one.
type Policy struct {
	Rules policy.Rules
	// Read reads a document by this node's own code; err says why this node can't go by it.
	Read func(text []byte) (*policy.Document, error)
	// Counts are the requests that came since the process began, and those that were turned away or failed.
	Counts func() (arrived, away float64)
}

// policyPart is a node's part in the policy.
type policyPart struct {
	state   *policy.State
	entry   uint64 // of state, on this node's disk
	verdict policy.Verdict
	why     string
	doc     *policy.Document    // of the change on its way, where this node can go by it
	told    policy.LeaderNotice // with the newest word of the one that leads

	driver *policy.Rollout // where this node leads
	words  map[int]policy.MemberStatus
	tried  time.Duration // when a step was proposed last
	newest uint64        // entry that fresh was read from
	fresh  *policy.State // as the log has it, at the one that leads

	refuses uint64 // number whose document this node can't go by
	ruled   uint64 // number whose rules the planner has
}

func (p *policyPart) init() {
	p.state, p.fresh, p.words = &policy.State{}, &policy.State{}, map[int]policy.MemberStatus{}
}

func (p *policyPart) lead(o *Policy, ruled uint64) {
	if o != nil {
		p.driver, p.words, p.ruled = policy.NewRollout(o.Rules), map[int]policy.MemberStatus{}, ruled
	}
}

// adoptPolicy takes in what the log has decided about the policy, once it is on this node's disk.
func (a *Agent) adoptPolicy(e agree.Entry) {
	p := &a.pol
	if a.options.Policy == nil || e.Kind != policy.Kind || e.Number <= p.entry {
		return
	}
	s, err := policy.Decode(e.Data)
	if err != nil {
		a.options.Log("fleet_policy_unreadable", "number", e.Number, "error", err.Error())
		return
	}
	before := p.state
	p.state, p.entry = s, e.Number
	p.verdict, p.why, p.doc = policy.VerdictPending, "", nil
	if c := s.Change; c != nil {
		var err error
		if p.doc, err = a.options.Policy.Read(c.Text); err != nil {
			p.verdict, p.why = policy.VerdictReject, err.Error()
			if len(p.why) > 160 {
				p.why = p.why[:160]
			}
		} else {
			p.verdict = policy.VerdictAccept
		}
		a.options.Log("fleet_policy_change", "id", c.ID, "number", c.Number, "step", c.Stage.String(), "digest", policy.Digest(c.Text), "verdict", verdictText(p))
	}
	if s.Number != before.Number {
		text, _ := s.Text(s.Number)
		a.options.Log("fleet_policy_decided", "number", s.Number, "digest", policy.Digest(text), "entry", e.Number)
	}
}

func verdictText(p *policyPart) string {
	if p.verdict == policy.VerdictReject {
		return "no: " + p.why
	}
	return "yes"
}

// newestPolicy is the state as the log has it, at a voter.
func (a *Agent) newestPolicy() (*policy.State, uint64) {
	p, e := &a.pol, a.follower.Newest(policy.Kind)
	if e.Number != p.newest {
		if s, err := policy.Decode(e.Data); err == nil {
			p.newest, p.fresh = e.Number, s
		}
	}
	return p.fresh, p.newest
}

// committed logs what the log has decided, at a voter.
func (a *Agent) committed() {
	if a.options.Policy == nil {
		return
	}
	before := a.pol.fresh
	s, entry := a.newestPolicy()
	if s.Number != before.Number {
		text, _ := s.Text(s.Number)
		a.options.Log("fleet_policy_committed", "number", s.Number, "digest", policy.Digest(text), "entry", entry)
	}
	if n := len(s.Ended); n > 0 && before.Change != nil && s.Ended[n-1].ID == before.Change.ID {
		x := s.Ended[n-1]
		a.options.Log("fleet_policy_ended", "id", x.ID, "number", x.Number, "taken", x.Accepted, "why", x.Reason)
	}
	if c := s.Change; c != nil && c.Stage == policy.StageCanary && (before.Change == nil || before.Change.Stage != policy.StageCanary) {
		a.options.Log("fleet_policy_trial", "id", c.ID, "number", c.Number)
	}
}

func (a *Agent) tellsPolicy() policy.LeaderNotice {
	if a.options.Policy == nil {
		return policy.LeaderNotice{}
	}
	s, entry := a.newestPolicy()
	t := policy.NoticeOf(entry, s)
	t.Window = uint32(a.options.Policy.Rules.Window / time.Millisecond)
	return t
}

// ActivePolicy tells under which number this node may serve, and until when by its own clock. Without a policy on the log there is no such limit.
func (a *Agent) ActivePolicy() (s policy.Active, until time.Duration) {
	p := &a.pol
	s = policy.ActiveFor(a.options.Self, a.zone, p.entry, p.state, p.told)
	if !a.leaderKnown {
		return s, 0
	}
	return s, a.leaderSeen + a.options.Policy.Rules.Lease(p.told)
}

// RejectPolicy tells that this node can't go by the document of a number: it does not serve under it.
func (a *Agent) RejectPolicy(number uint64) { a.pol.refuses = number }

// policyWord is what this node says of the policy.
func (a *Agent) policyWord(now time.Duration) *policy.MemberStatus {
	p := &a.pol
	if a.options.Policy == nil {
		return nil
	}
	s, until := a.ActivePolicy()
	w := &policy.MemberStatus{Entry: p.entry, Verdict: p.verdict, Reason: p.why, KnownNumber: p.state.Number, ServedNumber: s.Number,
		MayServe: s.Known && now < until && (s.Number == 0 || s.Number != p.refuses)}
	if a.options.Policy.Counts != nil {
		w.Arrived, w.Rejected = a.options.Policy.Counts()
	}
	return w
}

func (a *Agent) handlePolicy(node int, w policy.MemberStatus) {
	if a.pol.driver == nil {
		return
	}
	if old := a.pol.words[node]; w.Entry < old.Entry && w.Arrived >= old.Arrived {
		return // what the other aggregator told before
	}
	a.pol.words[node] = w
	a.pol.driver.Observe(node, w)
}

// members are all of the list, as the one that leads knows them.
func (a *Agent) members() (all []policy.Member) {
	cut := a.planner.Cut()
	for i := range a.options.List.Len() {
		n := a.options.List.Node(i)
		w, heard := a.pol.words[i]
		all = append(all, policy.Member{Name: n.Name, Node: i, Zone: n.Zone, Live: cut.Live(i), Heard: heard, Status: w})
	}
	return all
}

const stepAgain = time.Second // a step that is not decided by then is proposed anew

// drivePolicy moves a change on, at the one that leads.
func (a *Agent) drivePolicy(now time.Duration) {
	p := &a.pol
	if a.options.Policy == nil || p.driver == nil {
		return
	}
	s, entry := a.newestPolicy()
	if s.Number != p.ruled { // plans are made by the rules in force
		p.ruled = s.Number
		a.planner = failover.NewPlanner(a.options.List, a.rules(), a.planHistory, now)
	}
	if s.Change == nil || now-p.tried < stepAgain && p.tried > 0 {
		return
	}
	var doc *policy.Document
	if p.entry == entry { // what is not on this node's disk yet it can't judge
		doc = p.doc
	}
	if doc == nil && p.entry != entry {
		return
	}
	next := p.driver.Step(now, entry, s, doc, a.members())
	if next == nil {
		return
	}
	what := "tried"
	if n := len(next.Ended); next.Change == nil {
		what = map[bool]string{true: "decided", false: "given-up"}[next.Ended[n-1].Accepted]
	}
	p.tried = now
	if err := a.voter.Propose(agree.Proposal{ID: fmt.Sprintf("policy-%d-%s", entry, what), Kind: policy.Kind, Replaces: entry, Data: next.Encode()}); err != nil {
		a.options.Log("fleet_policy_not_proposed", "error", err.Error())
	}
}

// rules are the plans' rules: the policy's, where it has any.
func (a *Agent) rules() failover.Rules {
	r := a.options.Rules
	if a.options.Policy == nil {
		return r
	}
	s, _ := a.newestPolicy()
	text, ok := s.Text(s.Number)
	if s.Number == 0 || !ok {
		return r
	}
	d, err := a.options.Policy.Read(text)
	if err != nil {
		return r
	}
	var stay []string
	for _, c := range r.Classes {
		if c.StayInRegion {
			stay = append(stay, c.Name)
		}
	}
	if p := d.Failover; p != nil {
		r.UtilizationLimit, r.RecoveryRamp, r.RecoveryDelay, stay = p.Limit, p.Ramp, p.Hold, p.RegionalClasses
		far := map[[2]string]float64{}
		for _, f := range p.Far {
			far[[2]string{f.A, f.B}], far[[2]string{f.B, f.A}] = f.Cost, f.Cost
		}
		r.RegionDistance = func(x, y string) float64 { return max(1, far[[2]string{x, y}]) }
	}
	r.Classes = nil
	for _, c := range d.Classes {
		r.Classes = append(r.Classes, failover.Class{Name: c.Name, Priority: c.Priority, StayInRegion: slices.Contains(stay, c.Name)})
	}
	return r
}

// PolicyReply is what a node knows of the policy.
type PolicyReply struct {
	Token   string                     `json:"token,omitempty"` // to ask again with: the answer to that is not older than this call
	Number  uint64                     `json:"number"`
	Digest  string                     `json:"digest,omitempty"`
	Change  *ChangeReply               `json:"change,omitempty"`
	Ended   []policy.ChangeOutcome     `json:"ended,omitempty"`
	Docs    []policy.VersionedDocument `cbor:"docs" json:"-"`
	Entry   uint64                     `json:"entry"`
	Window  float64                    `json:"window_s"`
	Members []PolicyMember             `json:"members,omitempty"`
	Grounds []policy.VersionedBase     `json:"grounds,omitempty"`
}

// ChangeReply is a change on its way.
type ChangeReply struct {
	ID     string        `json:"id"`
	Number uint64        `json:"number"`
	Base   uint64        `json:"base"`
	Step   string        `json:"step"`
	Digest string        `json:"digest"`
	Part   policy.Canary `json:"part"`
	Text   []byte        `cbor:"text" json:"-"`
}

// PolicyMember is a member as the one that leads knows it.
type PolicyMember struct {
	Name   string `json:"name"`
	Live   bool   `json:"live"`
	Heard  bool   `json:"heard"`
	Has    uint64 `json:"has"`
	Serves uint64 `json:"serves"`
	May    bool   `json:"may_serve"`
	Answer string `json:"answer,omitempty"`
}

// fillPolicy tells the state as the log has it, and members as they were heard.
func (a *Agent) fillPolicy(s *policy.State, entry uint64) *PolicyReply {
	text, _ := s.Text(s.Number)
	r := &PolicyReply{Number: s.Number, Ended: s.Ended, Docs: s.Documents, Entry: entry, Window: a.options.Policy.Rules.Window.Seconds(), Grounds: s.Bases}
	if s.Number > 0 {
		r.Digest = policy.Digest(text)
	}
	if c := s.Change; c != nil {
		r.Change = &ChangeReply{ID: c.ID, Number: c.Number, Base: c.Base, Step: c.Stage.String(), Digest: policy.Digest(c.Text), Part: c.Canary, Text: c.Text}
	}
	var members []policy.Member
	if a.planner != nil {
		members = a.members()
	}
	for _, m := range members {
		x := PolicyMember{Name: m.Name, Live: m.Live, Heard: m.Heard, Has: m.Status.KnownNumber, Serves: m.Status.ServedNumber, May: m.Status.MayServe}
		if s.Change != nil && m.Status.Entry == entry {
			x.Answer = [...]string{"", "yes", "no: " + m.Status.Reason}[min(m.Status.Verdict, 2)]
		}
		r.Members = append(r.Members, x)
	}
	return r
}

// replyPolicy answers operators' calls about the policy. All of them go to the one that leads, and what it tells is linearizable: it is told only
// after a majority has confirmed, since the call came, that this node leads.
func (a *Agent) replyPolicy(c Call, r *Reply, now time.Duration) {
	switch {
	case a.options.Policy == nil:
		r.Bad, r.Error = true, "this fleet has no policy on its log: [policy] in the list of nodes has it"
		return
	case !a.Leads():
		r.Error, r.Retry = "this node does not lead", true
		return
	}
	if c.Arg == "" && c.Verb == "policy" {
		r.Policy, r.Retry = &PolicyReply{Token: fmt.Sprintf("%d/%d", a.voter.Term(), a.voter.Confirm())}, true
		return
	}
	s, entry := a.newestPolicy()
	if c.Verb == "policy" {
		term, call, _ := strings.Cut(c.Arg, "/")
		t, err1 := strconv.ParseUint(term, 10, 64)
		k, err2 := strconv.ParseUint(call, 10, 64)
		switch {
		case err1 != nil || err2 != nil:
			r.Bad, r.Error = true, "a token of an answer is wanted"
		case t != a.voter.Term():
			r.Error, r.Retry = "another one leads since the call came", true
		case k > a.voter.Confirmed():
			r.Policy, r.Retry = &PolicyReply{Token: c.Arg}, true
		default:
			r.Policy = a.fillPolicy(s, entry)
		}
		return
	}
	if e, ended, known := s.Find(c.ID); known && (c.Verb == "policy-propose" || ended) { // proposed before: nothing changes
		r.Policy = a.fillPolicy(s, entry)
		r.Why = e.Reason
		return
	}
	if d, ok := a.voter.Ended(c.ID); ok && !d.Accepted {
		r.Error = "given up: another change came first"
		return
	}
	var next *policy.State
	id := c.ID
	switch c.Verb {
	case "policy-propose":
		if z := c.Part.Zone; z != "" && !slices.Contains(a.options.List.Zones(), z) {
			r.Error = fmt.Sprintf("a part of zone %q: one of %v is wanted", z, a.options.List.Zones())
			return
		}
		doc, err := a.options.Policy.Read(c.Data)
		if err != nil {
			r.Error = a.options.List.Node(a.options.Self).Name + ": " + err.Error()
			return
		}
		if next, err = s.Propose(c.ID, c.Base, c.Data, doc, c.Part); err != nil {
			r.Error, r.Retry = err.Error(), errors.Is(err, policy.ErrChangeInProgress)
			return
		}
	case "policy-abort":
		if s.Change == nil || s.Change.ID != c.ID {
			r.Error = fmt.Sprintf("no change %q is on its way", c.ID)
			return
		}
		next, id = s.Abort("aborted by an operator"), fmt.Sprintf("policy-%d-aborted", entry)
	}
	if err := a.voter.Propose(agree.Proposal{ID: id, Kind: policy.Kind, Replaces: entry, Data: next.Encode()}); err != nil {
		r.Error, r.Retry = err.Error(), true
		return
	}
	r.Retry = true // it is on its way: the next call with this id tells
}
