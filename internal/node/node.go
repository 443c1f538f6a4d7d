// Package node puts the program together: the platform's front, the operator's fronts and clusters, and what happens to
// them on a reload and at a planned stop. cmd/spurwinch adds flags and signals, and nothing else.
package node

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/config"
	"spurwinch/internal/edge"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/invariant"
	"spurwinch/internal/loop"
	"spurwinch/internal/operate/admin"
	"spurwinch/internal/operate/handover"
	"spurwinch/internal/operate/stats"
	"spurwinch/internal/trace"
	"spurwinch/internal/xmpp"
)

const (
	// The platform ends a leaving process by itself, and counts one that ends too early as crashed; elsewhere the
	// program ends once all have left.
	platformShutdownTime = 10 * time.Second
	operatorShutdownTime = 4 * time.Second
)

// Program is a node on its loop. Its methods belong to the loop's goroutine, or to the time before the loop runs.
type Program struct {
	loop           *loop.Loop
	cores          []*edge.Core
	coreByCluster  map[string]*edge.Core             // by cluster; the platform's has no name
	reloaders      []func() (take func(), err error) // reads the files again; take has what they say take effect
	cancelReload   func()                            // calls off the next try at reading them; nil: there is none
	onShutdown     []func()                          // when the planned stop begins
	onClose        []func()
	shutdownTime   time.Duration
	figures        stats.Figures
	monitor        invariant.Monitor
	trace          trace.Recorder
	xmpp           *xmpp.Front
	platform       *platform // nil: there is only an operator's file
	restart        hotRestart
	fleet          *fleet        // nil: the node is none of a fleet
	serversKnown   bool          // the platform's front knows some, or has waited long enough
	firstListWait  time.Duration // waited for an agent's first list
	hasPredecessor bool          // started beside a running process
	awaitsPolicy   bool          // for word of the policy in force: until then the platform's front doesn't say that it takes clients
	adminAddr      netip.AddrPort
}

// ErrVoter says that the node is to vote in its fleet and this program can't.
var ErrVoter = errors.New("this node is a voter of its fleet: spurwinch-voter is to be started in its place")

// newProgram is a node without fronts.
func newProgram(l *loop.Loop) *Program {
	p := &Program{loop: l, shutdownTime: operatorShutdownTime, firstListWait: maxFirstListWait, coreByCluster: map[string]*edge.Core{}}
	p.restart = hotRestart{program: p, listeners: map[string]*loop.Listener{}}
	p.monitor.OnViolation = logViolation
	return p
}

// New puts a node together on a loop that is not running yet: the platform's front where GW_CONFIG is set or nothing else
// is, and what the operator's file (if any) sets up beside it.
//
// newVoter makes a voter of the fleet's log; where it is nil and the node is to vote, the error is ErrVoter.
func New(l *loop.Loop, getenv func(string) string, operator string, newVoter agent.NewVoter) (*Program, error) {
	p := newProgram(l)
	if err := p.assemble(getenv, operator, newVoter); err != nil {
		p.Close() // files that were begun
		if p.restart.grant != nil {
			p.restart.grant.Release(p.loop.Serves)
		}
		return nil, err
	}
	return p, nil
}

func (p *Program) assemble(getenv func(string) string, operator string, newVoter agent.NewVoter) error {
	mgmt := getenv("GW_MGMT")
	seed := uint64(time.Now().UnixNano())
	var o config.Operator
	if operator != "" {
		var err error
		if o, err = config.ReadOperator(operator); err != nil {
			return err
		}
	}
	if o.Fleet != nil && newVoter == nil && o.Fleet.Votes() {
		return ErrVoter
	}
	p.awaitsPolicy = o.Fleet != nil && o.Fleet.List.Policy != nil
	var n config.Node
	listen := ""
	if len(o.Listeners) > 0 {
		listen = o.Listeners[0].Addr
	}
	onPlatform := getenv("GW_CONFIG") != "" || operator == ""
	if onPlatform {
		var err error
		if n, err = config.FromEnvironment(getenv); err != nil {
			return err
		}
		listen, mgmt = n.Listen, n.Mgmt
	}
	if mgmt != "" { // before any client can come: a start that fails must not take connections with it
		if err := p.listenAdmin(mgmt); err != nil {
			return err
		}
	}
	place := handover.Path(getenv("TMPDIR"), listen)
	p.restart.requestGrant(place)
	if p.restart.grant != nil {
		// The running process has the node's part in the fleet until it leaves, which it does once this one says that it is ready: to wait for a
		// lease here would be to wait for ever.
		p.awaitsPolicy, p.hasPredecessor = false, true
	}
	if onPlatform {
		if err := p.assemblePlatform(n, o.Capture, getenv("GW_CONFIG")); err != nil {
			return err
		}
		seed = n.Seed
	}
	if len(o.Clusters) > 0 {
		// A process started beside another one reads the same seed; the ids that it gives its sessions must differ from those
		// that it takes over.
		seed ^= uint64(time.Now().UnixNano())
		more, op, err := newOperatorFronts(p.loop, operator, o, seed, p)
		if err != nil {
			return err
		}
		p.cores = append(p.cores, more...)
		p.reloaders = append(p.reloaders, op.readFile)
	}
	if o.Fleet != nil {
		if err := p.assembleFleet(*o.Fleet, operator, newVoter); err != nil {
			return err
		}
	}
	p.restart.open(place)
	if p.platform == nil {
		p.loop.At(p.loop.Now(), p.onReady)
	}
	return nil
}

// assemblePlatform sets up the platform's front.
func (p *Program) assemblePlatform(n config.Node, capture config.Capture, path string) error {
	observer, err := p.startCapture(capture, n.Name, n.Settings.Settings, n.Settings.ReportFields)
	if err != nil {
		return err
	}
	front, _, err := p.newPlatform(n, observer)
	if err != nil {
		return err
	}
	p.cores, p.shutdownTime = append(p.cores, front.core), platformShutdownTime
	p.onShutdown = append(p.onShutdown, func() { front.peers.logCounts(front.core.DroppedPeerMessages()) })
	p.reloaders = append(p.reloaders, p.platformReloader(front, path))
	return nil
}

// assembleFleet sets up the node's part in its fleet.
func (p *Program) assembleFleet(f config.Fleet, operator string, newVoter agent.NewVoter) error {
	core := p.coreByCluster[f.Cluster]
	if core == nil {
		return fmt.Errorf("%s: [fleet] cluster = %q: no cluster has this name", operator, f.Cluster)
	}
	p.joinFleet(f, core, newVoter, func() ([]string, []choice.Class) {
		classes := core.Classes()
		var names []string
		for _, c := range classes {
			names = append(names, c.Name)
		}
		return names, classes
	})
	return nil
}

// onServersKnown is called where the platform's front knows hosts, or has waited long enough for some.
func (p *Program) onServersKnown() {
	p.serversKnown = true
	p.announceReady()
}

// announceReady has the platform's front say so, once it can.
func (p *Program) announceReady() {
	if p.serversKnown && !p.awaitsPolicy && p.platform != nil {
		p.platform.front.Ready()
	}
}

func (p *Program) listenAdmin(addr string) (err error) {
	if _, p.adminAddr, err = admin.Listen(p.loop, addr, admin.Answers{Ready: p.ready, Telemetry: p.telemetry, Reasons: p.reasons}); err == nil {
		zap.L().Info("listening", zap.String("protocol", "operators"), zap.Stringer("address", p.adminAddr))
	}
	return err
}

// onReady is called once, when this process begins to take clients.
func (p *Program) onReady() {
	if p.restart.coordinator != nil {
		p.restart.coordinator.Ready()
	}
	p.restart.applyQuota()
}

// ready tells operators whether this process takes clients.
func (p *Program) ready() bool {
	for _, core := range p.cores {
		if core.Draining() {
			return false
		}
	}
	return !p.restart.listenersClosed && (p.fleet == nil || p.hasPredecessor || p.fleet.servesPolicy()) && (p.platform == nil || p.platform.front.Taking())
}

// telemetry writes the figures behind buf.
func (p *Program) telemetry(buf []byte) []byte {
	var g edge.Gauges
	for _, core := range p.cores {
		g.Add(core.Gauges())
	}
	return p.figures.Append(buf, g)
}

// platformReloader is the part of a reload that is the platform's front's.
func (p *Program) platformReloader(front *platform, path string) func() (func(), error) {
	return func() (func(), error) {
		next, err := config.Again(path, front.config)
		if err == nil && p.fleet != nil {
			if why := p.fleet.conflictWithPolicy(next.Settings); why != "" {
				err = fmt.Errorf("%s: %s", path, why)
			}
		}
		return func() {
			front.reload(next)
			p.restart.setLimits(next)
			if p.fleet != nil {
				p.fleet.updateClasses()
			}
		}, err
	}
}

// Shutdown begins the planned stop, which ends the loop.
func (p *Program) Shutdown() {
	for _, fn := range p.onShutdown {
		fn()
	}
	over := p.restart.shutdown()
	for _, core := range p.cores {
		zap.L().Info("shutdown_started", zap.Stringer("core", core), zap.Bool("handed_over", over))
		left := func() {
			p.loop.CloseIdle() // whoever has not said yet what it wants would be cut off with the process
			zap.L().Info("shutdown_complete", zap.Stringer("core", core), zap.Int("attempts_spared", core.AttemptsNeverSent()))
			p.logReasons()
		}
		if over {
			core.DrainToSuccessor(func() {
				left()
				p.restart.logTransfer()
			})
		} else {
			core.Drain(left)
		}
	}
	if over { // the platform has its process, and this one may go once its clients have their last bytes
		p.shutdownTime = operatorShutdownTime
		p.restart.transferAll()
	}
	p.loop.At(p.loop.Now().Add(p.shutdownTime), p.loop.Stop)
}

// Close finishes what outlives the loop. It is called once the loop has ended.
func (p *Program) Close() {
	for _, fn := range p.onClose {
		fn()
	}
}

// Run runs the loop until the planned stop is over. A signal on reload has the files read again; the first on stop begins
// the planned stop. Of two that come at once the files go first: how long a stop may take hangs on them.
func (p *Program) Run(reload, stop <-chan os.Signal) error {
	go func() {
		for {
			select {
			case <-reload:
				p.loop.Post(p.Reload)
			case <-stop:
				select {
				case <-reload:
					p.loop.Post(p.Reload)
				default:
				}
				p.loop.Post(p.Shutdown)
				stop = nil // a second one has nothing to add
			}
		}
	}()
	err := p.loop.Run()
	p.Close()
	if err != nil {
		return fmt.Errorf("loop: %w", err)
	}
	return nil
}
