package node

import (
	"fmt"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/config"
	"spurwinch/internal/edge"
	"spurwinch/internal/transport/tls"
	"spurwinch/internal/xmpp"
)

const (
	expiryCheckInterval = 24 * time.Hour
	sessionLoadField    = "x0" // field of a load report in which sessionLoad reports the load
)

// sessionLoad is the health checker of an operator's cluster. A server's load is its number of sessions in flight
// divided by its capacity.
type sessionLoad struct {
	core     func() *edge.Core
	capacity float64 // this node's share of the sessions that a server of weight 1 can hold
}

// CheckHealth calls done immediately, with the load from the core's own count of sessions.
func (s sessionLoad) CheckHealth(
	server edge.ServerEntry, _ time.Time, done func(choice.Outcome, []float64),
) {
	load := float64(s.core().InFlightOn(server.ID)) / (s.capacity * server.Size)
	done(choice.Served, []float64{load})
}

// operatorFronts contains the fronts and clusters that an operator's file defines.
type operatorFronts struct {
	program   *Program
	path      string
	file      config.Operator // of the start; a reload doesn't change it
	seed      uint64
	xmpp      *xmpp.Front
	addrs     []netip.AddrPort            // addresses of the listeners
	clusters  map[string]*operatorCluster // by name
	keys      tls.Keys
	firstSeen map[string]time.Time // when a static server was added, by serverKey; zero: at the start of the node
}

// newOperatorFronts sets up the fronts and clusters of an operator's file. The loop must not run yet.
func newOperatorFronts(program *Program, path string, file config.Operator, seed uint64) (*operatorFronts, error) {
	fronts := &operatorFronts{
		program:   program,
		path:      path,
		file:      file,
		seed:      seed,
		clusters:  map[string]*operatorCluster{},
		firstSeen: map[string]time.Time{},
	}
	program.operator = fronts
	for i, entry := range file.Clusters {
		if err := fronts.addCluster(file, entry, i); err != nil {
			return nil, err
		}
	}
	fronts.newXMPP(file)
	if program.platform == nil {
		program.restart.limits.descriptors = file.Limits.Connections + reservedDescriptors
	}
	if file.Keys != nil {
		fronts.keys.Use(file.Keys)
		fronts.xmpp.UseKeys(&fronts.keys)
		fronts.checkExpiryDaily()
	}
	if err := fronts.listen(file.Listeners); err != nil {
		return nil, err
	}
	return fronts, nil
}

// addCluster sets up the core of a cluster; number is the cluster's index in the file.
func (o *operatorFronts) addCluster(file config.Operator, entry config.Cluster, number int) error {
	cluster := &operatorCluster{name: entry.Name, settings: file.Settings(entry), seed: o.seed + uint64(number)}
	settings := cluster.settings
	observer, err := o.program.startCapture(file.Capture, entry.Name, settings, []string{sessionLoadField})
	if err != nil {
		return err
	}
	options := o.program.coreOptions(settings, cluster.seed, observer)
	options.HealthChecker = sessionLoad{
		func() *edge.Core { return cluster.core }, entry.Sessions / float64(entry.Nodes),
	}
	options.WatchList = cluster.followList
	options.DrainPeriod = time.Duration(entry.DrainPeriod)
	cluster.core, err = edge.New(options)
	if err != nil {
		return fmt.Errorf("%s: cluster %q: %w", o.path, entry.Name, err)
	}
	if entry.Discovery != "" {
		cluster.watchDiscovery(o.program.loop, entry.Discovery)
	}
	o.clusters[entry.Name] = cluster
	o.program.startCore(entry.Name, cluster.core, o.initialServers(entry))
	return nil
}

// initialServers returns a cluster's servers at the start. A cluster with discovery starts with the predecessor's list,
// so that connections that are transferred before discovery answers are at known servers.
func (o *operatorFronts) initialServers(entry config.Cluster) []edge.ServerEntry {
	inherited := o.program.restart.predecessorList(entry.Name)
	if entry.Discovery != "" {
		return inherited
	}
	o.inheritFirstSeen(entry.Name, inherited)
	return entry.StaticServers(o.startedAt(entry.Name, time.Time{}))
}

// inheritFirstSeen records when the predecessor first saw the static servers of a cluster.
func (o *operatorFronts) inheritFirstSeen(cluster string, inherited []edge.ServerEntry) {
	for _, server := range inherited {
		if server.Started > 0 {
			o.firstSeen[serverKey(cluster, string(server.ID))] = time.Unix(0, int64(server.Started))
		}
	}
}

// newXMPP sets up the XMPP front with its domains and limits.
func (o *operatorFronts) newXMPP(file config.Operator) {
	domains := map[string]xmpp.Domain{}
	for _, domain := range file.Domains {
		number, class := file.Class(domain.Class)
		domains[domain.Name] = xmpp.Domain{
			Core: o.program.coreByCluster[domain.Cluster], Class: number, SetupTimeout: time.Duration(class.Deadline),
		}
	}
	limits := file.Limits
	o.program.loop.SetLimits(limits.Connections-limits.Connections/idleReserveDivisor, limits.Connections, 0)
	o.xmpp = xmpp.New(o.program.loop, domains, xmpp.Limits{
		MaxStanzaBytes:   limits.StanzaBytes,
		MaxReplayBytes:   limits.EarlyBytes,
		HeaderTimeout:    time.Duration(limits.HeaderTime),
		HandshakeTimeout: time.Duration(limits.HandshakeTimeout),
		MaxConnections:   limits.Connections,
		MaxResumable:     limits.Resumable,
		MaxBufferedBytes: o.program.maxBufferedBytes(),
	}, o.seed)
	o.program.xmpp = o.xmpp
	o.xmpp.Trace = &o.program.telemetry.trace
	o.xmpp.SetAdmissionRules(file.AdmissionRules())
}

// listen opens the listeners of the file.
func (o *operatorFronts) listen(listeners []config.Listener) error {
	security := map[string]xmpp.Security{"starttls": xmpp.StartTLS, "direct": xmpp.DirectTLS}
	for _, entry := range listeners {
		accept := o.xmpp.AcceptWith(security[entry.TLS])
		if entry.Protocol == "xmpp-websocket" {
			accept = o.xmpp.AcceptWebSocket(security[entry.TLS])
		}
		listener, err := o.program.restart.listen(entry.Addr, accept)
		if err != nil {
			return err
		}
		o.addrs = append(o.addrs, listener.Addr)
		logListening(entry.Protocol, listener.Addr)
	}
	return nil
}

// checkExpiryDaily logs the certificates that expire soon, immediately and then every expiryCheckInterval.
func (o *operatorFronts) checkExpiryDaily() {
	o.logExpiring()
	o.program.loop.At(o.program.loop.Now().Add(expiryCheckInterval), o.checkExpiryDaily)
}

// logExpiring logs each certificate in force that expires within tls.ExpiryWarning.
func (o *operatorFronts) logExpiring() {
	for _, expiring := range o.keys.Expiring(o.program.loop.Now()) {
		zap.L().Warn("certificate_expiring", zap.String("file", expiring.File), zap.Strings("names", expiring.Names),
			zap.Time("at", expiring.At),
			zap.String("remedy", "put the new certificate and key in the files and send SIGHUP"))
	}
}

// serverKey returns a static server's key in firstSeen.
func serverKey(cluster, id string) string { return cluster + " " + id }

// startedAt returns a function that looks up when a server of the cluster was added. For a server without an entry in
// firstSeen, that function adds one with now.
func (o *operatorFronts) startedAt(cluster string, now time.Time) func(id string) time.Time {
	return func(id string) time.Time {
		key := serverKey(cluster, id)
		started, seen := o.firstSeen[key]
		if !seen {
			started = now
			o.firstSeen[key] = started
		}
		return started
	}
}
