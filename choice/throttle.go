package choice

import "time"

// throttle is adaptive throttling at the side that asks (Beyer et al., "Site Reliability Engineering", chapter 21): each node
// counts the connections that came to stand, those of them that lasted and the requests it turned away, and turns away what
// is more than a multiple of those that last. So the connections that servers shed at once, only to come again at the next
// node, stay a bounded part of all. Requests that found no server are not counted: these tell nothing of the fleet's load.
type throttle struct {
	requested, lasted float64 // decayed counts
	at                time.Duration
}

const (
	throttleMemory   = 10 * time.Second
	throttleMultiple = 1.1 // requests let in for each one that lasts
	throttleFree     = 1.0 // dropped connections that turn nobody away yet: one may break for other reasons
)

// add counts requests, and connections that came to stand; a negative count takes back one that did not last.
func (t *throttle) add(now time.Duration, requested, lasted float64) {
	age := now - t.at
	t.requested = fade(t.requested, age, throttleMemory) + requested
	t.lasted = max(0, fade(t.lasted, age, throttleMemory)+lasted)
	t.at = now
}

// admit is the part of requests to let in.
func (t *throttle) admit(now time.Duration) float64 {
	age := now - t.at
	requested, lasted := fade(t.requested, age, throttleMemory), fade(t.lasted, age, throttleMemory)
	return 1 - max(0, requested-throttleMultiple*lasted-throttleFree)/(requested+1)
}
