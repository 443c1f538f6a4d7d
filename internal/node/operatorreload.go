package node

import (
	"strings"

	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/config"
	"spurwinch/internal/edge"
	"spurwinch/internal/platform/discovery"
)

// readFile reads and checks the current file. It returns a function that applies the file.
func (o *operatorFronts) readFile() (apply func(), err error) {
	file, err := config.ReadOperator(o.path)
	return func() { o.apply(file) }, err
}

// apply applies the per-peer limits, the certificates, the static servers and the discovery addresses of a file.
func (o *operatorFronts) apply(file config.Operator) {
	o.xmpp.SetAdmissionRules(file.AdmissionRules())
	if file.Keys != nil {
		o.keys.Use(file.Keys)
		o.logExpiring()
		zap.L().Info("certificates_loaded", zap.Int("certificates", len(file.Certificates)))
	}
	for _, entry := range file.Clusters {
		core := o.program.coreByCluster[entry.Name]
		watch := o.watches[entry.Name]
		switch {
		case core == nil || (watch != nil) != (entry.Discovery != ""):
			zap.L().Warn("reload_needs_restart", zap.String("cluster", entry.Name),
				zap.String("cause", "the cluster is new, or its discovery address was added or removed"))
		case watch != nil:
			applyDiscoveryAddress(core, watch, entry)
		default:
			o.applyStaticServers(core, entry)
		}
	}
}

// applyDiscoveryAddress applies the address of a cluster's discovery.
func applyDiscoveryAddress(core *edge.Core, watch *discovery.Watch, entry config.Cluster) {
	if address, _ := watch.Position(); address == entry.Discovery {
		return
	}
	zap.L().Info("discovery_address_changed", zap.String("cluster", entry.Name),
		zap.String("address", entry.Discovery))
	core.ListSourceChanged()
	watch.SetAddress(entry.Discovery)
}

// applyStaticServers applies a cluster's static servers. A server that is removed and later added again counts as a new
// server.
func (o *operatorFronts) applyStaticServers(core *edge.Core, entry config.Cluster) {
	servers := entry.StaticServers(o.startedAt(entry.Name, o.program.loop.Now()))
	listed := map[string]bool{}
	for _, server := range servers {
		listed[serverKey(entry.Name, string(server.ID))] = true
	}
	for key := range o.firstSeen {
		if strings.HasPrefix(key, serverKey(entry.Name, "")) && !listed[key] {
			delete(o.firstSeen, key)
		}
	}
	core.UpdateServers(choice.ListFull, servers)
	zap.L().Info("hosts_reloaded", zap.String("cluster", entry.Name), zap.Int("hosts", len(servers)))
}
