package choice

import "time"

// The token of a request between nodes is its sender's clock, by which late and repeated requests are recognized. All
// arithmetic on tokens is modulo 2^16 ms.

const (
	maxMessageAge    = 1000 // ms that a request may be on its way: an older one describes a past load
	maxReceived      = 2048 // requests remembered, to recognize repeats
	agreeingMessages = 3    // messages that agree in another offset, before it is taken for the node's
)

// tokenClock is the time that a token has: milliseconds modulo 2^16.
func tokenClock(now time.Duration) uint16 { return uint16(now.Milliseconds()) }

// newToken is the clock, or more where several requests are sent in a millisecond.
func (p *peerReservations) newToken(now time.Duration) uint16 {
	p.lastToken = max(p.lastToken+1, now.Milliseconds())
	return uint16(p.lastToken)
}

// isNew reports whether a request was sent within maxMessageAge and did not come before, and remembers it.
func (p *peerReservations) isNew(from int, token uint16, now time.Duration) bool {
	return p.inTime(from, token, now) && p.received.add(receivedToken{from, token})
}

// receivedToken identifies a request of another node.
type receivedToken struct {
	from  int
	token uint16
}

// replayWindow remembers the last maxReceived requests.
type replayWindow struct {
	tokens []receivedToken // a ring once it is full
	next   int             // requests added so far
}

// add remembers a request; false: it came before.
func (r *replayWindow) add(token receivedToken) bool {
	for _, other := range r.tokens {
		if other == token {
			return false
		}
	}
	if len(r.tokens) < maxReceived {
		r.tokens = append(r.tokens, token)
	} else {
		r.tokens[r.next%maxReceived] = token
	}
	r.next++
	return true
}

// clockOffset is the offset between this node's clock and another node's, as that one's messages show it: the clock of
// a machine may be stepped, by seconds or an hour.
type clockOffset struct {
	offset int16 // ms
	// Of messages that are late or early by offset and agree in another one:
	candidate      int16
	agreeing       int
	candidateSince time.Duration
}

// inTime reports whether a message was sent within maxMessageAge, by its sender's clock. An offset in which
// agreeingMessages agree over a second or more is taken for the clock's; messages that were delayed on the way come all
// at once, and so don't agree for that long.
func (p *peerReservations) inTime(from int, token uint16, now time.Duration) bool {
	offset := int16(tokenClock(now) - token)
	clock := p.clocks[from]
	if offsetsAgree(offset, clock.offset) {
		if clock.agreeing > 0 {
			clock.agreeing = 0
			p.clocks[from] = clock
		}
		return true
	}
	if clock.agreeing == 0 || !offsetsAgree(offset, clock.candidate) {
		clock.candidate = offset
		clock.agreeing = 0
		clock.candidateSince = now
	}
	clock.agreeing++
	agreed := clock.agreeing >= agreeingMessages && now-clock.candidateSince >= maxMessageAge*time.Millisecond
	if agreed {
		clock = clockOffset{offset: offset}
	}
	p.clocks[from] = clock
	return agreed
}

// offsetsAgree reports whether two offsets, in ms, differ by no more than a message may be late.
func offsetsAgree(x, y int16) bool {
	difference := x - y
	return difference <= maxMessageAge && difference >= -maxMessageAge
}
