package edge

import (
	"time"

	"spurwinch/choice"
)

// discoveryClock reckons when hosts started, by the module's clock. The list tells it in Unix time; this process knows Unix time from its own start on,
// by a wall clock that may have been stepped then. Two things are sure: no host starts later than the list tells of it, and one that is news
// to a list that was followed has not started long before the list was last heard of.
type discoveryClock struct {
	behind time.Duration // of the module's clock, that discovery's is
	heard  time.Duration // when this list was last heard of; 0: never
	known  map[choice.ServerID]startOf
}

// startOf is a start as the list tells it, and as it is reckoned.
type startOf struct{ told, reckoned time.Duration }

const (
	// listDelay is about how long discovery takes to tell of a start.
	listDelay      = 3 * time.Second
	mostGoneStarts = 256
	// startSlack is how far machines' clocks differ that are well.
	startSlack = 100 * time.Millisecond
)

// reckon gives the start of a host by the module's clock, which is now.
func (d *discoveryClock) reckon(h choice.Server, now time.Duration) time.Duration {
	if h.Started <= 0 {
		return 0
	}
	if k, ok := d.known[h.ID]; ok && k.told == h.Started {
		return k.reckoned
	}
	if d.known == nil {
		d.known = map[choice.ServerID]startOf{}
	}
	age := now - d.behind - h.Started
	if age < -startSlack || d.heard > 0 && age > now-d.heard+listDelay {
		d.behind, age = now-h.Started, 0
	}
	start := startOf{h.Started, now - max(age, 0)}
	d.known[h.ID] = start
	return start.reckoned
}

// listed notes that the list was heard of, and lets go of starts of hosts that have long been gone. Those of hosts that are gone for a while
// are kept: one that comes back has not started anew.
func (d *discoveryClock) listed(now time.Duration, hosts map[choice.ServerID]*host) {
	d.heard = now
	if len(d.known) <= mostGoneStarts+len(hosts) {
		return
	}
	for id := range d.known {
		if hosts[id] == nil {
			delete(d.known, id)
		}
	}
}
