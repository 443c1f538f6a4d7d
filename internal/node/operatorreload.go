package node

import (
	"strings"

	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/config"
	"spurwinch/internal/edge"
)

// readFile reads and checks the current file. It returns a function that applies the file.
func (o *operatorFronts) readFile() (apply func(), err error) {
	file, err := config.ReadOperator(o.path)
	return func() { o.apply(file) }, err
}

// apply applies the per-peer limits, the certificates, the static servers and the discovery addresses of a file.
func (o *operatorFronts) apply(file config.Operator) {
	logRestartKeys(o.path, o.file.RestartKeys(&file))
	o.xmpp.SetAdmissionRules(file.AdmissionRules())
	if file.Keys != nil {
		o.keys.Use(file.Keys)
		o.logExpiring()
		zap.L().Info("certificates_loaded", zap.Int("certificates", len(file.Certificates)))
	}
	for _, entry := range file.Clusters {
		cluster := o.clusters[entry.Name]
		switch {
		case cluster == nil: // it is new, and among the keys that need a restart
		case entry.Discovery != "":
			o.forgetFirstSeen(entry.Name, nil)
			cluster.setDiscovery(o.program.loop, entry.Discovery)
		default:
			cluster.removeDiscovery()
			o.applyStaticServers(cluster.core, entry)
		}
	}
}

// applyStaticServers applies a cluster's static servers. A server that is removed and later added again counts as a new
// server.
func (o *operatorFronts) applyStaticServers(core *edge.Core, entry config.Cluster) {
	servers := entry.StaticServers(o.startedAt(entry.Name, o.program.loop.Now()))
	listed := map[string]bool{}
	for _, server := range servers {
		listed[serverKey(entry.Name, string(server.ID))] = true
	}
	o.forgetFirstSeen(entry.Name, listed)
	core.UpdateServers(choice.ListFull, servers)
	zap.L().Info("hosts_reloaded", zap.String("cluster", entry.Name), zap.Int("hosts", len(servers)))
}

// forgetFirstSeen removes the entries of a cluster's servers from firstSeen, except those with the given keys.
func (o *operatorFronts) forgetFirstSeen(cluster string, except map[string]bool) {
	for key := range o.firstSeen {
		if strings.HasPrefix(key, serverKey(cluster, "")) && !except[key] {
			delete(o.firstSeen, key)
		}
	}
}
