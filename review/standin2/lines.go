//go:build review2

package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// halfLine has a host, one of four, fall silent in the middle of a line.
func halfLine(rec *record) int {
	const first, rest = "COINS 12", "50000\r\n"
	hosts, entries := newHosts(rec, 4)
	silent := false // only the host with the client's connection uses it
	for _, h := range hosts {
		h.onLine = func(conn net.Conn, id, line string) {
			switch {
			case silent:
			case line == "3" && trouble:
				silent = true
				fmt.Fprint(conn, first)
				rec.add("host %s: sent %q and hangs", h.id, first)
			default:
				fmt.Fprint(conn, first+rest)
				rec.add("host %s: sent %q", h.id, first+rest)
			}
		}
	}
	list := newDiscovery(rec, "discovery", entries...)
	p := newPlatform(rec, list, settings())
	defer p.end()
	p.start("n1")
	c := p.open("f100000001", "field", "")
	if !strings.HasPrefix(p.answer(c), "UP ") {
		panic("the client is not served")
	}
	go func() {
		for number := 1; number <= 8; number++ {
			fmt.Fprintf(c.conn, "%d\r\n", number)
			rec.add("client: sent line %d", number)
			time.Sleep(2 * time.Second)
		}
		c.conn.Close()
	}()
	status := held
	for {
		line, err := c.reader.ReadString('\n')
		rec.add("client: got %q (%v)", line, err)
		if err != nil {
			return status
		}
		if line != first+rest && line != "MOVE\r\n" {
			rec.add("BROKEN: no host sent the line %q", line)
			status = broken
		}
	}
}

// sameID has a client use the id of a request that another client still has open, during an upgrade.
func sameID(rec *record) int {
	hosts, entries := newHosts(rec, 2)
	for _, h := range hosts {
		h.delay = 1500 * time.Millisecond
	}
	list := newDiscovery(rec, "discovery", entries...)
	p := newPlatform(rec, list, settings())
	defer p.end()
	old := p.start("old")
	const id = "f100000001"
	first := p.open(id, "field", "")
	time.Sleep(200 * time.Millisecond)
	if trouble {
		p.start("new")
		p.signal(old, syscall.SIGTERM)
		time.Sleep(100 * time.Millisecond)
	}
	second := p.open(id, "field", "")
	var wait sync.WaitGroup
	answers := make([]string, 2)
	for i, c := range []*client{first, second} {
		wait.Add(1)
		go func() {
			defer wait.Done()
			answers[i] = p.answer(c)
		}()
	}
	wait.Wait()
	rec.add("first client: %q; second client, with the same id: %q", answers[0], answers[1])
	for _, h := range hosts {
		rec.add("host %s: %d OPEN lines of the id", h.id, len(h.arrivalsAfter(rec.start)))
	}
	if !strings.HasPrefix(answers[0], "UP ") {
		panic("the first client is not served")
	}
	if strings.HasPrefix(answers[1], "UP ") {
		rec.add("BROKEN: the bad client is served")
		return broken
	}
	return held
}

// stalledReader has a client not read for some seconds, while its host sends it much.
func stalledReader(rec *record) int {
	const size, count, stall = 4000, 4000, 7 * time.Second
	one := newHost(rec, "s-1")
	one.onLine = func(conn net.Conn, id, text string) {
		if text != "state" {
			go fmt.Fprintf(conn, "OK %s\r\n", text)
			return
		}
		go func() {
			for number := range count {
				if _, err := fmt.Fprintf(conn, "STATE %06d %s\r\n", number, strings.Repeat("x", size)); err != nil {
					rec.add("host s-1: could not send line %d: %v", number, err)
					return
				}
			}
			rec.add("host s-1: sent %d lines of 4 KB", count)
		}()
	}
	list := newDiscovery(rec, "discovery", one.entry())
	p := newPlatform(rec, list, settings())
	defer p.end()
	p.start("n1")
	c := p.open("f100000001", "field", "")
	if !strings.HasPrefix(p.answer(c), "UP ") {
		panic("the client is not served")
	}
	c.conn.(*net.TCPConn).SetReadBuffer(64 << 10) // a small device
	fmt.Fprint(c.conn, "state\r\n")
	rec.add("client: asked for the state")
	go func() {
		time.Sleep(200 * time.Millisecond)
		for number := 1; number <= 8; number++ {
			_, err := fmt.Fprintf(c.conn, "%d\r\n", number)
			rec.add("client: sent line %d (%v)", number, err)
			time.Sleep(2 * time.Second)
		}
	}()
	if trouble {
		rec.add("client: reads nothing for %v", stall)
		time.Sleep(stall)
		rec.add("client: reads again")
	}
	lines, moved, ended := 0, false, false
	end := time.Now().Add(20 * time.Second)
	for lines < count && !moved && !ended {
		c.conn.SetReadDeadline(end)
		text, err := c.reader.ReadString('\n')
		if strings.HasPrefix(text, "STATE ") && err == nil {
			lines++
			continue
		}
		rec.add("client: got %.40q of %d bytes after %d whole lines (%v)", text, len(text), lines, err)
		moved = text == "MOVE\r\n"
		ended = err != nil
		if errors.Is(err, os.ErrDeadlineExceeded) {
			panic("the client got neither all lines nor an end")
		}
	}
	rec.add("client: got %d of %d lines, MOVE: %v", lines, count, moved)
	if ended && !moved {
		rec.add("BROKEN: the connection was cut off without MOVE, while its host answers")
		return broken
	}
	return held
}

func init() {
	cases["slow"] = slowDiscovery
	cases["config"] = newConfiguration
	cases["half"] = halfLine
	cases["id"] = sameID
	cases["stall"] = stalledReader
}
