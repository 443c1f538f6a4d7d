package node

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/config"
	"spurwinch/internal/edge"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/policy"
	"spurwinch/internal/wire"
)

// policyState is what a node keeps of the fleet's policy.
type policyState struct {
	program            *Program
	applied            bool // the core goes by number
	number             uint64
	document           *policy.Document // nil: the node's own files
	onBase             bool             // and by its ground
	unusable           uint64           // number that this node can't go by: it is read, and told of, once; 0: none
	admitted           []string         // requests, for the log of a laboratory
	unloggedAdmissions int
	loggedAt           time.Time
}

const (
	maxLoggedAdmissions  = 400 // requests in one line of the log
	admissionLogInterval = 100 * time.Millisecond
)

// policyOptions has the agent read documents as this node can go by them; nil: the fleet has no policy on its log.
func (f *fleet) policyOptions() *agent.Policy {
	if f.config.List.Policy == nil {
		return nil
	}
	return &agent.Policy{Rules: f.config.List.Policy.Rules(), Counts: f.core.AnswerCounts, Read: func(text []byte) (*policy.Document, error) {
		d, err := config.ReadPolicy("policy", text, f.config.PolicyLevel)
		if err != nil {
			return nil, err
		}
		room := policy.NodeCapacity{}
		if n := f.policy.program.platform; n != nil {
			room = policy.NodeCapacity{Descriptors: n.config.Sockets, MemoryMB: n.config.MemoryMB}
		}
		if why := d.Fits(room); why != "" {
			return nil, fmt.Errorf("policy: %s", why)
		}
		return d, nil
	}}
}

// applyPolicy has the core take requests under the number that this node may serve by.
func (f *fleet) applyPolicy() {
	if f.agent == nil || f.config.List.Policy == nil {
		return
	}
	p := &f.policy
	s, until := f.agent.ActivePolicy()
	if s.Known && s.Number > 0 && s.Number == p.unusable {
		s.Known = false
	}
	if s.Known && (!p.applied || s.Number != p.number) {
		var doc *policy.Document
		if s.Number > 0 {
			d, err := f.policyOptions().Read(s.Text)
			if err != nil {
				p.unusable, s.Known = s.Number, false
				f.agent.RejectPolicy(s.Number)
				zap.L().Error("fleet_policy_unusable", zap.Uint64("number", s.Number), zap.Error(err),
					zap.String("what", "it takes nothing but classes with a ground, by the last policy that it could read"))
			}
			doc = d
		}
		if s.Known {
			p.applied, p.number, p.document = true, s.Number, doc
			f.overlayPolicy(false)
			zap.L().Info("fleet_policy_in_use", zap.Uint64("number", s.Number), zap.String("digest", policy.Digest(s.Text)))
		}
	}
	until = max(0, until)
	ends := f.start.Add(until)
	lease := edge.Lease{Number: s.Number, Known: s.Known, Expires: ends, OnDecision: f.admissionRecorder(), RetryAfter: time.Duration(f.config.ComeAgain)}
	if d := p.document; d != nil {
		lease.RetryAfter = d.RetryAfter
		lease.OnExpiry = func() { f.overlayPolicy(true) }
		lease.BasePolicy = func(class int) bool {
			classes := f.core.Classes()
			return class < len(classes) && slices.ContainsFunc(d.Classes, func(c policy.Class) bool { return c.ServedByBase && c.Name == classes[class].Name })
		}
	}
	live := s.Known && f.loop.Now().Before(ends)
	if live && p.onBase {
		f.overlayPolicy(false)
	}
	f.core.UseLease(lease)
	if live && p.program.awaitsPolicy {
		p.program.awaitsPolicy = false
		p.program.announceReady()
	}
}

// overlayPolicy puts the policy in use over the node's files, or its ground.
func (f *fleet) overlayPolicy(ground bool) {
	p := &f.policy
	p.onBase = ground
	n := p.program.platform
	if n == nil || p.document == nil && n.overlay == nil {
		return
	}
	if ground {
		zap.L().Warn("fleet_policy_lease_expired", zap.Uint64("number", p.number), zap.String("what", "classes with a ground are served by it, others are refused"))
	}
	if d := p.document; d != nil {
		n.overlay = func(s wire.Settings) wire.Settings { return withPolicy(d, s, ground) }
	}
	n.applySettings(n.processes)
	f.updateClasses()
}

// withPolicy is a node's own settings with a policy over them.
func withPolicy(d *policy.Document, s wire.Settings, ground bool) wire.Settings {
	old := s.Classes
	s.Classes, s.ClassByName = nil, map[string]int{}
	for i, k := range d.Classes {
		c := choice.Class{Name: k.Name}
		if j := slices.IndexFunc(old, func(o choice.Class) bool { return o.Name == k.Name }); j >= 0 {
			c = old[j]
		}
		c.Removed, c.SetupObjective, c.Deadline, c.MessageObjective, c.Priority = false, k.SetupObjective, k.Deadline, k.MessageObjective, k.Priority
		if ground && k.ServedByBase {
			c.Deadline = min(c.Deadline, d.Base.Deadline)
			c.SetupObjective = min(c.SetupObjective, c.Deadline)
		}
		s.Classes, s.ClassByName[k.Name] = append(s.Classes, c), i
	}
	if len(d.Tenants) > 0 {
		was := s.Tenants
		s.Tenants, s.TenantByName = nil, map[string]int{}
		for i, k := range d.Tenants {
			t := choice.Tenant{Name: k.Name}
			if j := slices.IndexFunc(was, func(o choice.Tenant) bool { return o.Name == k.Name }); j >= 0 {
				t = was[j]
			}
			t.Connections, t.Rate = k.Connections, k.Rate
			s.Tenants, s.TenantByName[k.Name] = append(s.Tenants, t), i
		}
	}
	s.Limits.MaxAttempts = min(s.Limits.MaxAttempts, d.Attempts)
	if ground && d.Base.Attempts > 0 {
		s.Limits.MaxAttempts = min(s.Limits.MaxAttempts, d.Base.Attempts)
	}
	s.OverQuotaPriority = d.OverQuotaPriority
	return s
}

// servesPolicy says whether this node takes requests by the policy in force; without one on the log each does.
func (f *fleet) servesPolicy() bool {
	if f.config.List.Policy == nil {
		return true
	}
	if f.agent == nil || !f.policy.applied {
		return false
	}
	s, until := f.agent.ActivePolicy()
	return s.Known && s.Number == f.policy.number && f.now() < until
}

// conflictWithPolicy says what a file says otherwise than the policy in use; empty: nothing. Attempts are a node's own limit as well: the lower one counts.
func (f *fleet) conflictWithPolicy(s wire.Settings) string {
	d := f.policy.document
	if d == nil {
		return ""
	}
	what := func(key string, file, has any) string {
		return fmt.Sprintf("%s is %v, policy %d of the fleet has %v: what is common is changed by spurwinchctl policy propose", key, file, f.policy.number, has)
	}
	for name, i := range s.ClassByName {
		c := s.Classes[i]
		j := slices.IndexFunc(d.Classes, func(k policy.Class) bool { return k.Name == name })
		switch {
		case j < 0:
			return what("class "+name, "there", "none")
		case c.Deadline != d.Classes[j].Deadline:
			return what("giveUpS of "+name, c.Deadline, d.Classes[j].Deadline)
		case c.SetupObjective != d.Classes[j].SetupObjective:
			return what("aimS of "+name, c.SetupObjective, d.Classes[j].SetupObjective)
		case c.Priority != d.Classes[j].Priority:
			return what("value of "+name, c.Priority, d.Classes[j].Priority)
		}
	}
	return ""
}

// admissionRecorder keeps which request was taken under which number, where the log wants it; a laboratory reads it there.
func (f *fleet) admissionRecorder() func(id choice.RequestID, number uint64, how string) {
	if !zap.L().Core().Enabled(zap.DebugLevel) {
		return nil
	}
	return func(id choice.RequestID, number uint64, how string) {
		p := &f.policy
		if len(p.admitted) >= maxLoggedAdmissions {
			p.unloggedAdmissions++
			return
		}
		p.admitted = append(p.admitted, fmt.Sprintf("%s=%d=%s=%d", id, number, how, f.now().Microseconds()))
	}
}

func (f *fleet) logAdmitted(now time.Time) {
	p := &f.policy
	if len(p.admitted) == 0 || now.Sub(p.loggedAt) < admissionLogInterval {
		return
	}
	p.loggedAt = now
	zap.L().Debug("fleet_admitted", zap.String("requests", strings.Join(p.admitted, " ")), zap.Int64("now", f.now().Microseconds()), zap.Int("untold", p.unloggedAdmissions))
	p.admitted, p.unloggedAdmissions = p.admitted[:0], 0
}
