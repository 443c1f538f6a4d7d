//go:build review2

package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

// The figures of the pages that decide when a host may get nothing new.
const (
	toldAfter  = 6 * time.Second         // a change counts as told at the latest
	drainGrace = 3 * time.Second         // stopSendingWithinS of the settings
	slack      = 50 * time.Millisecond   // of each time limit on sockets
	heldUp     = 150 * time.Millisecond  // a node may be held up for
	apart      = 200 * time.Millisecond  // time between two clients
	lifetime   = 2500 * time.Millisecond // of a client's connection
)

// traffic opens connections of a class until stop is closed.
func traffic(p *platform, class string, stop chan struct{}, wait *sync.WaitGroup) {
	for number := 1; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(apart):
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() {
				if cause := recover(); cause != nil {
					p.rec.add("client %d: %v", number, cause)
				}
			}()
			c := p.open(fmt.Sprintf("%s%08x", map[string]string{"field": "f1", "visit": "e2"}[class], number), class, "")
			defer c.conn.Close()
			p.answer(c)
			time.Sleep(lifetime)
		}()
	}
}

// lateSends waits until the time is over and reports the OPEN lines that the host got after the last allowed moment.
func lateSends(rec *record, h *host, drained time.Time, watched time.Duration) int {
	last := drained.Add(toldAfter + drainGrace + slack + heldUp)
	rec.add("host %s may get nothing new after %.3f", h.id, rec.at(last))
	time.Sleep(time.Until(last.Add(watched)))
	late := h.arrivalsAfter(last)
	for _, a := range late {
		rec.add("BROKEN: host %s got %s at %.3f", a.host, a.id, rec.at(a.first))
	}
	if len(late) > 0 {
		return broken
	}
	return held
}

// slowDiscovery has discovery take 2.7 s for each answer, for 24 s. After 9.5 s of it a host drains. By then the watch
// that the node had open before has ended: a node waits 10 s at most on it here.
func slowDiscovery(rec *record) int {
	hosts, entries := newHosts(rec, 4)
	list := newDiscovery(rec, "discovery", entries...)
	p := newPlatform(rec, list, settings())
	defer p.end()
	p.start("n1")
	stop := make(chan struct{})
	var wait sync.WaitGroup
	go traffic(p, "field", stop, &wait)
	time.Sleep(3 * time.Second)
	if trouble {
		list.setLate(2700 * time.Millisecond)
		defer time.AfterFunc(24*time.Second, func() { list.setLate(0) }).Stop()
	}
	time.Sleep(9500 * time.Millisecond)
	list.setState("s-1", "DRAINING")
	hosts[0].drain()
	status := lateSends(rec, hosts[0], time.Now(), 5*time.Second)
	close(stop)
	wait.Wait()
	return status
}

// newConfiguration brings a class without the optional key aimStretch and moves discovery. Then a host drains.
func newConfiguration(rec *record) int {
	hosts, entries := newHosts(rec, 4)
	old := newDiscovery(rec, "first discovery", entries...)
	list := old
	first := settings()
	first["profiles"].([]any)[0].(map[string]any)["aimStretch"] = 1.0
	p := newPlatform(rec, old, first)
	defer p.end()
	node := p.start("n1")
	stop := make(chan struct{})
	var wait sync.WaitGroup
	go traffic(p, "field", stop, &wait)
	time.Sleep(3 * time.Second)
	if trouble {
		list = newDiscovery(rec, "second discovery", entries...)
		next := settings()
		field := next["profiles"].([]any)[0].(map[string]any)
		visit := settings()["profiles"].([]any)[0].(map[string]any)
		field["aimStretch"] = 1.0
		visit["name"] = "visit"
		if os.Getenv("CONTROL") == "1" { // the same file with the optional key: no fault is expected
			visit["aimStretch"] = 1.0
		}
		next["profiles"] = []any{field, visit}
		next["domain"].(map[string]any)["messageAimS"] = []any{0.15, 0.15}
		p.config["settings"] = next
		p.config["discovery"] = list.addr
		p.writeConfig()
		p.signal(node, syscall.SIGHUP)
		old.moveAway()
		time.Sleep(1200 * time.Millisecond)
		go traffic(p, "visit", stop, &wait)
	}
	time.Sleep(5 * time.Second)
	list.setState("s-1", "DRAINING")
	hosts[0].drain()
	status := lateSends(rec, hosts[0], time.Now(), 8*time.Second)
	close(stop)
	wait.Wait()
	return status
}
