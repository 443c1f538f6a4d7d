package node

import (
	"net/netip"

	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/config"
	"spurwinch/internal/edge"
	"spurwinch/internal/platform/discovery"
	"spurwinch/internal/platform/downstream"
	"spurwinch/internal/platform/upstream"
	"spurwinch/internal/simwire"
)

const (
	reservedDescriptors = 48   // not available to clients and servers: discovery, health checks, the Go runtime
	healthCheckDivisor  = 3    // idle health check connections may hold one in healthCheckDivisor of the rest
	defaultDescriptors  = 1024 // of the process, if the configuration sets no limit
)

// platform contains the platform's front, its core and its connections to servers and other nodes.
type platform struct {
	core      *edge.Core
	front     *downstream.Front
	listWatch *discovery.Watch
	peers     *peerNetwork
	upstream  *upstream.Cluster
	processes int // number of processes of this node

	config   config.Node                             // the file's configuration in use
	overlay  func(simwire.Settings) simwire.Settings // applies the fleet's policy; nil: there is none
	settings simwire.Settings                        // settings in use: those of config with the overlay, if any
}

// reload applies a configuration that has been checked.
func (p *platform) reload(next config.Node) {
	p.config = next
	p.applySettings(p.processes)
	p.peers.setPeers(next)
	zap.L().Info("configuration_reloaded", zap.String("discovery", next.Discovery),
		zap.Int("classes", len(next.Settings.ClassByName)), zap.Int("attempts", next.Settings.Limits.MaxAttempts))
	if addr, _ := p.listWatch.Position(); addr != next.Discovery {
		p.core.ListSourceChanged()
	}
	p.listWatch.SetAddress(next.Discovery)
}

// applySettings applies the configuration to all parts; processes is the number of processes of the node.
func (p *platform) applySettings(processes int) {
	p.processes = processes
	settings := p.config.Settings
	if p.overlay != nil {
		settings = p.overlay(settings).WithIndicesOf(p.settings) // classes keep their indices
	}
	p.settings = settings
	hasPeers := p.peers.socket != nil && len(p.config.Peers) > 0
	p.core.UpdateSettings(platformSettings(settings.Settings, hasPeers, processes))
	p.front.Adapt(settings.ClassByName, settings.TenantByName, settings.Classes)
	p.upstream.SetReportFields(settings.ReportFields)
	p.listWatch.SetMode(watchMode(settings.Settings))
}

// watchMode returns how the node obtains the server list. If the settings make the node subscribe, it sends long polls
// to a service for all nodes. Otherwise it polls an agent beside the node, to which lists are pushed.
func watchMode(settings choice.Settings) discovery.Mode {
	return discovery.Mode{Pushed: !settings.Subscribe, DrainGrace: settings.Rules.DrainGrace}
}

// platformSettings adapts the settings to real sockets. hasPeers is whether the other nodes can be reached.
func platformSettings(settings choice.Settings, hasPeers bool, processes int) choice.Settings {
	// Servers return a line immediately however loaded they are, and no line contains the time of a message. Therefore
	// the delay observations of the simulator are not available here.
	settings.DelaysObserved = false
	settings.Limits.PeerMessages = hasPeers
	settings.Processes = processes
	return settings
}

// newPlatform sets up the platform's front and returns the address of its listener. The loop must not run yet.
func (p *Program) newPlatform(node config.Node, observer edge.Observer) (*platform, netip.AddrPort, error) {
	platform, err := p.newPlatformCore(node, observer)
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	platform.front = downstream.New(downstream.Options{
		Loop:           p.loop,
		Core:           platform.core,
		Upstream:       platform.upstream,
		MaxConnections: defaultDescriptors - reservedDescriptors,
		OnReady:        func() { p.loop.At(p.loop.Now(), p.onReady) },
	})
	platform.front.Adapt(node.Settings.ClassByName, node.Settings.TenantByName, node.Settings.Classes)
	known := p.restart.initialList(node.KnownServers, node.Discovery)
	mode := watchMode(node.Settings.Settings)
	platform.listWatch = discovery.New(p.loop, node.Discovery, known, mode, node.Seed, p.listHandler(platform))
	listener, err := p.restart.listen(node.Listen, platform.front.Accept)
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	logListening("platform", listener.Addr)
	var servers []edge.ServerEntry
	if known != nil {
		servers, _ = known.ServerEntries() // the list was already checked with the configuration or the grant
	}
	p.startCore(platformCluster, platform.core, servers)
	p.platform = platform
	p.followList(platform.listWatch, node.Settings.Subscribe, len(servers) > 0)
	p.restart.setLimits(node)
	return platform, listener.Addr, nil
}

// newPlatformCore creates the platform's core with its connections to servers and other nodes.
func (p *Program) newPlatformCore(node config.Node, observer edge.Observer) (*platform, error) {
	platform := &platform{
		upstream:  upstream.New(p.loop, node.Settings.ReportFields),
		config:    node,
		processes: 1,
		settings:  node.Settings,
	}
	settings := platformSettings(node.Settings.Settings, len(node.Peers) > 0, platform.processes)
	options := p.coreOptions(settings, node.Seed, observer)
	options.HealthChecker = platform.upstream
	options.WatchList = func() { platform.listWatch.Follow() }
	options.AskOtherProcesses = p.restart.askOtherProcesses
	options.SendPeerMessage = func(to int, message []byte) { platform.peers.send(to, message) }
	core, err := edge.New(options)
	if err != nil {
		return nil, err
	}
	platform.core = core
	grantedSocket := noSocket
	if p.restart.grant != nil {
		grantedSocket = p.restart.grant.Datagrams
	}
	platform.peers, err = listenPeers(p.loop, node, grantedSocket, core.ReceivePeerMessage)
	return platform, err
}

// listHandler returns a function that applies the server lists and changes that the watch reports.
func (p *Program) listHandler(platform *platform) func(choice.ListKind, []edge.ServerEntry) {
	return func(kind choice.ListKind, servers []edge.ServerEntry) {
		platform.core.UpdateServers(kind, servers)
		if kind == choice.ListFull {
			platform.upstream.RetainServers(servers)
		}
		for _, server := range servers {
			if server.State == choice.Gone {
				platform.upstream.RemoveServer(server.ID)
			}
		}
		if kind != choice.ListUnavailable {
			p.onServersKnown()
		}
	}
}

// followList begins to watch the server list, and schedules when the front announces that it accepts clients. onRequest
// means that the core starts the watch itself when it needs the list. known means that the node already knows servers.
func (p *Program) followList(watch *discovery.Watch, onRequest, known bool) {
	if !onRequest {
		watch.Follow()
	}
	p.loop.At(p.loop.Now().Add(maxReadyWait), p.onServersKnown)
	switch {
	case !known:
	case onRequest:
		p.onServersKnown()
	default:
		p.loop.At(p.loop.Now().Add(p.readiness.firstListWait), p.onServersKnown)
	}
}
