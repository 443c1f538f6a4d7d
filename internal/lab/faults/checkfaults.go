package faults

import (
	"strings"

	"spurwinch/internal/membership"
)

// touched says that a fault may have touched a node.
func (c *checker) touched(n membership.Node) bool {
	touched := !c.live[n.Name]
	for _, f := range c.hurt {
		// A fault that names nobody may touch anybody.
		touched = touched || f.Node == n.Name || f.Zone == n.Zone || f.Node == "" && f.Zone == ""
	}
	at, ok := c.stopped[n.Name]
	return touched || ok && at > 0
}

// quiet counts what crossed zones although its own zone was well, for long, and had room.
func (c *checker) quiet(e Event) {
	if e.Result == "" || e.Result == "none" || e.Result == "node gone" {
		return
	}
	if c.voters() == 0 && !c.zoneHurt() && c.others() {
		c.alone = append(c.alone, e)
	}
	since, well := c.wellSince[e.Zone]
	if !well || e.At-since < 10 || c.held[e.Zone] > 0.6*c.bears[e.Zone] || e.Result != "up" || c.zoneHurt() || c.thin(e.Zone, e.At) {
		return
	}
	c.calm[1]++
	if e.To != e.Zone && e.To != "" {
		c.calm[0]++
	}
}

// thin says that over a third of a zone's nodes are down, or just started: the parts of its room that are theirs are kept for them, so that
// the others have no room in it.
func (c *checker) thin(zone string, at float64) bool {
	here, all := 0, 0
	for _, i := range c.list.InZone(zone) {
		all++
		if n := c.list.Node(i).Name; c.live[n] && (c.started[n] < 1 || at-c.started[n] > 5) {
			here++
		}
	}
	return 3*here < 2*all
}

func (c *checker) zoneHurt() bool {
	for _, f := range c.hurt {
		for _, word := range []string{"zone", "region", "lin", "cut", "split", "hears", "lose"} { // of links, and of lines to hosts
			if strings.Contains(f.Detail, word) {
				return true
			}
		}
	}
	return false
}

// others says that the nodes that don't vote run, all but a few.
func (c *checker) others() bool {
	up, all := 0, 0
	for i := range c.list.Len() {
		if n := c.list.Node(i); !n.Voter {
			if all++; c.live[n.Name] {
				up++
			}
		}
	}
	return 10*up >= 9*all
}

// voters counts those that run.
func (c *checker) voters() (n int) {
	for _, i := range c.list.Voters() {
		if c.live[c.list.Node(i).Name] {
			n++
		}
	}
	return n
}
