package faults

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// Clients come open loop: one that waits for its answer doesn't hold the next one back. mostClients bounds those that are there at once.
const mostClients = 20000

// arrivals brings the clients of a zone until the run is over.
func (lab *Lab) arrivals(zone string, rng *rand.Rand) {
	rate := lab.o.Use * float64(lab.o.Hosts*lab.o.Bears) / lab.o.Life.Seconds()
	// Who would stand there already comes over the first seconds.
	for range int(lab.o.Use * float64(lab.o.Hosts*lab.o.Bears)) {
		lab.enter(zone, rng, time.Duration(rng.Float64()*float64(3*time.Second)))
	}
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-lab.done:
			return
		}
		lab.enter(zone, rng, 0)
	}
}

// enter brings one client, after a while.
func (lab *Lab) enter(zone string, rng *rand.Rand, after time.Duration) {
	x, class := rng.Float64(), 0
	for ; class < len(Classes)-1 && x > Classes[class].Fraction; class++ {
		x -= Classes[class].Fraction
	}
	life := min(time.Duration(rng.ExpFloat64()*float64(lab.o.Life)), 4*lab.o.Life)
	if lab.clients.Add(1) > mostClients {
		lab.clients.Add(-1)
		return
	}
	c := &client{lab: lab, zone: zone, class: class, until: time.Now().Add(after + life), rng: rand.New(rand.NewPCG(rng.Uint64(), 1))}
	lab.wait.Add(1)
	go func() {
		defer lab.wait.Done()
		defer lab.clients.Add(-1)
		if after == 0 || c.sleep(after) {
			c.live()
		}
	}()
}

type client struct {
	lab   *Lab
	zone  string
	class int
	until time.Time
	rng   *rand.Rand
}

func (c *client) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.lab.done:
		return false
	}
}

// live has the client come, and come again, until it wants its connection no longer.
func (c *client) live() {
	tries := 0
	for time.Now().Before(c.until) {
		n := c.lab.pick(c.zone, c.rng)
		if n == nil {
			if !c.sleep(300 * time.Millisecond) {
				return
			}
			continue
		}
		up, after := c.once(n)
		wait := time.Duration(60+c.rng.IntN(1200)) * time.Millisecond
		if up {
			tries = 0
		} else {
			wait = max(after, 100*time.Millisecond) + time.Duration(c.rng.IntN(300))*time.Millisecond
			if tries++; tries > 3 {
				tries, wait = 0, max(wait, 4*time.Second)
			}
		}
		if !c.sleep(wait) {
			return
		}
	}
}

// once makes one request.
func (c *client) once(n *proc) (up bool, after time.Duration) {
	lab, class := c.lab, Classes[c.class]
	id := fmt.Sprintf("%016x", c.rng.Uint64())
	patience := time.Duration(class.Deadline * float64(time.Second))
	began := time.Now()
	e := Event{Kind: KindAnswer, ID: id, Node: n.name, Zone: n.zone, Class: class.Name, Result: "none"}
	told := false
	tell := func() {
		if told || lab.over() {
			return
		}
		told = true
		e.Took = time.Since(began).Seconds()
		if e.Result == "none" && !lab.alive(n, began) {
			e.Result = "node gone" // with its process: no answer is owed by one that is dead
		}
		lab.note(e)
	}
	s, err := net.DialTimeout("tcp", n.front, patience)
	if err != nil {
		lab.relay.short(err)
		tell()
		return false, 0
	}
	defer s.Close()
	s.SetDeadline(began.Add(patience + 100*time.Millisecond))
	fmt.Fprintf(s, "OPEN %s %016x c=%s,d=%d\r\n", id, c.rng.Uint64(), class.Name, patience.Milliseconds())
	r := bufio.NewReaderSize(s, 512)
	line, err := r.ReadString('\n')
	word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
	switch {
	case err != nil:
		tell()
		return false, 0
	case word == "BUSY":
		e.Result = "refused"
		tell()
		var ms int
		fmt.Sscan(rest, &ms)
		return false, time.Duration(ms) * time.Millisecond
	case word != "UP":
		e.Result = "failed"
		tell()
		return false, 0
	}
	e.Result = "up"
	if _, h, ok := strings.Cut(rest, "@"); ok {
		if x := lab.host(h); x != nil {
			e.To = x.zone
		}
	}
	tell()
	// A line each 2 s, as the platform's clients send; what comes back is the host's.
	next := time.Now().Add(time.Duration(c.rng.Float64() * float64(2*time.Second)))
	for !lab.over() {
		now := time.Now()
		if !now.Before(c.until) {
			return true, 0
		}
		if !now.Before(next) {
			s.SetWriteDeadline(now.Add(time.Second))
			if _, err := fmt.Fprint(s, "SYNC\r\n"); err != nil {
				return true, 0
			}
			next = next.Add(2 * time.Second)
		}
		by := next
		if c.until.Before(by) {
			by = c.until
		}
		if end := now.Add(500 * time.Millisecond); end.Before(by) {
			by = end
		}
		s.SetReadDeadline(by)
		line, err := r.ReadString('\n')
		if strings.HasPrefix(line, "MOVE") {
			return true, 0
		}
		if t, ok := err.(net.Error); err != nil && !(ok && t.Timeout()) {
			return true, 0
		}
	}
	return true, 0
}
