package failover

import (
	"cmp"
	"slices"
)

// proximity classifies how near one zone is to another. Smaller values are nearer.
type proximity int

const (
	sameZone proximity = iota
	sameRegion
	otherRegion
	proximities // number of the values above
)

// zoneIndex returns the index of a zone in Zones, or -1 if the zone is not in the plan.
func (p *Plan) zoneIndex(name string) int {
	return slices.IndexFunc(p.Zones, func(zone Zone) bool { return zone.Name == name })
}

// StatedCapacity returns the capacity that a plan states for a zone, or 0 if the zone is not in the plan.
func (p *Plan) StatedCapacity(zone string) float64 {
	if index := p.zoneIndex(zone); index >= 0 {
		return float64(p.Zones[index].Capacity)
	}
	return 0
}

// grantedLoad returns the load that the nodes of zone from are granted in zone to.
func (p *Plan) grantedLoad(from, to int) float64 {
	for _, grant := range p.Grants {
		if grant.From == from && grant.To == to {
			return float64(grant.Load)
		}
	}
	return 0
}

// grantedLoadByName returns the same as grantedLoad, for zones given by name. It returns 0 if the plan lacks one
// of them.
func (p *Plan) grantedLoadByName(fromZone, toZone string) float64 {
	from := p.zoneIndex(fromZone)
	to := p.zoneIndex(toZone)
	if from < 0 || to < 0 {
		return 0
	}
	return p.grantedLoad(from, to)
}

// regionFraction returns the fraction of a grant that is reserved for classes that must stay in their region.
func (p *Plan) regionFraction(from, to int) float64 {
	for _, grant := range p.Grants {
		if grant.From == from && grant.To == to && grant.Load > 0 {
			return float64(grant.RegionLoad / grant.Load)
		}
	}
	return 0
}

// nodeLoad returns the load that one node of zone from may have in zone to. lost tells whether the plan lists the node
// as lost.
func (p *Plan) nodeLoad(from, to int, lost bool) float64 {
	return p.Zones[from].nodeShare(p.grantedLoad(from, to), from == to, lost)
}

// nodeShare returns one node's share of a grant to its zone. A lost node gets an equal share among all listed nodes,
// and only in its own zone: it may still be running, and needs some capacity to serve its clients.
func (z *Zone) nodeShare(grant float64, ownZone, lost bool) float64 {
	switch {
	case !lost && z.Nodes > 0:
		return grant / float64(z.Nodes)
	case ownZone && z.Listed > 0:
		return grant / float64(z.Listed)
	}
	return 0
}

// proximity returns how near a zone is to a node's own zone.
func (p *Plan) proximity(own, zone int) proximity {
	switch {
	case zone == own:
		return sameZone
	case p.Zones[zone].Region == p.Zones[own].Region:
		return sameRegion
	}
	return otherRegion
}

// byPreference returns all zones in the order in which a zone's nodes use them: their own zone, the other zones of its
// region, then all others. Zones of equal proximity are ordered by their grant, the largest first.
func (p *Plan) byPreference(own int) []int {
	zones := make([]int, len(p.Zones))
	for zone := range zones {
		zones[zone] = zone
	}
	slices.SortStableFunc(zones, func(a, b int) int {
		if order := cmp.Compare(p.proximity(own, a), p.proximity(own, b)); order != 0 {
			return order
		}
		return cmp.Compare(p.grantedLoad(own, b), p.grantedLoad(own, a))
	})
	return zones
}

// byProximity returns all zones, grouped by their proximity to zone own.
func (p *Plan) byProximity(own int) (groups [proximities][]int) {
	for zone := range p.Zones {
		group := p.proximity(own, zone)
		groups[group] = append(groups[group], zone)
	}
	return groups
}
