package node

import (
	"net/netip"

	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/edge"
)

// platformCluster is the key of the platform's core. No other core has this key because each cluster's name is set.
const platformCluster = ""

// coreOptions returns the options that the cores of all fronts share.
func (p *Program) coreOptions(settings choice.Settings, seed uint64, observer edge.Observer) edge.Options {
	return edge.Options{
		Clock:    p.loop,
		Settings: settings,
		Seed:     seed,
		Observer: observer,
		Figures:  &p.telemetry.counters,
		Monitor:  &p.telemetry.monitor,
		Trace:    &p.telemetry.trace,
	}
}

// startCore adds a cluster's core to the program and starts it with the known servers. After each callback, the loop
// calls the core's Flush, which executes the decisions that the core made during the callback.
func (p *Program) startCore(cluster string, core *edge.Core, servers []edge.ServerEntry) {
	p.cores = append(p.cores, core)
	p.coreByCluster[cluster] = core
	p.loop.AfterCallback(core.Flush)
	core.Start(servers)
}

// logListening logs that a listener is open.
func logListening(protocol string, addr netip.AddrPort) {
	zap.L().Info("listening", zap.String("protocol", protocol), zap.Stringer("address", addr))
}
