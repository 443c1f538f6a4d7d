package node

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"spurwinch/internal/config"
	"spurwinch/internal/edge"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/policy"
	"spurwinch/internal/simwire"
)

// policyState is the state of the fleet's policy on this node.
type policyState struct {
	program  *Program
	applied  bool // the policy with this number is in use
	number   uint64
	document *policy.Document // nil: the node uses its own files
	onBase   bool             // the lease has expired; classes with a base policy are served under it
	unusable uint64           // number of a policy that can't be applied here, to read and log it only once; 0: none
}

// policyOptions returns options with which the agent checks policy documents against this node's capacity. It returns
// nil if the fleet has no policy in its log.
func (f *fleet) policyOptions() *agent.Policy {
	if f.config.List.Policy == nil {
		return nil
	}
	return &agent.Policy{Rules: f.config.List.Policy.Rules(), Counts: f.core.AnswerCounts, Read: f.readPolicy}
}

// readPolicy parses a policy document. The error is a *policyCapacityError if this node lacks the capacity for it.
func (f *fleet) readPolicy(text []byte) (*policy.Document, error) {
	document, err := config.ReadPolicy("policy", text, f.config.PolicyLevel)
	if err != nil {
		return nil, err
	}
	capacity := policy.NodeCapacity{}
	if platform := f.policy.program.platform; platform != nil {
		capacity = policy.NodeCapacity{Descriptors: platform.config.Sockets, MemoryMB: platform.config.MemoryMB}
	}
	if missing := document.UnmetRequirement(capacity); missing != "" {
		return nil, &policyCapacityError{missing}
	}
	return document, nil
}

// applyPolicy makes the core admit requests under the policy for which this node holds a lease.
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
	leaseExpires := f.start.Add(max(0, leaseEnd))
	leaseValid := active.Known && f.loop.Now().Before(leaseExpires)
	if leaseValid && state.onBase {
		f.overlayPolicy(false)
	}
	f.core.UseLease(f.policyLease(active.Number, active.Known, leaseExpires))
	if leaseValid && state.program.readiness.awaitsPolicy {
		state.program.readiness.awaitsPolicy = false
		state.program.announceReady()
	}
}

// usePolicy applies a policy; number 0 means the node's own files. It returns false if this node can't apply the
// policy.
func (f *fleet) usePolicy(number uint64, text []byte) bool {
	var document *policy.Document
	if number > 0 {
		var err error
		if document, err = f.readPolicy(text); err != nil {
			f.policy.unusable = number
			f.agent.RejectPolicy(number)
			zap.L().Error("fleet_policy_unusable", zap.Uint64("number", number), zap.Error(err),
				zap.String("what", "this node serves only classes with a base policy, under the last usable policy"))
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

// policyLease returns the core's lease on a policy, including the rules that apply after it has expired.
func (f *fleet) policyLease(number uint64, known bool, expires time.Time) edge.Lease {
	lease := edge.Lease{
		PolicyNumber: number, HasDocument: known, Expires: expires, OnDecision: f.admissionRecorder(),
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

// overlayPolicy overlays the settings of the node's files with the policy in use, or with its base policy.
func (f *fleet) overlayPolicy(onBase bool) {
	state := &f.policy
	state.onBase = onBase
	platform := state.program.platform
	if platform == nil || state.document == nil && platform.overlay == nil {
		return
	}
	if onBase {
		zap.L().Warn("fleet_policy_lease_expired", zap.Uint64("number", state.number),
			zap.String("what", "classes with a base policy are served under it, other classes are rejected"))
	}
	if document := state.document; document != nil {
		platform.overlay = func(own simwire.Settings) simwire.Settings { return withPolicy(document, own, onBase) }
	}
	platform.applySettings(platform.processes)
	f.updateClasses()
}

// servesPolicy reports whether this node admits requests under the policy in force. It is always true if the fleet has
// no policy in its log.
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
