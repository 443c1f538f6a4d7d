package choice

import "time"

// Tokens of messages between nodes are the sender's clock: by them late and repeated messages are recognized.

const (
	maxMessageAge    = 1000 // ms that a question may take: what is older says nothing of now
	maxReceived      = 2048 // questions remembered, to recognize repeats
	agreeingMessages = 3    // that set another node's clock
)

func tokenClock(now time.Duration) uint16 { return uint16(now.Milliseconds()) }

// newToken is the clock, or more where several questions go out in a millisecond.
func (p *peerReservations) newToken(now time.Duration) uint16 {
	p.lastToken = max(p.lastToken+1, now.Milliseconds())
	return uint16(p.lastToken)
}

// isNew reports whether a question was sent just now and did not come before, and remembers it.
func (p *peerReservations) isNew(from int, token uint16, now time.Duration) bool {
	return p.inTime(from, token, now) && p.received.add(receivedToken{from, token})
}

// receivedToken names a question of another node.
type receivedToken struct {
	from  int
	token uint16
}

// replayWindow remembers the last questions.
type replayWindow struct {
	tokens []receivedToken
	next   int
}

// add remembers a question; false: it came before.
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

// clockOffset is how far another node's clock is from this one's, as its messages show: machines' clocks may be
// stepped, by seconds or an hour.
type clockOffset struct {
	known int16 // ms
	// Messages that are late or early by known, and agree with one another:
	other int16
	count int
	since time.Duration
}

// inTime reports whether a message was sent within the last moment, by its sender's clock. What several messages of a
// second or more agree in is that clock; messages that were delayed on the way come all at once, and agree in nothing.
func (p *peerReservations) inTime(from int, token uint16, now time.Duration) bool {
	offset := int16(tokenClock(now) - token)
	clock := p.clocks[from]
	if near(offset, clock.known) {
		if clock.count > 0 {
			clock.count = 0
			p.clocks[from] = clock
		}
		return true
	}
	if clock.count == 0 || !near(offset, clock.other) {
		clock.other = offset
		clock.count = 0
		clock.since = now
	}
	clock.count++
	agreed := clock.count >= agreeingMessages && now-clock.since >= maxMessageAge*time.Millisecond
	if agreed {
		clock = clockOffset{known: offset}
	}
	p.clocks[from] = clock
	return agreed
}

// near says whether two offsets differ by no more than a message may be late.
func near(x, y int16) bool {
	difference := x - y
	return difference <= maxMessageAge && difference >= -maxMessageAge
}
