package node

import (
	"fmt"
	"net/netip"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/config"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/cluster"
	"spurwinch/internal/transport/tls"
	"spurwinch/internal/xmpp"

	"go.uber.org/zap"
)

// sessionLoad reports a host's load as the operator's file sees it: the sessions held there over those it bears.
type sessionLoad struct {
	core     func() *edge.Core
	capacity float64 // all nodes' sessions on a host of weight 1
}

// CheckHealth answers at once, from the core's own count.
func (p sessionLoad) CheckHealth(h edge.ServerEntry, _ time.Time, done func(choice.Outcome, []float64)) {
	done(choice.Served, []float64{float64(p.core().InFlightOn(h.ID)) / (p.capacity * h.Size)})
}

// operatorFronts is what the operator's file set up.
type operatorFronts struct {
	path      string
	loop      *loop.Loop
	xmpp      *xmpp.Front
	addrs     []netip.AddrPort
	cores     map[string]*edge.Core
	watches   map[string]*cluster.Watch // of the clusters with a discovery
	keys      tls.Keys
	firstSeen map[string]time.Time // when a static host came in, by cluster and id; zero: with the start
}

// newOperatorFronts sets up the fronts and clusters of an operator's file.
func newOperatorFronts(l *loop.Loop, path string, o config.Operator, seed uint64, p *Program) ([]*edge.Core, *operatorFronts, error) {
	op := &operatorFronts{path: path, loop: l, cores: map[string]*edge.Core{},
		watches: map[string]*cluster.Watch{}, firstSeen: map[string]time.Time{}}
	var all []*edge.Core
	for i, c := range o.Clusters {
		var core *edge.Core
		var watch *cluster.Watch
		settings := o.Settings(c)
		observer, err := p.startCapture(o.Capture, c.Name, settings, []string{"x0"})
		if err != nil {
			return nil, nil, err
		}
		core, err = edge.New(edge.Options{Clock: l, Settings: settings, Observer: observer, Figures: &p.figures, Monitor: &p.monitor, Trace: &p.trace, Seed: seed + uint64(i),
			HealthChecker: sessionLoad{func() *edge.Core { return core }, c.Sessions / float64(c.Nodes)},
			WatchList:     func() { watch.Follow() }, DrainPeriod: time.Duration(c.Leave)})
		if err != nil {
			return nil, nil, fmt.Errorf("%s: cluster %q: %w", path, c.Name, err)
		}
		if c.Discovery != "" {
			watch = cluster.New(l, c.Discovery, nil, watchMode(settings), seed+uint64(i), core.UpdateServers)
			op.watches[c.Name] = watch
		}
		op.cores[c.Name], p.coreByCluster[c.Name] = core, core
		all = append(all, core)
		l.After(core.Flush)
		core.Start(c.StaticHosts(op.startedAt(c.Name, time.Time{})))
	}
	domains := map[string]xmpp.Domain{}
	for _, d := range o.Domains {
		i, class := o.Class(d.Class)
		domains[d.Name] = xmpp.Domain{Core: op.cores[d.Cluster], Class: i, Patience: time.Duration(class.Patience)}
	}
	l.Limit(o.Limits.Connections-o.Limits.Connections/8, o.Limits.Connections, 0)
	front := xmpp.New(l, domains, xmpp.Limits{Stanza: o.Limits.StanzaBytes, Early: o.Limits.EarlyBytes,
		HeaderTime: time.Duration(o.Limits.HeaderTime), ShakeTime: time.Duration(o.Limits.ShakeTime), MostOpen: o.Limits.Connections, Resumable: o.Limits.Resumable}, seed)
	op.xmpp, p.xmpp = front, front
	front.Trace = &p.trace
	front.Guard(o.Guard())
	if p.platform == nil {
		p.restart.maxDescriptors = o.Limits.Connections + reservedDescriptors
	}
	if o.Keys != nil {
		op.keys.Use(o.Keys)
		front.Use(&op.keys)
		op.checkExpiryDaily()
	}
	for _, ls := range o.Listeners {
		how := map[string]xmpp.Security{"starttls": xmpp.StartTLS, "direct": xmpp.Direct}[ls.TLS]
		accept := front.AcceptBy(how)
		if ls.Protocol == "xmpp-websocket" {
			accept = front.AcceptWeb(how)
		}
		k, err := p.restart.listen(ls.Addr, accept)
		if err != nil {
			return nil, nil, err
		}
		op.addrs = append(op.addrs, k.Addr)
		zap.L().Info("listening", zap.String("protocol", ls.Protocol), zap.Stringer("address", k.Addr))
	}
	return all, op, nil
}

const expiryCheckInterval = 24 * time.Hour

// checkExpiryDaily has certificates that end soon in the log, each day.
func (op *operatorFronts) checkExpiryDaily() {
	op.logExpiring()
	op.loop.At(op.loop.Now().Add(expiryCheckInterval), op.checkExpiryDaily)
}

func (op *operatorFronts) logExpiring() {
	for _, e := range op.keys.Ending(op.loop.Now()) {
		zap.L().Warn("certificate_expiring", zap.String("file", e.File), zap.Strings("names", e.Names), zap.Time("at", e.At),
			zap.String("remedy", "put the new certificate and key in the files and send SIGHUP"))
	}
}

// startedAt tells when a host came in; one not seen yet comes in now.
func (op *operatorFronts) startedAt(cluster string, now time.Time) func(string) time.Time {
	return func(id string) time.Time {
		key := cluster + " " + id
		at, ok := op.firstSeen[key]
		if !ok {
			at = now
			op.firstSeen[key] = at
		}
		return at
	}
}

// readFile reads the file as it is now.
func (op *operatorFronts) readFile() (take func(), err error) {
	o, err := config.ReadOperator(op.path)
	return func() { op.apply(o) }, err
}

// apply takes in the static hosts and the discovery addresses of a file.
func (op *operatorFronts) apply(o config.Operator) {
	op.xmpp.Guard(o.Guard())
	if o.Keys != nil {
		op.keys.Use(o.Keys)
		op.logExpiring()
		zap.L().Info("certificates_loaded", zap.Int("certificates", len(o.Certificates)))
	}
	for _, c := range o.Clusters {
		core, watch := op.cores[c.Name], op.watches[c.Name]
		if core == nil || (watch != nil) != (c.Discovery != "") {
			zap.L().Warn("reload_needs_restart", zap.String("cluster", c.Name), zap.String("cause", "a new cluster, or one that gains or loses its discovery"))
			continue
		}
		if watch != nil {
			zap.L().Info("discovery_address_changed", zap.String("cluster", c.Name), zap.String("address", c.Discovery))
			watch.Move(c.Discovery)
			continue
		}
		hosts := c.StaticHosts(op.startedAt(c.Name, op.loop.Now()))
		in := map[string]bool{}
		for _, h := range hosts {
			in[c.Name+" "+string(h.ID)] = true
		}
		for key := range op.firstSeen { // a host that is out and comes in again is a new one
			if len(key) > len(c.Name) && key[:len(c.Name)+1] == c.Name+" " && !in[key] {
				delete(op.firstSeen, key)
			}
		}
		core.UpdateServers(choice.ListFull, hosts)
		zap.L().Info("hosts_reloaded", zap.String("cluster", c.Name), zap.Int("hosts", len(hosts)))
	}
}
