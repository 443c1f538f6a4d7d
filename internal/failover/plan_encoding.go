package failover

import (
	"fmt"
	"slices"
)

const (
	maxGrantLifetime   = 3600 // seconds
	maxReservesPerZone = 4    // mean over MaxZones zones
)

// Encode returns the plan as it is stored in the consensus log.
func (p *Plan) Encode() []byte { return must(encoding.Marshal(p)) }

// DecodePlan decodes and validates a plan.
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

// validate checks that the lists of a plan have matching lengths and that its numbers are in range.
func (p *Plan) validate() error {
	switch {
	case len(p.Zones) > MaxZones || len(p.Classes) > MaxClasses:
		return fmt.Errorf("%w: %d zones and %d classes, at most %d and %d are allowed",
			ErrInvalidPlan, len(p.Zones), len(p.Classes), MaxZones, MaxClasses)
	case len(p.StayInRegion) != len(p.Classes) || len(p.AdmitFractions) != len(p.Zones):
		return fmt.Errorf("%w: region rules for %d of %d classes, admission for %d of %d zones", ErrInvalidPlan,
			len(p.StayInRegion), len(p.Classes), len(p.AdmitFractions), len(p.Zones))
	case !(p.GrantLifetime >= 0 && p.GrantLifetime < maxGrantLifetime): // the negation rejects NaN
		return fmt.Errorf("%w: grant lifetime must be from 0 s to less than 3600 s, got %v s",
			ErrInvalidPlan, p.GrantLifetime)
	case len(p.EarlierLoads) != 0 && len(p.EarlierLoads) != len(p.Zones):
		return fmt.Errorf("%w: earlier loads for %d of %d zones", ErrInvalidPlan, len(p.EarlierLoads), len(p.Zones))
	case len(p.EarlierReserves) > maxReservesPerZone*MaxZones:
		return fmt.Errorf("%w: %d earlier reserves are too many", ErrInvalidPlan, len(p.EarlierReserves))
	}
	return p.validateEntries()
}

// validateEntries checks each entry of a plan whose top-level lists have matching lengths.
func (p *Plan) validateEntries() error {
	for i, zone := range p.Zones {
		if !zone.valid(len(p.Classes)) || len(p.AdmitFractions[i]) != len(p.Classes) {
			return fmt.Errorf("%w: invalid entry for zone %d", ErrInvalidPlan, i)
		}
	}
	for i, grant := range p.Grants {
		if !p.hasZone(grant.From) || !p.hasZone(grant.To) || !grant.valid() {
			return fmt.Errorf("%w: grant %d has an invalid zone or load", ErrInvalidPlan, i)
		}
	}
	for i, loads := range p.EarlierLoads {
		invalid := func(load float32) bool { return !isValidLoad(load) }
		if len(loads) != len(p.Zones) || slices.ContainsFunc(loads, invalid) {
			return fmt.Errorf("%w: invalid earlier loads of zone %d", ErrInvalidPlan, i)
		}
	}
	for i, reserve := range p.EarlierReserves {
		if !p.hasZone(reserve.Zone) || reserve.Owner < 0 || !isValidLoad(reserve.Load) {
			return fmt.Errorf("%w: earlier reserve %d has an invalid zone, owner or load", ErrInvalidPlan, i)
		}
	}
	return nil
}

// hasZone reports whether index is a valid index in Zones.
func (p *Plan) hasZone(index int) bool { return index >= 0 && index < len(p.Zones) }

func (z *Zone) valid(classes int) bool {
	return isValidLoad(z.Reserve) && z.LeaseOwner >= noLeaseOwner && len(z.Demand) == classes && z.Nodes >= 0 &&
		z.Listed >= z.Nodes
}

func (g *Grant) valid() bool {
	return isValidLoad(g.Load) && g.RegionLoad >= 0 && g.RegionLoad <= g.Load
}

// Encode returns the orders as they are stored in the consensus log.
func (o OperatorOrders) Encode() []byte { return must(encoding.Marshal(o)) }

// DecodeOperatorOrders decodes and validates operator orders.
func DecodeOperatorOrders(data []byte) (orders OperatorOrders, err error) {
	if err := decoding.Unmarshal(data, &orders); err != nil {
		return orders, fmt.Errorf("%w: %w", ErrInvalidOrders, err)
	}
	if len(orders.Drained) > MaxZones {
		return orders, fmt.Errorf("%w: %d zones to drain, at most %d are allowed",
			ErrInvalidOrders, len(orders.Drained), MaxZones)
	}
	return orders, nil
}
