package failover

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// chooseLeaseOwner is the node that leases a zone's reserve out: the same as before while it is live; noLeaseOwner
// where the zone has no live node.
func (p *Planner) chooseLeaseOwner(zone string) int {
	live := slices.Clone(p.list.InZone(zone))
	live = slices.DeleteFunc(live, func(node int) bool { return !p.cut.IsLive(node) })
	if len(live) == 0 {
		return noLeaseOwner
	}
	if newest := p.newestPlan(); newest != nil {
		place := newest.zoneIndex(zone)
		if place >= 0 && slices.Contains(live, newest.Zones[place].LeaseOwner) {
			return newest.Zones[place].LeaseOwner
		}
	}
	return slices.MinFunc(live, func(a, b int) int { return cmp.Compare(p.list.Key(a, a), p.list.Key(b, b)) })
}

// reservesInUse is the most that each lease owner may have leased out of a zone's capacity by plans that may still be
// in use, and the sum of that.
func (p *Planner) reservesInUse(zone string, now time.Duration) (byOwner map[int]float64, total float64) {
	byOwner = map[int]float64{}
	for place := range p.known {
		if !p.followsKnown(place) {
			p.addUnknownReserves(byOwner, place, zone, now)
		}
		p.addReserve(byOwner, place, zone, now)
	}
	for _, owner := range slices.Sorted(maps.Keys(byOwner)) { // sums of floats are alike in one order only
		total += byOwner[owner]
	}
	return byOwner, total
}

// addUnknownReserves adds what owners may have leased out by plans that this planner never knew, which is in
// EarlierReserves of the next plan that it knows.
func (p *Planner) addUnknownReserves(byOwner map[int]float64, place int, zone string, now time.Duration) {
	known := &p.known[place]
	if now-known.From > p.crossZonePeriod()+leaseSettlePeriod {
		return
	}
	for _, reserve := range known.Plan.EarlierReserves {
		if known.Plan.Zones[reserve.Zone].Name == zone && !p.hasSettledOn(reserve.Owner, known.Number, now) {
			byOwner[reserve.Owner] = max(byOwner[reserve.Owner], float64(reserve.Load))
		}
	}
}

// addReserve adds what the owner by a known plan may have leased out.
func (p *Planner) addReserve(byOwner map[int]float64, place int, zone string, now time.Duration) {
	known := &p.known[place]
	index := known.Plan.zoneIndex(zone)
	if index < 0 || !known.Plan.Zones[index].hasLeases() {
		return
	}
	superseded := place+1 < len(p.known) && now-p.known[place+1].From > p.crossZonePeriod()+leaseSettlePeriod
	owner := known.Plan.Zones[index].LeaseOwner
	if superseded || p.hasSettledOn(owner, known.Number+1, now) {
		return
	}
	byOwner[owner] = max(byOwner[owner], float64(known.Plan.Zones[index].Reserve))
}

// hasSettledOn reports whether a lease owner adopted a plan of that number or a newer one so long ago that its leases
// by older plans have ended.
func (p *Planner) hasSettledOn(owner int, number uint64, now time.Duration) bool {
	adopted, ok := p.adoptions.since(owner, number)
	return ok && now-adopted > leaseSettlePeriod
}
