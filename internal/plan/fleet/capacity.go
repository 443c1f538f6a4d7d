package fleet

import "time"

// CoreLoad returns the fraction of a reference core that one standard connection takes.
func (f *Fleet) CoreLoad() float64 { return 1 / f.General.ConnectionsPerCore }

// MeanLoad returns the mean load of a new connection, in standard connections. It weights the mean loads of the classes
// by their shares of the new connections. A validated file has at least one class, and every share is over 0.
func (f *Fleet) MeanLoad() float64 {
	loads := 0.0
	shares := 0.0
	for _, class := range f.Classes {
		loads += class.Share * class.Load
		shares += class.Share
	}
	return loads / shares
}

// MachineKind returns a pointer to the fleet's machine kind with the given name. It panics if no kind has this name,
// which can't happen for the server pools of a validated file, because validation checks that their kinds are defined.
func (f *Fleet) MachineKind(name string) *MachineKind {
	for i := range f.MachineKinds {
		if f.MachineKinds[i].Name == name {
			return &f.MachineKinds[i]
		}
	}
	panic("fleet: unknown kind " + name)
}

// ZoneIndex returns the index of the zone with the given name, or -1 if no zone has this name.
func (f *Fleet) ZoneIndex(name string) int {
	for i, zone := range f.Zones {
		if zone.Name == name {
			return i
		}
	}
	return -1
}

// ServerCount returns the number of servers in all pools.
func (f *Fleet) ServerCount() int {
	count := 0
	for _, pool := range f.ServerPools {
		count += pool.Count
	}
	return count
}

// NodeCount returns the number of nodes in all pools.
func (f *Fleet) NodeCount() int {
	count := 0
	for _, pool := range f.NodePools {
		count += pool.Count
	}
	return count
}

// Cores returns the capacity of all servers, in reference cores.
func (f *Fleet) Cores() float64 {
	cores := 0.0
	for _, pool := range f.ServerPools {
		kind := f.MachineKind(pool.Kind)
		cores += float64(pool.Count) * kind.Cores * kind.Speed
	}
	return cores
}

// OneWay returns the one-way latency between two zones, which are given by their indexes.
func (f *Fleet) OneWay(from, to int) time.Duration {
	if from == to {
		return time.Duration(f.Network.SameZone)
	}
	for _, delay := range f.Delays {
		first := f.ZoneIndex(delay.From)
		second := f.ZoneIndex(delay.To)
		if first == from && second == to || first == to && second == from {
			return time.Duration(delay.OneWay)
		}
	}
	return time.Duration(f.Network.CrossZone)
}

// Quota returns the number of connections that a tenant may hold over all nodes if each connection has the mean load.
func (f *Fleet) Quota(tenant int) float64 {
	fraction := f.Tenants[tenant].Share / f.tenantShares() * f.General.QuotaFraction
	return fraction * f.Cores() / (f.MeanLoad() * f.CoreLoad())
}

// tenantShares returns the sum of the tenants' shares.
func (f *Fleet) tenantShares() float64 {
	sum := 0.0
	for _, tenant := range f.Tenants {
		sum += tenant.Share
	}
	return sum
}
