package failover

import (
	"maps"
	"slices"
	"time"
)

const (
	// LeaseDuration is how long a capacity lease lasts: at its holder from when it made the request, at its owner from
	// when the request came.
	LeaseDuration = 2 * time.Second
	// leaseSettlePeriod is how long after an owner's last answer a lease may still be in use.
	leaseSettlePeriod = LeaseDuration + 500*time.Millisecond
)

// LeaseOwner leases out the reserve of one zone's capacity, at the node that the plan names for it. A lease counts
// until its holder can't use it any longer, also when a newer plan has a smaller reserve.
type LeaseOwner struct {
	leases     map[int][]lease // by holder: the newest is in use, or an older one whose successor was lost on its way
	grantsFrom time.Duration   // when all leases of an earlier process of this node have ended
}

// lease is a load that a node may have.
type lease struct {
	load    float64
	expires time.Duration
}

func (l lease) expired(now time.Duration) bool { return l.expires <= now }

// NewLeaseOwner is an owner without leases. It grants none for leaseSettlePeriod, since an earlier process of this node
// may have granted some.
func NewLeaseOwner(now time.Duration) *LeaseOwner {
	return &LeaseOwner{leases: map[int][]lease{}, grantsFrom: now + leaseSettlePeriod}
}

// Grant leases a node up to what it requests out of a reserve, and returns the load of the lease; 0: there is none. A
// node that requests less than it has uses no more than it requests from then on.
func (o *LeaseOwner) Grant(node int, requested, reserve float64, now time.Duration) float64 {
	if now < o.grantsFrom || !(requested >= 0) || !(reserve >= 0) { // negated, so that NaN gets nothing
		return 0
	}
	o.removeExpired(now)
	others := 0.0
	for _, holder := range slices.Sorted(maps.Keys(o.leases)) { // sums of floats are alike in one order only
		if holder != node {
			others += largestLoad(o.leases[holder])
		}
	}
	leases := o.leases[node]
	for i := range leases {
		leases[i].load = min(leases[i].load, requested)
	}
	granted := min(requested, max(0, reserve-others))
	if granted > 0 {
		superseded := func(older lease) bool { return older.load <= granted }
		o.leases[node] = append(slices.DeleteFunc(leases, superseded), lease{granted, now + leaseSettlePeriod})
	}
	return granted
}

func (o *LeaseOwner) removeExpired(now time.Duration) {
	for holder, leases := range o.leases {
		left := slices.DeleteFunc(leases, func(l lease) bool { return l.expired(now) })
		if len(left) == 0 {
			delete(o.leases, holder)
			continue
		}
		o.leases[holder] = left
	}
}

// Reserved is the load of all leases that may be in use.
func (o *LeaseOwner) Reserved(now time.Duration) (load float64) {
	for _, holder := range slices.Sorted(maps.Keys(o.leases)) {
		current := slices.DeleteFunc(slices.Clone(o.leases[holder]), func(l lease) bool { return l.expired(now) })
		load += largestLoad(current)
	}
	return load
}

// largestLoad is the most that a holder can make of its leases: it uses one at a time.
func largestLoad(leases []lease) (load float64) {
	for _, l := range leases {
		load = max(load, l.load)
	}
	return load
}
