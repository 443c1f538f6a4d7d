package failover

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// chooseLeaseOwner returns the node that leases out a zone's reserve. The owner remains the same while it is live. The
// result is noLeaseOwner if the zone has no live node.
func (p *Planner) chooseLeaseOwner(zone string) int {
	live := slices.Clone(p.list.InZone(zone))
	live = slices.DeleteFunc(live, func(node int) bool { return !p.cutDetector.IsLive(node) })
	if len(live) == 0 {
		return noLeaseOwner
	}
	if newest := p.newestPlan(); newest != nil {
		index := newest.zoneIndex(zone)
		if index >= 0 && slices.Contains(live, newest.Zones[index].LeaseOwner) {
			return newest.Zones[index].LeaseOwner
		}
	}
	return slices.MinFunc(live, func(a, b int) int {
		return cmp.Compare(p.list.RendezvousHash(a, a), p.list.RendezvousHash(b, b))
	})
}

// reservesInUse returns the largest load, by lease owner, that the owner may have leased to nodes from a zone's
// capacity under plans that may still be in use. total is the sum over all owners.
func (p *Planner) reservesInUse(zone string, now time.Duration) (byOwner map[int]float64, total float64) {
	byOwner = map[int]float64{}
	for planIndex := range p.knownPlans {
		if !p.previousPlanKnown(planIndex) {
			p.addEarlierReserves(byOwner, planIndex, zone, now)
		}
		p.addReserve(byOwner, planIndex, zone, now)
	}
	for _, owner := range slices.Sorted(maps.Keys(byOwner)) { // a fixed order, since the sum of floats depends on it
		total += byOwner[owner]
	}
	return byOwner, total
}

// addEarlierReserves adds the load that owners may have leased out under plans unknown to this planner. The next known
// plan states this load in EarlierReserves.
func (p *Planner) addEarlierReserves(byOwner map[int]float64, planIndex int, zone string, now time.Duration) {
	known := &p.knownPlans[planIndex]
	if now-known.NewestSince > p.crossZonePeriod()+leaseSettlePeriod {
		return
	}
	for _, reserve := range known.Plan.EarlierReserves {
		if known.Plan.Zones[reserve.Zone].Name == zone && !p.olderLeasesEnded(reserve.Owner, known.Number, now) {
			byOwner[reserve.Owner] = max(byOwner[reserve.Owner], float64(reserve.Load))
		}
	}
}

// addReserve adds the load that the lease owner named in a known plan may have leased out.
func (p *Planner) addReserve(byOwner map[int]float64, planIndex int, zone string, now time.Duration) {
	known := &p.knownPlans[planIndex]
	zoneIndex := known.Plan.zoneIndex(zone)
	if zoneIndex < 0 || !known.Plan.Zones[zoneIndex].hasLeases() {
		return
	}
	superseded := planIndex+1 < len(p.knownPlans) &&
		now-p.knownPlans[planIndex+1].NewestSince > p.crossZonePeriod()+leaseSettlePeriod
	owner := known.Plan.Zones[zoneIndex].LeaseOwner
	if superseded || p.olderLeasesEnded(owner, known.Number+1, now) {
		return
	}
	byOwner[owner] = max(byOwner[owner], float64(known.Plan.Zones[zoneIndex].Reserve))
}

// olderLeasesEnded reports whether a lease owner adopted the plan with a number, or a newer plan, so long ago that all
// leases that it granted under older plans have ended.
func (p *Planner) olderLeasesEnded(owner int, number uint64, now time.Duration) bool {
	adopted, ok := p.adoptions.firstReportOf(owner, number)
	return ok && now-adopted > leaseSettlePeriod
}
