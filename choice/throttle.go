package choice

import "time"

const (
	throttleMemory   = 10 * time.Second
	throttleMultiple = 1.1 // requests admitted for each one that lasts
	throttleFree     = 1.0 // dropped connections that cause no rejection yet: one may break for other reasons
)

// throttle is adaptive client-side throttling (Beyer et al., "Site Reliability Engineering", chapter 21): each node
// counts the connections that were established, those of them that lasted and the requests it rejected, and rejects
// what is more than a multiple of those that last. So the connections that servers drop at once, only to come again at
// the next node, stay a bounded part of all. Requests that found no server are not counted: these say nothing of the
// fleet's load.
type throttle struct {
	requested float64 // decayed count
	lasted    float64 // decayed count
	at        time.Duration
}

// add counts requests, and connections that were established; a negative count takes back one that did not last.
func (t *throttle) add(now time.Duration, requested, lasted float64) {
	age := now - t.at
	t.requested = fade(t.requested, age, throttleMemory) + requested
	t.lasted = max(0, fade(t.lasted, age, throttleMemory)+lasted)
	t.at = now
}

// admitRate is the fraction of requests to admit.
func (t *throttle) admitRate(now time.Duration) float64 {
	age := now - t.at
	requested := fade(t.requested, age, throttleMemory)
	lasted := fade(t.lasted, age, throttleMemory)
	return 1 - max(0, requested-throttleMultiple*lasted-throttleFree)/(requested+1)
}
