//go:build review

package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	listDelay    = time.Second      // until discovery answers a call for the whole list
	drainClients = 10               // of two hosts
	hostStays    = 15 * time.Second // from the beginning of the drain until the host leaves; `leave` is 10 s
)

func init() { scenarios["drain-upgrade"] = drainUpgrade }

// drainUpgrade has clients with standing sessions at two hosts that discovery lists. The node is upgraded; some seconds
// later one of the hosts begins to drain, and later still it leaves. Its clients have to be told before that.
func drainUpgrade(rec *record, dir string, trouble bool) (broken int) {
	list := newDiscovery(rec, listDelay)
	leaving := newXMPPHost("visits-1", rec)
	for _, h := range []*xmppHost{leaving, newXMPPHost("visits-2", rec)} {
		list.set(h.name, h.addr, "SERVING")
	}
	listen := freeAddr()
	path := filepath.Join(dir, "operator.toml")
	write(path, []byte(fmt.Sprintf("[limits]\nconnections = 400\n\n[[listener]]\naddr = %q\nprotocol = \"xmpp\"\n\n",
		listen)+domainText()+fmt.Sprintf("discovery = %q\n", list.addr)))
	first := startNode(rec, "old", dir, "-log json -operator "+path, "TMPDIR="+dir)
	if !first.awaitReady(rec, 10*time.Second) {
		cannotRun("the node is not ready")
	}
	time.Sleep(2 * listDelay)
	var clients []*xmppClient
	for i := range drainClients {
		c := &xmppClient{addr: listen, user: fmt.Sprintf("player%d", i+1)}
		if err := c.connect(); err != nil {
			cannotRun("client %s: %v", c.user, err)
		}
		rec.add("client %s: established at %s", c.user, c.host)
		if c.host == leaving.name {
			clients = append(clients, c)
		}
	}
	if len(clients) == 0 {
		cannotRun("no client is at %s", leaving.name)
	}
	if trouble {
		second := startNode(rec, "new", dir, "-log json -operator "+path, "TMPDIR="+dir)
		if !second.awaitReady(rec, 6*time.Second) {
			cannotRun("the new process is not ready")
		}
		first.signal(rec, syscall.SIGTERM)
		if !first.awaitEnd(5 * time.Second) {
			cannotRun("the old process does not end")
		}
	}
	time.Sleep(4 * time.Second)
	rec.add("discovery: %s drains from now on", leaving.name)
	list.set(leaving.name, leaving.addr, "DRAINING")
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			last, err := c.exchange("", "</stream:stream>", hostStays+10*time.Second)
			told := err == nil && strings.Contains(last, "system-shutdown")
			rec.add("client %s: its stream at %s has ended; told before: %v (%q, %v)", c.user, c.host, told, last, err)
			if !told {
				mu.Lock()
				broken++
				mu.Unlock()
			}
		}()
	}
	time.Sleep(hostStays)
	rec.add("host %s: leaves", leaving.name)
	leaving.stop()
	wg.Wait()
	return broken
}
