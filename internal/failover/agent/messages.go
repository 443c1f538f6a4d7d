package agent

import (
	"errors"
	"time"

	"spurwinch/internal/agree"
)

// Message is for another node.
type Message struct {
	To   int
	Data []byte
}

type peer struct {
	process uint32
	at      time.Duration // when it was last heard
	clock   uint64        // the newest of that process
	newest  map[kind]uint64
	sent    time.Duration // of evidence: the first that is not answered yet; 0: none
	deaf    time.Duration // as an aggregator: since when it doesn't answer; 0: it does
	asked   map[uint64]time.Duration
}

func (a *Agent) peer(i int) *peer {
	p := a.peers[i]
	if p == nil {
		p = &peer{newest: map[kind]uint64{}}
		a.peers[i] = p
	}
	return p
}

// Out takes the messages to send.
func (a *Agent) Out() []Message { m := a.out; a.out = nil; return m }

func (a *Agent) send(to int, k kind, body []byte, now time.Duration) uint64 {
	a.clock = max(a.clock+1, micros(now))
	if to == a.options.Self {
		return a.clock
	}
	if len(a.out) >= mostOut {
		a.Counts.Dropped++
		return a.clock
	}
	m := seal(a.options.Key, a.listDigest, header{kind: k, from: a.options.Self, to: to, process: a.process, clock: a.clock, echo: a.peer(to).clock}, body)
	a.out = append(a.out, Message{to, m})
	a.Counts.Sent++
	a.Counts.SentBytes += uint64(len(m))
	return a.clock
}

// Receive takes a message. What is no node's of this fleet is counted and dropped.
func (a *Agent) Receive(p []byte, now time.Duration) {
	h, body, err := open(a.options.Key, a.listDigest, p)
	switch {
	case errors.Is(err, errForeign):
		a.Counts.Foreign++
		return
	case err != nil || h.to != a.options.Self || h.from == a.options.Self || h.from >= a.options.List.Len():
		a.Counts.Spoilt++
		return
	case !a.inOrder(h, now):
		a.Counts.Late++
		return
	}
	a.Counts.Taken++
	stale := h.echo == 0 || micros(now)-min(micros(now), h.echo) > micros(staleAfter)
	a.dispatch(h, body, stale, now)
	a.advance(now)
}

// inOrder says whether a message counts: it is of the sender's present process, and of kinds where only the newest counts, it is that, and
// comes once.
func (a *Agent) inOrder(h header, now time.Duration) bool {
	sender := a.peer(h.from)
	if sender.process != h.process {
		if sender.process != 0 && now-sender.at < processGone {
			return false // of a process that is gone, or of one whose forerunner is still heard
		}
		*sender = peer{process: h.process, newest: map[kind]uint64{}}
	}
	sender.at, sender.clock = now, max(sender.clock, h.clock)
	switch h.kind {
	case beat, evidence, sum, news, borrow:
		if h.clock <= sender.newest[h.kind] {
			return false
		}
		sender.newest[h.kind] = h.clock
	}
	return true
}

// dispatch has a message handled by its kind. stale says that it may have been long on its way.
func (a *Agent) dispatch(h header, body []byte, stale bool, now time.Duration) {
	switch h.kind {
	case beat:
		a.watch.Heard(h.from, now)
	case evidence:
		a.handleEvidence(h, body, stale, now)
	case word:
		a.handleWord(h, body, now)
	case sum:
		a.handleSum(h, body, stale, now)
	case ack:
		a.handleAck(h, body, now)
	case news:
		var d agree.Digest
		if decoding.Unmarshal(body, &d) == nil {
			a.fetchMissing(h.from, d, now)
		}
	case fetch:
		a.handleFetch(h, body, now)
	case give:
		var g giveBody
		if decoding.Unmarshal(body, &g) == nil {
			a.acceptEntry(g.Log, g.Entry, h.from, now)
		}
	case borrow:
		a.handleBorrow(h, body, now)
	case loan:
		a.handleLoan(h, body, now)
	case raftWord:
		a.handleVoterMessage(h, body)
	}
}

// handleVoterMessage passes a voter's message on to this node's voter.
func (a *Agent) handleVoterMessage(h header, body []byte) {
	from := a.options.List.Voter(h.from)
	if a.voter == nil || from < 0 {
		return
	}
	if err := a.voter.Receive(from, body); err != nil {
		a.options.Log("fleet_voter_message", "from", a.options.List.Node(h.from).Name, "error", err.Error())
	}
}

// expect notes when a message was sent whose answer tells how long ago that was at least.
func (p *peer) expect(clock uint64, now time.Duration) {
	if p.asked == nil || len(p.asked) > mostAsked {
		p.asked = map[uint64]time.Duration{}
	}
	p.asked[clock] = now
}

// answered gives when the message that is answered was sent; ok is false where none was, or it was answered before.
func (p *peer) answered(clock uint64) (sent time.Duration, ok bool) {
	sent, ok = p.asked[clock]
	delete(p.asked, clock)
	return sent, ok
}
