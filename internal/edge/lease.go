package edge

import (
	"time"

	"spurwinch/choice"
)

// Lease says under which policy a core admits requests, and for how long without renewal.
type Lease struct {
	Number uint64 // of the policy document
	Known  bool   // this node has the document; else requests are admitted by the base policy alone
	// Expires is when the lease ends: a request that arrives later is not admitted under Number.
	Expires time.Time
	// OnExpiry sets the settings of the base policy. It is called once, before the first request that comes after
	// Expires.
	OnExpiry func()
	// BasePolicy reports whether a class is served by the base policy meanwhile; nil: none is.
	BasePolicy func(class int) bool
	// RetryAfter is the Retry-After of rejected requests, spread by half; 0: none.
	RetryAfter time.Duration
	// OnDecision is called for each request that arrives; how is an Admission. nil: it is not.
	OnDecision func(id choice.RequestID, number uint64, how string)

	expired bool // OnExpiry was called
}

// Admission says by which policy a request is taken.
type Admission string

const (
	// AdmittedByLease is a request taken under the policy of the lease.
	AdmittedByLease Admission = "lease"
	// AdmittedByBasePolicy is a request taken under the base policy, without a lease.
	AdmittedByBasePolicy Admission = "ground"
	// NotAdmitted is a request that is rejected for want of a policy.
	NotAdmitted Admission = "none"
)

const (
	// jitterHash spreads sequence numbers evenly (Knuth's multiplicative hash).
	jitterHash = 2654435761
	// jitterSteps is the number of different delays.
	jitterSteps = 1000
)

// UseLease has the core take requests by a lease. What was taken before goes on as it came.
func (c *Core) UseLease(lease Lease) {
	if c.lease != nil && c.lease.expired && !c.options.Clock.Now().Before(lease.Expires) {
		lease.expired = true // it expired before, and still is
	}
	c.lease = &lease
}

// admitUnderLease decides by the clock as it is now: a process that was stopped finds its clients' requests before it
// is notified of anything else. A request that is taken gets the class and the deadline of the policy.
func (c *Core) admitUnderLease(request *Request) (retryAfter time.Duration, admitted bool) {
	lease := c.lease
	if lease == nil || request.OpenAt != "" {
		return 0, true
	}
	now := c.options.Clock.Now()
	admission := lease.admit(request.Class, now)
	if lease.OnDecision != nil {
		lease.OnDecision(request.ID, lease.Number, string(admission))
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

// admit says by which policy a request of a class is taken now.
func (l *Lease) admit(class int, now time.Time) Admission {
	if l.Known && now.Before(l.Expires) {
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

// retryAfter is the advice for a request, spread by its sequence number, so that those who come at once don't come
// back at once.
func (l *Lease) retryAfter(sequence uint64) time.Duration {
	if l.RetryAfter <= 0 {
		return 0
	}
	return l.RetryAfter/2 + time.Duration(sequence*jitterHash%jitterSteps)*l.RetryAfter/jitterSteps
}
