package edge

import (
	"time"

	"spurwinch/choice"
)

// discoveryClock reckons when hosts started, by the module's clock. The list tells it in Unix time; this process knows Unix time from its own
// start on, by a wall clock that may have been stepped then. Two things are sure: no host starts later than the list tells of it, and one that
// is news to a list that was followed has not started long before the list was last heard of.
type discoveryClock struct {
	offset time.Duration                     // of the module's clock from the one that starts are told by
	heard  time.Duration                     // when this list was last heard of; 0: never
	known  map[choice.ServerID]time.Duration // starts as they were told
}

const (
	// listDelay is about how long discovery takes to tell of a start.
	listDelay = 3 * time.Second
	// startSlack is how far machines' clocks differ that are well.
	startSlack = 100 * time.Millisecond
	// mostGoneStarts is how many starts are kept of hosts that are gone: one that comes back as it was has not started anew.
	mostGoneStarts = 256
)

// hear takes in the start of a host that a list names now, and reports whether starts are to be reckoned anew.
func (d *discoveryClock) hear(h choice.Server, now time.Duration) (corrected bool) {
	if h.Started <= 0 || d.known[h.ID] == h.Started {
		return false
	}
	if d.known == nil {
		d.known = map[choice.ServerID]time.Duration{}
	}
	d.known[h.ID] = h.Started
	age := now - d.reckon(h.Started)
	if age >= -startSlack && (d.heard == 0 || age <= now-d.heard+listDelay) {
		return false
	}
	d.offset = now - h.Started // as if it had started now: the youngest that it can be
	return true
}

// reckon gives a start by the module's clock.
func (d *discoveryClock) reckon(told time.Duration) time.Duration {
	if told <= 0 {
		return 0
	}
	return max(1, told+d.offset)
}

// listed notes that the list was heard of, and lets go of starts of hosts that are gone where there are many.
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

// another says that the next list is another discovery's, whose hosts may have started at any time.
func (d *discoveryClock) another() { d.heard = 0 }
