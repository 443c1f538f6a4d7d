//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const resumeClients = 12

func init() { scenarios["resume-upgrade"] = resumeUpgrade }

// resumeUpgrade has clients over TLS with sessions that can be resumed at three hosts. The node is upgraded. Half of the
// clients are told to come again and do so; the others have vanished without a word before and come again some seconds
// later. Without the disruption the first half lose their links instead. All ask to resume their sessions.
func resumeUpgrade(rec *record, dir string, trouble bool) (broken int) {
	var hosts []*xmppHost
	byName := map[string]*xmppHost{}
	for i := range 3 {
		h := newXMPPHost(fmt.Sprintf("visits-%d", i+1), rec)
		hosts = append(hosts, h)
		byName[h.name] = h
	}
	cert, key := writeCertificate(dir)
	listen := freeAddr()
	path := filepath.Join(dir, "operator.toml")
	write(path, []byte(fmt.Sprintf("[limits]\nconnections = 400\n\n[[listener]]\naddr = %q\nprotocol = \"xmpp\"\n"+
		"tls = \"direct\"\n\n[[certificate]]\ncert = %q\nkey = %q\n\n", listen, cert, key)+clusterText(hosts...)))
	first := startNode(rec, "old", dir, "-log json -operator "+path, "TMPDIR="+dir)
	if !first.awaitReady(rec, 10*time.Second) {
		cannotRun("the node is not ready")
	}
	var clients []*xmppClient
	for i := range resumeClients {
		c := &xmppClient{addr: listen, user: fmt.Sprintf("player%d", i+1), useTLS: true}
		if err := c.connect(); err != nil {
			cannotRun("client %s: %v", c.user, err)
		}
		rec.add("client %s: established at %s, session %s", c.user, c.host, c.id)
		clients = append(clients, c)
	}
	time.Sleep(time.Second)
	if trouble {
		second := startNode(rec, "new", dir, "-log json -operator "+path, "TMPDIR="+dir)
		if !second.awaitReady(rec, 6*time.Second) {
			cannotRun("the new process is not ready")
		}
		first.signal(rec, syscall.SIGTERM)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if i%2 == 0 {
				comesAgainWhenTold(rec, c, trouble)
			} else {
				rec.add("client %s: has vanished without a word", c.user)
				time.Sleep(6 * time.Second)
			}
			if !resumes(rec, c, byName[c.host]) {
				mu.Lock()
				broken++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return broken
}

// comesAgainWhenTold waits until the client is told to come again. Without the disruption its link is lost instead. It
// comes again after 59 to 1,300 ms.
func comesAgainWhenTold(rec *record, c *xmppClient, trouble bool) {
	if trouble {
		last, err := c.exchange("", "</stream:stream>", 8*time.Second)
		rec.add("client %s: its stream ends with %q, %v", c.user, last, err)
	} else {
		rec.add("client %s: its link is lost", c.user)
	}
	c.breakOff()
	time.Sleep(time.Duration(59+rand.IntN(1242)) * time.Millisecond)
}

// resumes has the client come again and ask to resume its session, for which a message waits at its host. It returns
// false if the host still has the session, and the client got neither it nor the message.
func resumes(rec *record, c *xmppClient, home *xmppHost) bool {
	id := c.id
	home.mu.Lock()
	if session := home.heldSession(id); session != nil {
		session.waiting = append(session.waiting, fmt.Sprintf(
			"<message from='market@%s' to='%s@%s'><body>trade for %s</body></message>", xmppName, c.user, xmppName, c.user))
	}
	home.mu.Unlock()
	held := home.holds(id)
	if err := c.connect(); err != nil {
		rec.add("client %s: came again, no session: %v", c.user, err)
		return false
	}
	message := ""
	if c.resumed {
		message, _ = c.exchange("", "</message>", 2*time.Second)
	}
	got := strings.Contains(message, "trade for "+c.user)
	still := home.holds(id)
	rec.add("client %s: asked to resume %s, reached %s, resumed: %v, message received: %v; host %s has the session: %v",
		c.user, id, c.host, c.resumed, got, home.name, still)
	if !c.resumed && still {
		rec.add("client %s: has two sessions now, %s at %s and %s at %s", c.user, id, home.name, c.id, c.host)
	}
	return !held || c.resumed && got
}
