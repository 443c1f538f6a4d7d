package peerlimit

import "time"

// Limits bound what one peer, or all clients of one domain, may have. 0: no limit.
type Limits struct {
	Streams         int     // at once
	Unauthenticated int     // of these, not authenticated yet
	Rate            float64 // new ones a second
	Burst           int     // new ones at once, before Rate holds; 0: as many as a second has, 1 at least
}

func (l Limits) any() bool { return l != Limits{} }

// burst returns how many tokens the bucket of new streams has.
func (l Limits) burst() float64 { return max(1, l.Rate, float64(l.Burst)) }

// Rules hold for all peers.
type Rules struct {
	PrefixBits4, PrefixBits6 int    // of an address that make up a peer; 0: 32 and 64
	Peer                     Limits // of each peer
	MaxPeers                 int    // peers that have a usage of their own
}

// Verdict says whether a stream may be opened, and if not, why.
type Verdict int

const (
	// Admitted streams may be opened.
	Admitted Verdict = iota
	// Denied is a client's network.
	Denied
	// TooManyStreams are open for the peer or the domain.
	TooManyStreams
	// RateExceeded is the rate of new streams.
	RateExceeded
	// TooManyUnauthenticated streams are open for the peer or the domain.
	TooManyUnauthenticated

	verdictCount
)

// verdictTexts go to clients and into the log.
var verdictTexts = [verdictCount]string{
	Admitted:               "welcome",
	Denied:                 "kept out",
	TooManyStreams:         "too many streams",
	RateExceeded:           "too many new streams",
	TooManyUnauthenticated: "too many streams that have not authenticated",
}

func (v Verdict) String() string { return verdictTexts[v] }

// usage is what one peer, or one domain, has now.
type usage struct {
	streams         int
	unauthenticated int       // of streams
	tokens          float64   // of the bucket that limits the rate of new streams
	refilled        time.Time // when the bucket was refilled last; zero: never, and it is full
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

// refill adds the tokens of the time since it was called last.
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
