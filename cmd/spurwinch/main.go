// Command spurwinch is a node: it places its clients' connections on upstream hosts. It reads GW_* and config.json,
// runs in the foreground, and on SIGTERM moves its clients away, then ends with status 0. On SIGHUP it reads its files again. A configuration that cannot
// be read gives one line on standard error and status 1.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/cluster"
	"spurwinch/internal/config"
	"spurwinch/internal/downstream"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/nginx"
	"spurwinch/internal/upstream"
)

const (
	// The platform ends a leaving process by itself, and counts one that ends too early as crashed; elsewhere the
	// program ends once all have left.
	platformExit   = 10 * time.Second
	operatorExit   = 4 * time.Second
	spareSockets   = 48 // descriptors that are not for clients and hosts: discovery, probes, the runtime's own
	defaultSockets = 1024
)

func main() {
	// Before anything else: a signal that nobody takes yet would end the process.
	signals := takeSignals()
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	log.SetOutput(&quiet{out: os.Stderr, now: time.Now})
	if err := run(os.Args[1:], signals); err != nil {
		fmt.Fprintln(os.Stderr, "spurwinch:", err)
		os.Exit(1)
	}
}

func run(args []string, signals signals) error {
	if len(args) > 0 && args[0] == "import-nginx" {
		return importNginx(args[1:], os.Stdout, os.Stderr)
	}
	flags := flag.NewFlagSet("spurwinch", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	operator := flags.String("operator", "", "the operator's `FILE`: fronts and clusters beside the platform's")
	if err := flags.Parse(args); err != nil {
		return fmt.Errorf("%w (usage: spurwinch [-operator FILE] | spurwinch import-nginx FILE)", err)
	}
	if flags.NArg() > 0 {
		return fmt.Errorf("unknown command %q (usage: spurwinch [-operator FILE] | spurwinch import-nginx FILE)", flags.Arg(0))
	}
	l, err := loop.New()
	if err != nil {
		return err
	}
	var cores []*edge.Core
	var reloads []func()
	exit := operatorExit
	seed := uint64(time.Now().UnixNano())
	if os.Getenv("GW_CONFIG") != "" || *operator == "" {
		n, err := config.FromEnvironment(os.Getenv)
		if err != nil {
			return err
		}
		if n.MemoryMB > 0 { // the collector works harder well before the node would be killed
			debug.SetMemoryLimit(int64(n.MemoryMB) << 20 * 6 / 10)
		}
		node, _, err := serve(l, n)
		if err != nil {
			return err
		}
		cores, seed, exit = append(cores, node.core), n.Seed, platformExit
		reloads = append(reloads, func() { node.reload(config.DiscoveryNow(os.Getenv("GW_CONFIG"))) })
	}
	if *operator != "" {
		more, op, err := serveOperator(l, *operator, seed)
		if err != nil {
			return err
		}
		cores = append(cores, more...)
		reloads = append(reloads, op.reread)
	}
	signals.follow(l, reloads, func() { leave(l, cores, exit) })
	return l.Run()
}

// importNginx prints the operator's file that an nginx configuration amounts to, and on standard error what it could
// not carry over.
func importNginx(args []string, out, notes io.Writer) error {
	if len(args) != 1 {
		return errors.New("usage: spurwinch import-nginx FILE")
	}
	src, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	file, warnings, err := nginx.Import(args[0], string(src))
	for _, w := range warnings {
		fmt.Fprintln(notes, w)
	}
	if err != nil {
		return err
	}
	_, err = out.Write(file)
	return err
}

// signals has a channel for each kind, so that no number of SIGHUPs can crowd out the planned stop. SIGHUPs that come
// while one waits are one with it: the file is read after all of them.
type signals struct{ reload, stop chan os.Signal }

func takeSignals() signals {
	s := signals{make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	return s
}

// follow has the loop read its files again at each SIGHUP, and leave at the first SIGTERM or SIGINT.
func (s signals) follow(l *loop.Loop, reloads []func(), leave func()) {
	go func() {
		for range s.reload {
			l.Post(func() {
				for _, fn := range reloads {
					fn()
				}
			})
		}
	}()
	go func() {
		<-s.stop
		l.Post(leave)
	}()
}

// leave begins the planned stop.
func leave(l *loop.Loop, cores []*edge.Core, exit time.Duration) {
	for _, core := range cores {
		log.Printf("leaving: %v", core)
		core.Drain(func() { log.Printf("left: %v", core) })
	}
	l.At(l.Now().Add(exit), l.Stop)
}

// node is the platform's front with its core.
type node struct {
	core  *edge.Core
	watch *cluster.Watch
}

// reload moves the watch to the address that the configuration names now. All else stays: the list as last told, the
// connections, and with a file that can't be read the address too.
func (n *node) reload(discovery string, err error) {
	if err != nil {
		log.Printf("kept the configuration as it was: %v", err)
		return
	}
	log.Printf("discovery is at %s", discovery)
	n.watch.Move(discovery)
}

// serve puts a node together on a loop that is not running yet.
func serve(l *loop.Loop, n config.Node) (*node, netip.AddrPort, error) {
	var at netip.AddrPort
	// Hosts return a line at once however full they are, and no line tells a message's time: what the simulator tells
	// of slow messages has no like here, and the module must do without.
	n.Settings.TellsDelay = false
	hosts := upstream.New(l, n.Settings.ReportFields)
	var watch *cluster.Watch
	core, err := edge.New(edge.Options{Clock: l, Settings: n.Settings.Settings, Seed: n.Seed, Prober: hosts,
		Follow: func() { watch.Follow() }})
	if err != nil {
		return nil, at, err
	}
	sockets := n.Sockets
	if sockets <= 0 {
		sockets = defaultSockets
	}
	l.Limit(sockets-spareSockets-sockets/8, sockets, int64(n.MemoryMB)<<20)
	front := downstream.New(downstream.Options{Loop: l, Core: core, Upstream: hosts, Classes: n.Settings.ClassByName,
		Tenants: n.Settings.TenantByName, Settings: n.Settings.Settings, MostOpen: sockets - spareSockets})
	watch = cluster.New(l, n.Discovery, n.Known, func(k choice.ListKind, news []edge.UpstreamHost) {
		core.List(k, news)
		for _, h := range news {
			if h.State == choice.Gone {
				hosts.Forget(h.ID)
			}
		}
		if k != choice.ListLost {
			front.Ready()
		}
	})
	if at, err = l.Listen(n.Listen, front.Accept); err != nil {
		return nil, at, err
	}
	log.Printf("listening at %s", at)
	l.After(core.Flush)
	var known []edge.UpstreamHost
	if n.Known != nil {
		known, _ = n.Known.Hosts()
	}
	core.Start(known)
	if len(known) > 0 {
		front.Ready()
	}
	return &node{core, watch}, at, nil
}
