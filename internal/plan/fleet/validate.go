package fleet

import (
	"fmt"
	"strings"
	"time"

	"spurwinch/internal/config/tomlfile"
)

const (
	maxServers = 20000
	maxNodes   = 4096 // of one entry: as many as internal/membership takes for one fleet
)

// validator checks the values of a fleet file and records each fault with the line of its key. The sets hold the names
// that the file has defined so far.
type validator struct {
	fleet   *Fleet
	file    *tomlfile.File
	zones   map[string]bool
	kinds   map[string]bool
	classes map[string]bool
	tenants map[string]bool
}

// validate records all faults of a fleet whose defaults are set.
func (f *Fleet) validate(file *tomlfile.File) {
	check := validator{
		fleet:   f,
		file:    file,
		zones:   map[string]bool{},
		kinds:   map[string]bool{},
		classes: map[string]bool{},
		tenants: map[string]bool{},
	}
	check.singleTables()
	check.zoneTables()
	check.kindTables()
	check.serverPools()
	check.nodePools()
	check.classTables()
	check.tenantTables()
}

// singleTables checks the tables that a file has once.
func (v *validator) singleTables() {
	v.positive("fleet.connections_per_core", v.fleet.General.ConnectionsPerCore, 1e6)
	v.positive("fleet.message_work", v.fleet.General.MessageWork.Seconds(), 10)
	v.positive("fleet.message_every", v.fleet.General.MessageInterval.Seconds(), 3600)
	v.inRange("fleet.over_share_worth", v.fleet.General.OverQuotaPriority, 0, 1)
	v.positive("fleet.share_of", v.fleet.General.QuotaFraction, 100)
	v.positive("cold.share", v.fleet.SlowStart.Fraction, 1)
	v.positive("cold.warm_up", v.fleet.SlowStart.WarmUp.Seconds(), 86400)
	v.positive("cold.fall_multiple", v.fleet.SlowStart.OverloadMultiple, 1e6)
	v.positive("cold.fall_time", v.fleet.SlowStart.OverloadTime.Seconds(), 3600)
	v.positive("reports.every", v.fleet.LoadReports.Interval.Seconds(), 60)
	v.inRange("reports.noise", v.fleet.LoadReports.Noise, 0, 1)
	v.inRange("group.cost", v.fleet.Group.Cost, 0, 1e6)
	v.inRange("group.size", v.fleet.Group.Size, 1, 1e6)
	v.inRange("store.rate", v.fleet.Store.Rate, 0, 1e9)
	v.inRange("clients.retries", float64(v.fleet.Clients.Retries), 0, 100)
	if v.fleet.Clients.ReconnectMax < v.fleet.Clients.ReconnectMin {
		v.file.Fault("clients.rejoin_max", "rejoin_max is under rejoin_min")
	}
}

func (v *validator) zoneTables() {
	if len(v.fleet.Zones) == 0 {
		v.file.Fault("", "no [[centre]]: at least one with a name is wanted")
	}
	for i, zone := range v.fleet.Zones {
		table := fmt.Sprintf("centre.%d.", i)
		v.define(table, "centre", zone.Name, v.zones)
		v.inRange(table+"clients", zone.Clients, 0, 1e9)
	}
	for i, delay := range v.fleet.Delays {
		table := fmt.Sprintf("delay.%d.", i)
		v.defined(table+"from", "centre", delay.From, v.zones)
		v.defined(table+"to", "centre", delay.To, v.zones)
	}
}

func (v *validator) kindTables() {
	for i, kind := range v.fleet.MachineKinds {
		table := fmt.Sprintf("kind.%d.", i)
		v.define(table, "kind", kind.Name, v.kinds)
		v.positive(table+"cores", kind.Cores, 4096)
		v.positive(table+"speed", kind.Speed, 1000)
		v.inRange(table+"speed_spread", kind.SpeedSpread, 0, 1)
		v.inRange(table+"connections", float64(kind.Connections), 1, 1e7)
		v.inRange(table+"setup_queue", float64(kind.SetupQueue), 1, 1e7)
	}
}

func (v *validator) serverPools() {
	if len(v.fleet.ServerPools) == 0 {
		v.file.Fault("", "no [[servers]]: kind, centre and count of some are wanted")
	}
	for i, pool := range v.fleet.ServerPools {
		table := fmt.Sprintf("servers.%d.", i)
		v.defined(table+"kind", "kind", pool.Kind, v.kinds)
		v.defined(table+"centre", "centre", pool.Zone, v.zones)
		v.inRange(table+"count", float64(pool.Count), 0, maxServers)
	}
	if servers := v.fleet.ServerCount(); servers > maxServers {
		v.file.Fault("servers.0", "%d servers: %d at most", servers, maxServers)
	}
}

func (v *validator) nodePools() {
	if len(v.fleet.NodePools) == 0 {
		v.file.Fault("", "no [[node]]: centre and count of some are wanted")
	}
	nodes := 0
	for i, pool := range v.fleet.NodePools {
		table := fmt.Sprintf("node.%d.", i)
		v.defined(table+"centre", "centre", pool.Zone, v.zones)
		v.inRange(table+"count", float64(pool.Count), 0, maxNodes)
		v.inRange(table+"sockets", float64(pool.Descriptors), 64, 1e8)
		nodes += pool.Count
	}
	if nodes == 0 && len(v.fleet.NodePools) > 0 {
		v.file.Fault("node.0", "no node at all: one or more are wanted")
	}
}

func (v *validator) classTables() {
	if len(v.fleet.Classes) == 0 {
		v.file.Fault("", "no [[class]]: at least one is wanted")
	}
	for i, class := range v.fleet.Classes {
		table := fmt.Sprintf("class.%d.", i)
		v.define(table, "class", class.Name, v.classes)
		v.positive(table+"share", class.Share, 1e9)
		v.positive(table+"load", class.Load, 1e6)
		v.inRange(table+"load_spread", class.LoadSpread, 0, 4)
		v.inRange(table+"swing", class.LoadVariation, 0, 4)
		v.inRange(table+"life_spread", class.LifetimeSpread, 0, 4)
		v.positive(table+"worth", class.Priority, 1e9)
		if class.Deadline < class.SetupObjective {
			v.file.Fault(table+"patience", "class %q: patience is under setup_aim", class.Name)
		}
		if class.MessageObjective <= v.fleet.General.MessageWork {
			v.file.Fault(table+"message_aim",
				"class %q: no message can be answered within %v when its work alone takes message_work = %v",
				class.Name, time.Duration(class.MessageObjective), time.Duration(v.fleet.General.MessageWork))
		}
	}
}

func (v *validator) tenantTables() {
	for i, tenant := range v.fleet.Tenants {
		table := fmt.Sprintf("edition.%d.", i)
		v.define(table, "edition", tenant.Name, v.tenants)
		v.positive(table+"share", tenant.Share, 1e9)
		v.inRange(table+"usage", tenant.Usage, 0, 1e6)
	}
}

// positive wants a value over zero and up to most. The comparison is written so that NaN fails it.
func (v *validator) positive(key string, value, most float64) {
	if !(value > 0 && value <= most) {
		v.file.Fault(key, "%s = %v: a value over 0, up to %v, is wanted", lastKey(key), value, most)
	}
}

// inRange wants a value from least to most. The comparison is written so that NaN fails it.
func (v *validator) inRange(key string, value, least, most float64) {
	if !(value >= least && value <= most) {
		v.file.Fault(key, "%s = %v: a value from %v to %v is wanted", lastKey(key), value, least, most)
	}
}

// define adds the name of a table to a set; it wants one, and one that is not in the set yet.
func (v *validator) define(table, what, name string, names map[string]bool) {
	switch {
	case name == "":
		v.file.Fault(table+"name", "a %s without a name", what)
	case names[name]:
		v.file.Fault(table+"name", "%s %q stands twice: each needs a name of its own", what, name)
	}
	names[name] = true
}

// defined wants a name that is in the set.
func (v *validator) defined(key, what, name string, names map[string]bool) {
	if !names[name] {
		v.file.Fault(key, "unknown %s %q: no [[%s]] has this name", what, name, what)
	}
}

// lastKey is the last part of a dotted key.
func lastKey(key string) string { return key[strings.LastIndexByte(key, '.')+1:] }
