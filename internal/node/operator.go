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

// sessions reports a host's load as the operator's file sees it: the sessions held there over those it bears.
type sessions struct {
	core func() *edge.Core
	most float64 // all nodes' sessions on a host of weight 1
}

// CheckHealth answers at once, from the core's own count.
func (p sessions) CheckHealth(h edge.ServerEntry, _ time.Time, done func(choice.Outcome, []float64)) {
	done(choice.Served, []float64{float64(p.core().InFlightOn(h.ID)) / (p.most * h.Size)})
}

// operated is what the operator's file set up.
type operated struct {
	path  string
	loop  *loop.Loop
	front *xmpp.Front
	at    []netip.AddrPort
	cores map[string]*edge.Core
	watch map[string]*cluster.Watch // of the clusters with a discovery
	keys  tls.Keys
	seen  map[string]time.Time // when a static host came in, by cluster and id; zero: with the start
}

// serveOperator sets up the fronts and clusters of an operator's file.
func serveOperator(l *loop.Loop, path string, o config.Operator, seed uint64, p *Program) ([]*edge.Core, *operated, error) {
	op := &operated{path: path, loop: l, cores: map[string]*edge.Core{},
		watch: map[string]*cluster.Watch{}, seen: map[string]time.Time{}}
	var all []*edge.Core
	for i, c := range o.Clusters {
		var core *edge.Core
		var watch *cluster.Watch
		settings := o.Settings(c)
		observer, err := p.record(o.Capture, c.Name, settings, []string{"x0"})
		if err != nil {
			return nil, nil, err
		}
		core, err = edge.New(edge.Options{Clock: l, Settings: settings, Observer: observer, Figures: &p.figures, Monitor: &p.monitor, Trace: &p.trace, Seed: seed + uint64(i),
			HealthChecker: sessions{func() *edge.Core { return core }, c.Sessions / float64(c.Nodes)},
			WatchList:     func() { watch.Follow() }, DrainPeriod: time.Duration(c.Leave)})
		if err != nil {
			return nil, nil, fmt.Errorf("%s: cluster %q: %w", path, c.Name, err)
		}
		if c.Discovery != "" {
			watch = cluster.New(l, c.Discovery, nil, way(settings), seed+uint64(i), core.UpdateServers)
			op.watch[c.Name] = watch
		}
		op.cores[c.Name], p.named[c.Name] = core, core
		all = append(all, core)
		l.After(core.Flush)
		core.Start(c.StaticHosts(op.first(c.Name, time.Time{})))
	}
	domains := map[string]xmpp.Domain{}
	for _, d := range o.Domains {
		i, class := o.Class(d.Class)
		domains[d.Name] = xmpp.Domain{Core: op.cores[d.Cluster], Class: i, Patience: time.Duration(class.Patience)}
	}
	l.Limit(o.Limits.Connections-o.Limits.Connections/8, o.Limits.Connections, 0)
	front := xmpp.New(l, domains, xmpp.Limits{Stanza: o.Limits.StanzaBytes, Early: o.Limits.EarlyBytes,
		HeaderTime: time.Duration(o.Limits.HeaderTime), ShakeTime: time.Duration(o.Limits.ShakeTime), MostOpen: o.Limits.Connections, Resumable: o.Limits.Resumable}, seed)
	op.front, p.xmpp = front, front
	front.Trace = &p.trace
	front.Guard(o.Guard())
	if p.platform == nil {
		p.beside.total = o.Limits.Connections + spareSockets
	}
	if o.Keys != nil {
		op.keys.Use(o.Keys)
		front.Use(&op.keys)
		op.expiring()
	}
	for _, ls := range o.Listeners {
		how := map[string]xmpp.Security{"starttls": xmpp.StartTLS, "direct": xmpp.Direct}[ls.TLS]
		accept := front.AcceptBy(how)
		if ls.Protocol == "xmpp-websocket" {
			accept = front.AcceptWeb(how)
		}
		k, err := p.beside.listen(ls.Addr, accept)
		if err != nil {
			return nil, nil, err
		}
		op.at = append(op.at, k.Addr)
		zap.L().Info("listening", zap.String("protocol", ls.Protocol), zap.Stringer("address", k.Addr))
	}
	return all, op, nil
}

const expiryCheck = 24 * time.Hour

// expiring has certificates that end soon in the log, each day.
func (op *operated) expiring() {
	op.expired()
	op.loop.At(op.loop.Now().Add(expiryCheck), op.expiring)
}

func (op *operated) expired() {
	for _, e := range op.keys.Ending(op.loop.Now()) {
		zap.L().Warn("certificate_ends", zap.String("file", e.File), zap.Strings("names", e.Names), zap.Time("at", e.At),
			zap.String("remedy", "put the new certificate and key in the files and send SIGHUP"))
	}
}

// first tells when a host came in; one not seen yet comes in now.
func (op *operated) first(cluster string, now time.Time) func(string) time.Time {
	return func(id string) time.Time {
		key := cluster + " " + id
		at, ok := op.seen[key]
		if !ok {
			at = now
			op.seen[key] = at
		}
		return at
	}
}

// reread reads the file as it is now.
func (op *operated) reread() (take func(), err error) {
	o, err := config.ReadOperator(op.path)
	return func() { op.take(o) }, err
}

// take takes in the static hosts and the discovery addresses of a file.
func (op *operated) take(o config.Operator) {
	op.front.Guard(o.Guard())
	if o.Keys != nil {
		op.keys.Use(o.Keys)
		op.expired()
		zap.L().Info("keys_taken", zap.Int("certificates", len(o.Certificates)))
	}
	for _, c := range o.Clusters {
		core, watch := op.cores[c.Name], op.watch[c.Name]
		if core == nil || (watch != nil) != (c.Discovery != "") {
			zap.L().Warn("reload_needs_restart", zap.String("cluster", c.Name), zap.String("cause", "a new cluster, or one that gains or loses its discovery"))
			continue
		}
		if watch != nil {
			zap.L().Info("discovery_moved", zap.String("cluster", c.Name), zap.String("address", c.Discovery))
			watch.Move(c.Discovery)
			continue
		}
		hosts := c.StaticHosts(op.first(c.Name, op.loop.Now()))
		in := map[string]bool{}
		for _, h := range hosts {
			in[c.Name+" "+string(h.ID)] = true
		}
		for key := range op.seen { // a host that is out and comes in again is a new one
			if len(key) > len(c.Name) && key[:len(c.Name)+1] == c.Name+" " && !in[key] {
				delete(op.seen, key)
			}
		}
		core.UpdateServers(choice.ListFull, hosts)
		zap.L().Info("hosts_reloaded", zap.String("cluster", c.Name), zap.Int("hosts", len(hosts)))
	}
}
