// Command spurwinch is a node: it places its clients' connections on upstream hosts. It reads GW_* and config.json,
// runs in the foreground, and on SIGTERM moves its clients away, then ends with status 0. A configuration that cannot
// be read gives one line on standard error and status 1.
package main

import (
	"fmt"
	"log"
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
	"spurwinch/internal/upstream"
)

const (
	// drainTime is the most that a planned stop takes; what was held is answered or moved well before.
	drainTime      = 3 * time.Second
	exitTime       = 8 * time.Second
	spareSockets   = 48 // descriptors that are not for clients and hosts: discovery, probes, the runtime's own
	defaultSockets = 1024
)

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "spurwinch:", err)
		os.Exit(1)
	}
}

func run() error {
	n, err := config.FromEnvironment(os.Getenv)
	if err != nil {
		return err
	}
	if n.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(n.MemoryMB) << 20 * 6 / 10)
	}
	l, err := loop.New()
	if err != nil {
		return err
	}
	if err := serve(l, n); err != nil {
		return err
	}
	return l.Run()
}

// serve puts a node together on a loop that is not running yet.
func serve(l *loop.Loop, n config.Node) error {
	hosts := upstream.New(l, n.Settings.ReportFields)
	var watch *cluster.Watch
	core, err := edge.New(edge.Options{Clock: l, Settings: n.Settings.Settings, Seed: n.Seed, Prober: hosts,
		Follow: func() { watch.Follow() }})
	if err != nil {
		return err
	}
	sockets := n.Sockets
	if sockets <= 0 {
		sockets = defaultSockets
	}
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
	if _, err := l.Listen(n.Listen, front.Accept); err != nil {
		return err
	}
	l.After(core.Flush)
	var known []edge.UpstreamHost
	if n.Known != nil {
		known, _ = n.Known.Hosts()
	}
	core.Start(known)
	if len(known) > 0 {
		front.Ready()
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		l.Post(func() {
			log.Printf("leaving: %v", core)
			now := l.Now()
			core.Drain(now.Add(drainTime), func() { log.Printf("left: %v", core) })
			l.At(now.Add(exitTime), l.Stop)
		})
	}()
	return nil
}
