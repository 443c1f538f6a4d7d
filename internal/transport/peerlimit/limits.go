package peerlimit

import "time"

// Limits bound the streams of one peer, or of all clients of one domain. 0 means no limit.
type Limits struct {
	Streams         int     // open at the same time
	Unauthenticated int     // open streams that have not authenticated yet
	Rate            float64 // new streams per second
	Burst           int     // new streams at once, before Rate applies; raised to max(1, Rate) if lower
}

// any reports whether any limit is set.
func (l Limits) any() bool { return l != Limits{} }

// burst returns the capacity of the token bucket of new streams.
func (l Limits) burst() float64 { return max(1, l.Rate, float64(l.Burst)) }

// Rules apply to all peers.
type Rules struct {
	PrefixBits4, PrefixBits6 int    // length of the prefix of an address that identifies a peer; 0: 32 and 64
	Peer                     Limits // limits of each peer
	MaxPeers                 int    // maximum number of peers that are counted separately
}

// Verdict is the decision whether a stream may be opened, with the reason if not.
type Verdict int

const (
	// Admitted means that the stream may be opened.
	Admitted Verdict = iota
	// Denied means that the client's network is denied.
	Denied
	// TooManyStreams means that the peer or the domain has reached its limit of open streams.
	TooManyStreams
	// RateExceeded means that the peer or the domain has exceeded its rate of new streams.
	RateExceeded
	// TooManyUnauthenticated means that the peer or the domain has reached its limit of unauthenticated streams.
	TooManyUnauthenticated

	verdictCount
)

// verdictTexts are sent to clients and written to the log.
var verdictTexts = [verdictCount]string{
	Admitted:               "welcome",
	Denied:                 "kept out",
	TooManyStreams:         "too many streams",
	RateExceeded:           "too many new streams",
	TooManyUnauthenticated: "too many streams that have not authenticated",
}

func (v Verdict) String() string { return verdictTexts[v] }

// usage counts the streams of one peer or one domain.
type usage struct {
	streams         int
	unauthenticated int       // streams that have not authenticated
	tokens          float64   // in the token bucket that limits the rate of new streams
	refilled        time.Time // time of the bucket's last refill; zero: never refilled, so the bucket is full
}

// check returns the verdict on one more stream.
func (u *usage) check(now time.Time, limits Limits) Verdict {
	u.refill(now, limits)
	switch {
	case limits.Streams > 0 && u.streams >= limits.Streams:
		return TooManyStreams
	case limits.Unauthenticated > 0 && u.unauthenticated >= limits.Unauthenticated:
		return TooManyUnauthenticated
	case limits.Rate > 0 && u.tokens < 1:
		return RateExceeded
	}
	return Admitted
}

// refill adds the tokens for the time since the last refill.
func (u *usage) refill(now time.Time, limits Limits) {
	switch {
	case u.refilled.IsZero():
		u.tokens = limits.burst()
	case now.After(u.refilled):
		u.tokens = min(limits.burst(), u.tokens+limits.Rate*now.Sub(u.refilled).Seconds())
	default:
		return
	}
	u.refilled = now
}

// open counts a new stream, which has not authenticated.
func (u *usage) open() {
	u.streams++
	u.unauthenticated++
	u.tokens = max(0, u.tokens-1)
}

// restore counts a stream that another process has admitted. It doesn't count as unauthenticated.
func (u *usage) restore(now time.Time, limits Limits) {
	u.refill(now, limits)
	u.streams++
}
