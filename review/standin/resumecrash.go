//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["resume-crash"] = resumeCrash }

// Sizes of a round. 110 of 190 clients vanish (58%) and come again within 150 ms of one another.
const (
	crashLanes    = 3 // rounds that are played at a time, each with a node, clients and hosts of its own
	crashTime     = 85 * time.Second
	vanishing     = 110
	standing      = 70 // in the clear: they are handed over
	standingTLS   = 10 // over TLS: they are told to come again
	silence       = 2 * time.Second
	comeAgain     = 150 * time.Millisecond
	hostTakes     = 100 * time.Millisecond // at most, to answer a resumption
	endOfOldAfter = 5 * time.Second
	panicLines    = 12 // of a log that go into the record
)

// resumeCrash plays rounds until the rule is broken or the time is over. In each, a part of the clients vanish without a
// word and come again on new connections, while the node is upgraded.
func resumeCrash(rec *record, dir string, trouble bool) (broken int) {
	var mu sync.Mutex
	var lanes sync.WaitGroup
	rounds := 0
	next := func() int {
		mu.Lock()
		defer mu.Unlock()
		if broken > 0 || time.Since(rec.start) > crashTime {
			return 0
		}
		rounds++
		return rounds
	}
	for range crashLanes {
		lanes.Add(1)
		go func() {
			defer lanes.Done()
			for round := next(); round > 0; round = next() {
				found := crashRound(rec, dir, round, trouble)
				mu.Lock()
				broken += found
				mu.Unlock()
			}
		}()
	}
	lanes.Wait()
	rec.add("%d rounds were played", rounds)
	return broken
}

func crashRound(rec *record, parent string, round int, trouble bool) (broken int) {
	dir := filepath.Join(parent, fmt.Sprint(round))
	if err := os.Mkdir(dir, 0o700); err != nil {
		cannotRun("%v", err)
	}
	name := func(process string) string { return fmt.Sprintf("%s-%d", process, round) }
	hosts := []*xmppHost{newXMPPHost("visits-1", nil), newXMPPHost("visits-2", nil), newXMPPHost("visits-3", nil)}
	defer func() {
		for _, h := range hosts {
			h.stop()
		}
	}()
	for _, h := range hosts {
		h.resumeDelay = hostTakes
	}
	cert, key := writeCertificate(dir)
	listen, listenTLS := freeAddr(), freeAddr()
	path := filepath.Join(dir, "operator.toml")
	write(path, []byte(fmt.Sprintf("[limits]\nconnections = 1000\n\n[[listener]]\naddr = %q\nprotocol = \"xmpp\"\n\n"+
		"[[listener]]\naddr = %q\nprotocol = \"xmpp\"\ntls = \"direct\"\n\n[[certificate]]\ncert = %q\nkey = %q\n\n",
		listen, listenTLS, cert, key)+clusterText(hosts...)))
	first := startNode(rec, name("old"), dir, "-log json -operator "+path, "TMPDIR="+dir)
	defer first.kill()
	if !first.awaitReady(rec, 10*time.Second) {
		cannotRun("the node is not ready")
	}
	var clients []*xmppClient
	for i := range vanishing + standing + standingTLS {
		c := &xmppClient{addr: listen, user: fmt.Sprintf("device%d", i+1)}
		if i >= vanishing+standing {
			c.addr, c.useTLS = listenTLS, true
		}
		if err := c.connect(); err != nil {
			cannotRun("%s: %v", c.user, err)
		}
		clients = append(clients, c)
	}
	rec.add("round %d: %d clients have sessions, %d of them over TLS; %d vanish now without a word", round, len(clients),
		standingTLS, vanishing)
	time.Sleep(silence)
	var second *node
	if trouble {
		second = startNode(rec, name("new"), dir, "-log json -operator "+path, "TMPDIR="+dir)
		if !second.awaitReady(rec, 6*time.Second) {
			cannotRun("the new process is not ready")
		}
		defer second.kill()
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	outcomes := map[string]int{}
	for _, c := range clients[:vanishing] {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(rand.Int64N(int64(comeAgain))))
			again := &xmppClient{addr: listen, user: c.user, id: c.id}
			err := again.connect()
			outcome := setupOutcome(again, err)
			mu.Lock()
			defer mu.Unlock()
			outcomes[outcome]++
			rec.add("round %d: client %s asked to resume %s: %s", round, c.user, c.id, outcome)
			if outcome == noAnswer {
				broken++
				rec.add("round %d: client %s came again and got no final answer: %v", round, c.user, err)
			}
		}()
	}
	for _, c := range clients[vanishing+standing:] {
		wg.Add(1)
		go func() {
			defer wg.Done()
			last, err := c.exchange("", "</stream:stream>", endOfOldAfter)
			told := strings.Contains(last, "system-shutdown")
			var timeout interface{ Timeout() bool }
			stands := errors.As(err, &timeout) && timeout.Timeout()
			mu.Lock()
			defer mu.Unlock()
			switch {
			case told:
				outcomes["standing, told to come again"]++
			case stands:
				outcomes["standing, goes on"]++
			default:
				outcomes["standing, cut off"]++
				broken++
				rec.add("round %d: client %s: its standing session was cut off without a word: %v", round, c.user, err)
			}
		}()
	}
	time.Sleep(comeAgain * 6 / 10)
	if trouble {
		first.signal(rec, syscall.SIGTERM)
	}
	wg.Wait()
	if trouble {
		if !first.awaitEnd(endOfOldAfter) {
			rec.add("node %s: has not ended", first.name)
		} else if !first.cmd.ProcessState.Success() {
			rec.add("node %s: crashed: %v", first.name, first.cmd.ProcessState)
			recordPanic(rec, filepath.Join(dir, first.name+".log"))
			broken++
		}
		if second.ended() {
			rec.add("node %s: has ended", second.name)
			broken++
		}
	}
	runtime.KeepAlive(clients) // their connections would be closed, which a client that has vanished does not do
	for outcome, number := range outcomes {
		rec.add("round %d: %d clients: %s", round, number, outcome)
	}
	return broken
}

// recordPanic copies the beginning of a panic from a process's log.
func recordPanic(rec *record, path string) {
	log, _ := os.ReadFile(path)
	_, after, found := strings.Cut(string(log), "\npanic: ")
	if !found {
		return
	}
	text := "panic: "
	for _, line := range strings.SplitN(after, "\n", panicLines) {
		if !strings.HasPrefix(line, "\t") { // names of source files
			text += line + "\n"
		}
	}
	rec.add("%s", text)
}

const noAnswer = "came again, no final answer"

// setupOutcome tells what a client that came again got.
func setupOutcome(c *xmppClient, err error) string {
	switch {
	case err == nil && c.resumed:
		return "came again, resumed"
	case err == nil:
		return "came again, bound anew"
	case strings.Contains(err.Error(), "stream error"):
		return "came again, stream error"
	}
	return noAnswer
}
