package failover

import (
	"cmp"
	"slices"
)

// proximity is how near one zone is to another, the nearest first.
type proximity int

const (
	sameZone proximity = iota
	sameRegion
	otherRegion
	proximities // how many there are
)

// zoneIndex is the place of a zone in Zones; -1: the plan doesn't know it.
func (p *Plan) zoneIndex(name string) int {
	return slices.IndexFunc(p.Zones, func(zone Zone) bool { return zone.Name == name })
}

// StatedCapacity is the capacity that a plan states for a zone; 0: the plan doesn't know it.
func (p *Plan) StatedCapacity(zone string) float64 {
	if place := p.zoneIndex(zone); place >= 0 {
		return float64(p.Zones[place].Capacity)
	}
	return 0
}

// grantedLoad is the grant from one zone to another.
func (p *Plan) grantedLoad(from, to int) float64 {
	for _, grant := range p.Grants {
		if grant.From == from && grant.To == to {
			return float64(grant.Load)
		}
	}
	return 0
}

// grantedLoadByName is the grant from one zone to another; 0 where the plan doesn't know them.
func (p *Plan) grantedLoadByName(fromZone, toZone string) float64 {
	from := p.zoneIndex(fromZone)
	to := p.zoneIndex(toZone)
	if from < 0 || to < 0 {
		return 0
	}
	return p.grantedLoad(from, to)
}

// regionFraction is the part of a grant that is for classes that must stay in their region.
func (p *Plan) regionFraction(from, to int) float64 {
	for _, grant := range p.Grants {
		if grant.From == from && grant.To == to && grant.Load > 0 {
			return float64(grant.RegionLoad / grant.Load)
		}
	}
	return 0
}

// nodeLoad is what one node of a zone may have in a zone. lost says that the node is out of the common view.
func (p *Plan) nodeLoad(from, to int, lost bool) float64 {
	return p.Zones[from].nodePart(p.grantedLoad(from, to), from == to, lost)
}

// nodePart is one node's part of a grant to its zone. A node that is out of the common view counts with all that are
// listed, in its own zone: it may be there after all, and needs something to serve its clients by.
func (z *Zone) nodePart(grant float64, ownZone, lost bool) float64 {
	switch {
	case !lost && z.Nodes > 0:
		return grant / float64(z.Nodes)
	case ownZone && z.Listed > 0:
		return grant / float64(z.Listed)
	}
	return 0
}

// proximity is how near a zone is to a node's own one.
func (p *Plan) proximity(own, zone int) proximity {
	switch {
	case zone == own:
		return sameZone
	case p.Zones[zone].Region == p.Zones[own].Region:
		return sameRegion
	}
	return otherRegion
}

// byPreference is all zones in the order in which a zone's nodes use them: itself, its region, then the others, of
// which those with the larger grant come first.
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

// byProximity is all zones, in groups of equal nearness to one of them.
func (p *Plan) byProximity(own int) (groups [proximities][]int) {
	for zone := range p.Zones {
		group := p.proximity(own, zone)
		groups[group] = append(groups[group], zone)
	}
	return groups
}
