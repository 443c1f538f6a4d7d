package failover

import (
	"fmt"
	"slices"
)

const (
	maxGrantLifetime   = 3600 // seconds
	maxReservesPerZone = 4    // on average, of MaxZones zones
)

// Encode gives the form in which a plan stands on the consensus log.
func (p *Plan) Encode() []byte { return must(encoding.Marshal(p)) }

// DecodePlan reads a plan and checks that its parts fit together.
func DecodePlan(data []byte) (*Plan, error) {
	plan := &Plan{}
	if err := decoding.Unmarshal(data, plan); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidPlan, err)
	}
	if err := plan.validate(); err != nil {
		return nil, err
	}
	return plan, nil
}

// validate checks that the lists of a plan fit together and that its numbers can be calculated with.
func (p *Plan) validate() error {
	switch {
	case len(p.Zones) > MaxZones || len(p.Classes) > MaxClasses:
		return fmt.Errorf("%w: %d zones and %d classes, at most %d and %d are possible",
			ErrInvalidPlan, len(p.Zones), len(p.Classes), MaxZones, MaxClasses)
	case len(p.StayInRegion) != len(p.Classes) || len(p.AdmitFractions) != len(p.Zones):
		return fmt.Errorf("%w: rules of %d classes of %d, admission of %d zones of %d", ErrInvalidPlan,
			len(p.StayInRegion), len(p.Classes), len(p.AdmitFractions), len(p.Zones))
	case !(p.GrantLifetime >= 0 && p.GrantLifetime < maxGrantLifetime): // negated, so that NaN is invalid as well
		return fmt.Errorf("%w: grants hold for %v s", ErrInvalidPlan, p.GrantLifetime)
	case len(p.EarlierLoads) != 0 && len(p.EarlierLoads) != len(p.Zones):
		return fmt.Errorf("%w: earlier use of %d zones of %d", ErrInvalidPlan, len(p.EarlierLoads), len(p.Zones))
	case len(p.EarlierReserves) > maxReservesPerZone*MaxZones:
		return fmt.Errorf("%w: %d reserves", ErrInvalidPlan, len(p.EarlierReserves))
	}
	return p.validateEntries()
}

// validateEntries checks each entry of a plan whose lists have fitting lengths.
func (p *Plan) validateEntries() error {
	for i, zone := range p.Zones {
		if !zone.valid(len(p.Classes)) || len(p.AdmitFractions[i]) != len(p.Classes) {
			return fmt.Errorf("%w: zone %d", ErrInvalidPlan, i)
		}
	}
	for i, grant := range p.Grants {
		if !p.hasZone(grant.From) || !p.hasZone(grant.To) || !grant.valid() {
			return fmt.Errorf("%w: grant %d", ErrInvalidPlan, i)
		}
	}
	for i, loads := range p.EarlierLoads {
		invalid := func(load float32) bool { return !isLoad(load) }
		if len(loads) != len(p.Zones) || slices.ContainsFunc(loads, invalid) {
			return fmt.Errorf("%w: earlier use of zone %d", ErrInvalidPlan, i)
		}
	}
	for i, reserve := range p.EarlierReserves {
		if !p.hasZone(reserve.Zone) || reserve.Owner < 0 || !isLoad(reserve.Load) {
			return fmt.Errorf("%w: reserve %d", ErrInvalidPlan, i)
		}
	}
	return nil
}

// hasZone reports whether a number is a place in Zones.
func (p *Plan) hasZone(place int) bool { return place >= 0 && place < len(p.Zones) }

func (z *Zone) valid(classes int) bool {
	return isLoad(z.Reserve) && z.LeaseOwner >= noLeaseOwner && len(z.Demand) == classes && z.Nodes >= 0 &&
		z.Listed >= z.Nodes
}

func (g *Grant) valid() bool { return isLoad(g.Load) && g.RegionLoad >= 0 && g.RegionLoad <= g.Load }

// Encode gives the form in which orders stand on the consensus log.
func (o OperatorOrders) Encode() []byte { return must(encoding.Marshal(o)) }

// DecodeOperatorOrders reads orders.
func DecodeOperatorOrders(data []byte) (orders OperatorOrders, err error) {
	if err := decoding.Unmarshal(data, &orders); err != nil {
		return orders, fmt.Errorf("%w: %w", ErrInvalidOrders, err)
	}
	if len(orders.Drained) > MaxZones {
		return orders, fmt.Errorf("%w: %d zones, at most %d are possible",
			ErrInvalidOrders, len(orders.Drained), MaxZones)
	}
	return orders, nil
}
