package fleet

import (
	"fmt"
	"strings"
	"time"

	"spurwinch/internal/config/tomlfile"
)

const (
	maxServers = 20000
	maxNodes   = 4096 // of one [[node]] table; equals the limit of internal/membership for a fleet
)

// validator checks the values of a fleet file and records each fault with the line of its key. The sets contain the
// names that are defined by the tables checked so far.
type validator struct {
	fleet   *Fleet
	file    *tomlfile.File
	zones   map[string]bool
	kinds   map[string]bool
	classes map[string]bool
	tenants map[string]bool
}

// validate records all faults of a fleet file. The caller must have set the defaults.
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

// singleTables checks the tables that occur once in a file.
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
		v.file.Fault("clients.rejoin_max", "rejoin_max must be at least rejoin_min")
	}
}

func (v *validator) zoneTables() {
	if len(v.fleet.Zones) == 0 {
		v.file.Fault("", "no [[centre]] table: at least one with a name is required")
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
		v.file.Fault("", "no [[servers]] table: at least one with kind, centre and count is required")
	}
	for i, pool := range v.fleet.ServerPools {
		table := fmt.Sprintf("servers.%d.", i)
		v.defined(table+"kind", "kind", pool.Kind, v.kinds)
		v.defined(table+"centre", "centre", pool.Zone, v.zones)
		v.inRange(table+"count", float64(pool.Count), 0, maxServers)
	}
	if servers := v.fleet.ServerCount(); servers > maxServers {
		v.file.Fault("servers.0", "%d servers in total: must be at most %d", servers, maxServers)
	}
}

func (v *validator) nodePools() {
	if len(v.fleet.NodePools) == 0 {
		v.file.Fault("", "no [[node]] table: at least one with centre and count is required")
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
		v.file.Fault("node.0", "the [[node]] tables have no nodes: their counts must sum to at least 1")
	}
}

func (v *validator) classTables() {
	if len(v.fleet.Classes) == 0 {
		v.file.Fault("", "no [[class]] table: at least one is required")
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
			v.file.Fault(table+"patience", "class %q: patience must be at least setup_aim", class.Name)
		}
		if class.MessageObjective <= v.fleet.General.MessageWork {
			v.file.Fault(table+"message_aim",
				"class %q: message_aim = %v must be longer than message_work = %v, the CPU time of one message",
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

// positive checks that a value is over 0 and at most maximum. The comparison is written so that NaN fails it.
func (v *validator) positive(key string, value, maximum float64) {
	if !(value > 0 && value <= maximum) {
		v.file.Fault(key, "%s = %v: must be over 0 and at most %v", lastKey(key), value, maximum)
	}
}

// inRange checks that a value is between minimum and maximum. The comparison is written so that NaN fails it.
func (v *validator) inRange(key string, value, minimum, maximum float64) {
	if !(value >= minimum && value <= maximum) {
		v.file.Fault(key, "%s = %v: must be between %v and %v", lastKey(key), value, minimum, maximum)
	}
}

// define adds the name of a table to the set of defined names. It records a fault if the name is empty or already in
// the set. The path of the table ends in a dot, as in "kind.0.", and table is the key of the table, as in "kind".
func (v *validator) define(path, table, name string, names map[string]bool) {
	switch {
	case name == "":
		v.file.Fault(path+"name", "this %s has no name: each needs a unique name", table)
	case names[name]:
		v.file.Fault(path+"name", "duplicate %s %q: each needs a unique name", table, name)
	}
	names[name] = true
}

// defined checks that a name is in the set of defined names. The dotted key, as in "servers.0.kind", is the one whose
// value is the name, and table is the key of the tables that define such names.
func (v *validator) defined(key, table, name string, names map[string]bool) {
	if !names[name] {
		v.file.Fault(key, "unknown %s %q: no [[%s]] has this name", table, name, table)
	}
}

// lastKey returns the last part of a dotted key.
func lastKey(key string) string { return key[strings.LastIndexByte(key, '.')+1:] }
