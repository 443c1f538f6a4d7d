package node

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"spurwinch/internal/config"
	"spurwinch/internal/edge"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/policy"
	"spurwinch/internal/simwire"
)

// policyState is what a node keeps of the fleet's policy.
type policyState struct {
	program  *Program
	applied  bool // the core goes by number
	number   uint64
	document *policy.Document // nil: the node's own files
	onBase   bool             // the lease is over: classes that have one are served by the base policy
	unusable uint64           // number that this node can't go by: it is read, and logged, once; 0: none

	admitted           []string // requests, for the log of a laboratory
	unloggedAdmissions int
	loggedAt           time.Time
}

// policyOptions has the agent read documents as this node can go by them; nil: the fleet has no policy on its log.
func (f *fleet) policyOptions() *agent.Policy {
	if f.config.List.Policy == nil {
		return nil
	}
	return &agent.Policy{Rules: f.config.List.Policy.Rules(), Counts: f.core.AnswerCounts, Read: f.readPolicy}
}

// readPolicy reads a document. One that this node has not the capacity for is an error as well.
func (f *fleet) readPolicy(text []byte) (*policy.Document, error) {
	document, err := config.ReadPolicy("policy", text, f.config.PolicyLevel)
	if err != nil {
		return nil, err
	}
	capacity := policy.NodeCapacity{}
	if platform := f.policy.program.platform; platform != nil {
		capacity = policy.NodeCapacity{Descriptors: platform.config.Sockets, MemoryMB: platform.config.MemoryMB}
	}
	if why := document.Fits(capacity); why != "" {
		return nil, fmt.Errorf("policy: %s", why)
	}
	return document, nil
}

// applyPolicy has the core admit requests under the number that this node may serve by.
func (f *fleet) applyPolicy() {
	if f.agent == nil || f.config.List.Policy == nil {
		return
	}
	state := &f.policy
	active, leaseEnd := f.agent.ActivePolicy()
	if active.Known && active.Number > 0 && active.Number == state.unusable {
		active.Known = false
	}
	if active.Known && (!state.applied || active.Number != state.number) {
		active.Known = f.usePolicy(active.Number, active.Text)
	}
	expires := f.start.Add(max(0, leaseEnd))
	live := active.Known && f.loop.Now().Before(expires)
	if live && state.onBase {
		f.overlayPolicy(false)
	}
	f.core.UseLease(f.policyLease(active.Number, active.Known, expires))
	if live && state.program.awaitsPolicy {
		state.program.awaitsPolicy = false
		state.program.announceReady()
	}
}

// usePolicy puts a policy into use; number 0 is the node's own files. False: this node can't go by it.
func (f *fleet) usePolicy(number uint64, text []byte) bool {
	var document *policy.Document
	if number > 0 {
		var err error
		if document, err = f.readPolicy(text); err != nil {
			f.policy.unusable = number
			f.agent.RejectPolicy(number)
			zap.L().Error("fleet_policy_unusable", zap.Uint64("number", number), zap.Error(err),
				zap.String("what", "it takes nothing but classes with a ground, by the last policy that it could read"))
			return false
		}
	}
	f.policy.applied = true
	f.policy.number = number
	f.policy.document = document
	f.overlayPolicy(false)
	zap.L().Info("fleet_policy_in_use", zap.Uint64("number", number), zap.String("digest", policy.Digest(text)))
	return true
}

// policyLease is what the core may do under a policy, and without one once the lease has expired.
func (f *fleet) policyLease(number uint64, known bool, expires time.Time) edge.Lease {
	lease := edge.Lease{
		Number: number, Known: known, Expires: expires, OnDecision: f.admissionRecorder(),
		RetryAfter: time.Duration(f.config.RetryAfter),
	}
	document := f.policy.document
	if document == nil {
		return lease
	}
	lease.RetryAfter = document.RetryAfter
	lease.OnExpiry = func() { f.overlayPolicy(true) }
	lease.BasePolicy = func(class int) bool {
		classes := f.core.Classes()
		return class < len(classes) && slices.ContainsFunc(document.Classes, func(candidate policy.Class) bool {
			return candidate.ServedByBase && candidate.Name == classes[class].Name
		})
	}
	return lease
}

// overlayPolicy puts the policy in use over the node's files, or its base policy.
func (f *fleet) overlayPolicy(onBase bool) {
	state := &f.policy
	state.onBase = onBase
	platform := state.program.platform
	if platform == nil || state.document == nil && platform.overlay == nil {
		return
	}
	if onBase {
		zap.L().Warn("fleet_policy_lease_expired", zap.Uint64("number", state.number),
			zap.String("what", "classes with a ground are served by it, others are refused"))
	}
	if document := state.document; document != nil {
		platform.overlay = func(own simwire.Settings) simwire.Settings { return withPolicy(document, own, onBase) }
	}
	platform.applySettings(platform.processes)
	f.updateClasses()
}

// servesPolicy reports whether this node takes requests by the policy in force; without one on the log each does.
func (f *fleet) servesPolicy() bool {
	if f.config.List.Policy == nil {
		return true
	}
	if f.agent == nil || !f.policy.applied {
		return false
	}
	active, leaseEnd := f.agent.ActivePolicy()
	return active.Known && active.Number == f.policy.number && f.now() < leaseEnd
}
