package node

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/config"
	"spurwinch/internal/edge"
	"spurwinch/internal/platform/cluster"
	"spurwinch/internal/platform/downstream"
	"spurwinch/internal/platform/upstream"
	"spurwinch/internal/simwire"
)

const (
	reservedDescriptors = 48 // that are not for clients and servers: discovery, health checks, the runtime's own
	healthCheckDivisor  = 3  // one in so many of the rest may be held by idle connections for health checks
	defaultDescriptors  = 1024
	// maxReadyWait is after how long a process says that it takes clients, whether it knows servers or not: 6 s are
	// wanted, and a rejection can be tried again.
	maxReadyWait = 4 * time.Second
	// maxFirstListWait is for the first list of an agent: what it has counts as told to a process from its start.
	maxFirstListWait = 2 * time.Second
)

// platform is the platform's front with its core.
type platform struct {
	core      *edge.Core
	front     *downstream.Front
	listWatch *cluster.Watch
	peers     *peerNetwork
	upstream  *upstream.Cluster
	config    config.Node                             // in force
	processes int                                     // of this node
	overlay   func(simwire.Settings) simwire.Settings // the fleet's policy; nil: it has none, and the file says all
	settings  simwire.Settings                        // in use: the file's, or the policy's over it
}

// reload takes in a configuration that was checked.
func (n *platform) reload(next config.Node) {
	n.config = next
	n.applySettings(n.processes)
	n.peers.setPeers(next)
	zap.L().Info("configuration_reloaded", zap.String("discovery", next.Discovery),
		zap.Int("classes", len(next.Settings.ClassByName)), zap.Int("attempts", next.Settings.Limits.MaxAttempts))
	if addr, _ := n.listWatch.At(); addr != next.Discovery {
		n.core.ListSourceChanged()
	}
	n.listWatch.Move(next.Discovery)
}

// applySettings has all parts go by the configuration, in a node of so many processes.
func (n *platform) applySettings(processes int) {
	n.processes = processes
	settings := n.config.Settings
	if n.overlay != nil {
		settings = n.overlay(settings).After(n.settings) // classes keep their indices
	}
	n.settings = settings
	hasPeers := n.peers.socket != nil && len(n.config.Peers) > 0
	n.core.UpdateSettings(platformSettings(settings.Settings, hasPeers, processes))
	n.front.Adapt(settings.ClassByName, settings.TenantByName, settings.Classes)
	n.upstream.Adapt(settings.ReportFields)
	n.listWatch.Adapt(watchMode(settings.Settings))
}

// watchMode is how the server list comes.
func watchMode(settings choice.Settings) cluster.Way {
	return cluster.Way{Pushed: !settings.Subscribe, Grace: settings.Rules.DrainGrace}
}

// platformSettings is what the module is told on sockets; hasPeers says that there is a way to the other nodes.
func platformSettings(settings choice.Settings, hasPeers bool, processes int) choice.Settings {
	// Servers return a line at once however full they are, and no line tells a message's time: what the simulator tells
	// of slow messages has no like here, and the module must do without.
	settings.DelaysObserved = false
	settings.Limits.PeerMessages = hasPeers
	settings.Processes = processes
	return settings
}

// newPlatform puts the platform's front together on a loop that is not running yet. The address is its listener's.
func (p *Program) newPlatform(node config.Node, observer edge.Observer) (*platform, netip.AddrPort, error) {
	front, err := p.newPlatformCore(node, observer)
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	front.front = downstream.New(downstream.Options{
		Loop: p.loop, Core: front.core, Upstream: front.upstream, MostOpen: defaultDescriptors - reservedDescriptors,
		OnReady: func() { p.loop.At(p.loop.Now(), p.onReady) },
	})
	front.front.Adapt(node.Settings.ClassByName, node.Settings.TenantByName, node.Settings.Classes)
	known := p.restart.initialList(node.Known, node.Discovery)
	mode := watchMode(node.Settings.Settings)
	front.listWatch = cluster.New(p.loop, node.Discovery, known, mode, node.Seed, p.listHandler(front))
	listener, err := p.restart.listen(node.Listen, front.front.Accept)
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	zap.L().Info("listening", zap.String("protocol", "platform"), zap.Stringer("address", listener.Addr))
	p.loop.After(front.core.Flush)
	var servers []edge.ServerEntry
	if known != nil {
		servers, _ = known.Hosts() // the list was read once, with the configuration or the grant
	}
	front.core.Start(servers)
	p.coreByCluster[""] = front.core
	p.platform = front
	p.followList(front.listWatch, node.Settings.Subscribe, len(servers) > 0)
	p.restart.setLimits(node)
	return front, listener.Addr, nil
}

// newPlatformCore makes the platform's core with what it needs towards servers and other nodes.
func (p *Program) newPlatformCore(node config.Node, observer edge.Observer) (*platform, error) {
	front := &platform{
		upstream: upstream.New(p.loop, node.Settings.ReportFields), config: node, processes: 1, settings: node.Settings,
	}
	var err error
	front.core, err = edge.New(edge.Options{
		Clock:           p.loop,
		Settings:        platformSettings(node.Settings.Settings, len(node.Peers) > 0, 1),
		Seed:            node.Seed,
		HealthChecker:   front.upstream,
		WatchList:       func() { front.listWatch.Follow() },
		Observer:        observer,
		Figures:         &p.figures,
		Monitor:         &p.monitor,
		Trace:           &p.trace,
		SendPeerMessage: func(to int, message []byte) { front.peers.send(to, message) },
	})
	if err != nil {
		return nil, err
	}
	grantedSocket := -1
	if p.restart.grant != nil {
		grantedSocket = p.restart.grant.Datagrams
	}
	front.peers, err = listenPeers(p.loop, node, grantedSocket, front.core.ReceivePeerMessage)
	return front, err
}

// listHandler takes in what the watch tells of the server list.
func (p *Program) listHandler(front *platform) func(choice.ListKind, []edge.ServerEntry) {
	return func(kind choice.ListKind, servers []edge.ServerEntry) {
		front.core.UpdateServers(kind, servers)
		if kind == choice.ListFull {
			front.upstream.ForgetOthers(servers)
		}
		for _, server := range servers {
			if server.State == choice.Gone {
				front.upstream.Forget(server.ID)
			}
		}
		if kind != choice.ListUnavailable {
			p.onServersKnown()
		}
	}
}

// followList begins to watch the server list, and settles from when on the front says that it takes clients.
func (p *Program) followList(watch *cluster.Watch, onRequest, known bool) {
	if !onRequest {
		watch.Follow()
	}
	p.loop.At(p.loop.Now().Add(maxReadyWait), p.onServersKnown)
	switch {
	case !known:
	case onRequest:
		p.onServersKnown()
	default:
		p.loop.At(p.loop.Now().Add(p.firstListWait), p.onServersKnown)
	}
}
