package failover

import (
	"maps"
	"slices"
	"time"
)

const (
	// LeaseDuration is how long a capacity lease is valid. Its holder counts from when it sent the request, its owner
	// from when it received the request.
	LeaseDuration = 2 * time.Second
	// leaseSettlePeriod is how long after an owner's last reply a lease may still be in use.
	leaseSettlePeriod = LeaseDuration + 500*time.Millisecond
)

// LeaseOwner leases out the reserve of one zone's capacity. It runs at the node that the plan names as the lease owner.
// A lease counts as long as its holder may use it, even if a newer plan has a smaller reserve.
type LeaseOwner struct {
	leases     map[int][]lease // by holder; it uses the newest, or an older one if the later replies were lost
	grantsFrom time.Duration   // when all leases of an earlier process of this node have ended
}

// lease is a load that a node may have until the lease expires.
type lease struct {
	load    float64
	expires time.Duration
}

func (l lease) expired(now time.Duration) bool { return l.expires <= now }

// NewLeaseOwner returns an owner without leases. It grants none for leaseSettlePeriod, since leases granted by an
// earlier process of this node may still be in use.
func NewLeaseOwner(now time.Duration) *LeaseOwner {
	return &LeaseOwner{leases: map[int][]lease{}, grantsFrom: now + leaseSettlePeriod}
}

// Grant leases up to the requested load out of a reserve to a node. It returns the load of the lease, or 0 if it grants
// none. A node that requests less than it has leased uses no more than it requests from then on.
func (o *LeaseOwner) Grant(node int, requested, reserve float64, now time.Duration) float64 {
	if now < o.grantsFrom || !(requested >= 0) || !(reserve >= 0) { // the negation rejects NaN
		return 0
	}
	o.removeExpired(now)
	others := 0.0
	for _, holder := range slices.Sorted(maps.Keys(o.leases)) { // a fixed order, since the sum of floats depends on it
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

// LeasedOut returns the load of all leases that may be in use.
func (o *LeaseOwner) LeasedOut(now time.Duration) (load float64) {
	for _, holder := range slices.Sorted(maps.Keys(o.leases)) {
		current := slices.DeleteFunc(slices.Clone(o.leases[holder]), func(l lease) bool { return l.expired(now) })
		load += largestLoad(current)
	}
	return load
}

// largestLoad returns the load of a holder's largest lease, since a holder uses only one of its leases at a time.
func largestLoad(leases []lease) (load float64) {
	for _, l := range leases {
		load = max(load, l.load)
	}
	return load
}
