package choice

import "time"

const (
	throttleMemory    = 10 * time.Second // decay time of the counts
	throttleMultiple  = 1.1              // requests admitted per connection that lasts
	throttleAllowance = 1.0              // tolerated number of dropped connections: one may break without overload
)

// throttle implements adaptive client-side throttling (Beyer et al., "Site Reliability Engineering", chapter 21). Each
// node counts the connections that were established, those of them that lasted, and the requests that it rejected. It
// rejects requests in excess of a multiple of the connections that last. This bounds the fraction of connections that
// servers drop immediately and whose clients then retry on the next node. Requests that found no server are not
// counted, since they give no information about the fleet's load.
type throttle struct {
	requested float64       // established connections and rejected requests, decayed
	lasted    float64       // connections that lasted, decayed
	at        time.Duration // time up to which the counts are decayed
}

// add adds to the counts of requests and of connections that lasted. An established connection is counted as lasting,
// and a lasted of -1 removes it again if it is dropped.
func (t *throttle) add(now time.Duration, requested, lasted float64) {
	age := now - t.at
	t.requested = decay(t.requested, age, throttleMemory) + requested
	t.lasted = max(0, decay(t.lasted, age, throttleMemory)+lasted)
	t.at = now
}

// admitRate returns the fraction of requests to admit.
func (t *throttle) admitRate(now time.Duration) float64 {
	age := now - t.at
	requested := decay(t.requested, age, throttleMemory)
	lasted := decay(t.lasted, age, throttleMemory)
	return 1 - max(0, requested-throttleMultiple*lasted-throttleAllowance)/(requested+1)
}
