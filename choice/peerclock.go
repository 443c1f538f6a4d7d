package choice

import "time"

// The token of a request between nodes is the time on the sender's clock. The receiver uses it to detect late and
// repeated requests. All arithmetic on tokens is modulo 2^16 ms.

const (
	maxMessageAge    = 1000 // ms between sending and receiving; an older request describes an outdated load
	maxReceived      = 2048 // requests remembered to detect repeats
	agreeingMessages = 3    // messages that must agree on a new offset before it replaces the node's offset
)

// tokenClock converts a time to the clock of tokens: milliseconds modulo 2^16.
func tokenClock(now time.Duration) uint16 { return uint16(now.Milliseconds()) }

// newToken returns a new token: the current time, or the last token plus 1 if several are made in a millisecond.
func (p *peerReservations) newToken(now time.Duration) uint16 {
	p.lastToken = max(p.lastToken+1, now.Milliseconds())
	return uint16(p.lastToken)
}

// isNew reports whether a request was sent within maxMessageAge and was not received before, and remembers it.
func (p *peerReservations) isNew(from int, token uint16, now time.Duration) bool {
	return p.sentInTime(from, token, now) && p.received.add(receivedToken{from, token})
}

// receivedToken identifies a request of another node.
type receivedToken struct {
	from  int
	token uint16
}

// replayWindow remembers the last maxReceived requests.
type replayWindow struct {
	tokens []receivedToken // a ring buffer once it is full
	next   int             // number of requests added so far
}

// add remembers a request. It returns false if the request was received before.
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

// clockOffset is the offset between this node's clock and another node's clock, computed from the tokens of the other
// node's messages.
// It may change, since the clock of a machine may be stepped by seconds or by an hour.
type clockOffset struct {
	offset int16 // ms
	// candidate is a possible new offset, in ms. Messages that are late or early by the current offset show it.
	candidate      int16
	agreeing       int           // number of consecutive messages that agree on candidate
	candidateSince time.Duration // when the first of these messages arrived
}

// sentInTime reports whether a message was sent within maxMessageAge, by its sender's clock. A new offset replaces the
// current one if agreeingMessages messages in a row agree on it over a second or more. Messages that were delayed on
// the way arrive all at once, and so don't agree for that long.
func (p *peerReservations) sentInTime(from int, token uint16, now time.Duration) bool {
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

// offsetsAgree reports whether two offsets, in ms, differ by at most maxMessageAge.
func offsetsAgree(x, y int16) bool {
	difference := x - y
	return difference <= maxMessageAge && difference >= -maxMessageAge
}
