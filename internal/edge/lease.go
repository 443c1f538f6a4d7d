package edge

import (
	"time"

	"spurwinch/choice"
)

// Lease specifies under which policy a core admits requests, and when that permission ends unless it is renewed.
type Lease struct {
	PolicyNumber uint64 // number of the policy document
	HasDocument  bool   // this node has the document; if not, it admits requests only under the base policy
	// Expires is when the lease ends. From then on the core admits no request under the policy PolicyNumber.
	Expires time.Time
	// OnExpiry applies the settings of the base policy. The core calls it once, before it decides on the first request
	// that it can't admit under the policy PolicyNumber.
	OnExpiry func()
	// BasePolicy reports whether the core admits a class under the base policy without a lease; nil: it admits none.
	BasePolicy func(class int) bool
	// RetryAfter is the mean retry delay for rejected requests, varied by up to half of it; 0: none.
	RetryAfter time.Duration
	// OnDecision is called for each request that arrives; admission is an Admission. nil: there is no callback.
	OnDecision func(id choice.RequestID, number uint64, admission string)

	expired bool // OnExpiry was called
}

// Admission is the policy under which a request is admitted.
type Admission string

const (
	// AdmittedByLease means that the request is admitted under the policy of the lease.
	AdmittedByLease Admission = "lease"
	// AdmittedByBasePolicy means that the request is admitted under the base policy, without a lease.
	AdmittedByBasePolicy Admission = "ground"
	// NotAdmitted means that the request is rejected because no policy admits it.
	NotAdmitted Admission = "none"
)

const (
	// jitterMultiplier distributes sequence numbers evenly (Knuth's multiplicative hash).
	jitterMultiplier = 2654435761
	// jitterSteps is the number of distinct delays.
	jitterSteps = 1000
)

// UseLease makes the core admit new requests under a lease. Requests that were admitted before are not affected.
func (c *Core) UseLease(lease Lease) {
	if c.lease != nil && c.lease.expired && !c.options.Clock.Now().Before(lease.Expires) {
		lease.expired = true // the previous lease expired, and so has this one: OnExpiry was already called
	}
	c.lease = &lease
}

// admitUnderLease decides whether a request is admitted, and gives an admitted request the class and the deadline of
// the policy. It reads the clock at each request: a process that was suspended reads waiting requests before it is
// notified of anything else.
func (c *Core) admitUnderLease(request *Request) (retryAfter time.Duration, admitted bool) {
	lease := c.lease
	if lease == nil || request.OpenAt != "" {
		return 0, true
	}
	now := c.options.Clock.Now()
	admission := lease.admit(request.Class, now)
	if lease.OnDecision != nil {
		lease.OnDecision(request.ID, lease.PolicyNumber, string(admission))
	}
	if admission == NotAdmitted {
		return lease.retryAfter(c.lastSequence), false
	}
	request.class = c.options.Settings.Classes[request.Class]
	if deadline := now.Add(request.class.Deadline); request.Deadline.After(deadline) {
		request.Deadline = deadline
	}
	return 0, true
}

// admit returns the policy under which a request of a class is admitted now.
func (l *Lease) admit(class int, now time.Time) Admission {
	if l.HasDocument && now.Before(l.Expires) {
		return AdmittedByLease
	}
	if !l.expired {
		l.expired = true
		if l.OnExpiry != nil {
			l.OnExpiry()
		}
	}
	if l.BasePolicy != nil && l.BasePolicy(class) {
		return AdmittedByBasePolicy
	}
	return NotAdmitted
}

// retryAfter returns the retry delay for a request. It varies with the sequence number, so that clients that are
// rejected at the same time don't retry at the same time.
func (l *Lease) retryAfter(sequence uint64) time.Duration {
	if l.RetryAfter <= 0 {
		return 0
	}
	return l.RetryAfter/2 + time.Duration(sequence*jitterMultiplier%jitterSteps)*l.RetryAfter/jitterSteps
}
