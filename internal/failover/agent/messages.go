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
	deaf    time.Duration // as a head: since when it doesn't answer; 0: it does
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
	if to == a.o.Self {
		return a.clock
	}
	if len(a.out) >= mostOut {
		a.Counts.Dropped++
		return a.clock
	}
	m := seal(a.o.Key, a.list, header{kind: k, from: a.o.Self, to: to, process: a.process, clock: a.clock, echo: a.peer(to).clock}, body)
	a.out = append(a.out, Message{to, m})
	a.Counts.Sent++
	a.Counts.SentBytes += uint64(len(m))
	return a.clock
}

// Receive takes a message. What is no node's of this fleet is counted and dropped.
func (a *Agent) Receive(p []byte, now time.Duration) {
	h, body, err := open(a.o.Key, a.list, p)
	switch {
	case errors.Is(err, errForeign):
		a.Counts.Foreign++
		return
	case err != nil || h.to != a.o.Self || h.from == a.o.Self || h.from >= a.o.List.Len():
		a.Counts.Spoilt++
		return
	}
	o := a.peer(h.from)
	if o.process != h.process {
		if o.process != 0 && now-o.at < processGone {
			a.Counts.Late++ // of a process that is gone, or of one whose forerunner is still heard
			return
		}
		*o = peer{process: h.process, newest: map[kind]uint64{}}
	}
	o.at, o.clock = now, max(o.clock, h.clock)
	switch h.kind {
	case beat, evidence, sum, news, borrow: // only the newest counts, once
		if h.clock <= o.newest[h.kind] {
			a.Counts.Late++
			return
		}
		o.newest[h.kind] = h.clock
	}
	a.Counts.Taken++
	stale := h.echo == 0 || micros(now)-min(micros(now), h.echo) > micros(staleAfter)
	switch h.kind {
	case beat:
		a.watch.Heard(h.from, now)
	case evidence:
		a.hearEvidence(h, body, stale, now)
	case word:
		a.hearWord(h, body, now)
	case sum:
		a.hearSum(h, body, stale, now)
	case ack:
		a.hearAck(h, body, now)
	case news:
		var d agree.Digest
		if decoding.Unmarshal(body, &d) == nil {
			a.lacks(h.from, d, now)
		}
	case fetch:
		var kinds []agree.Kind
		if decoding.Unmarshal(body, &kinds) == nil {
			for _, k := range kinds[:min(len(kinds), agree.MostKinds)] {
				a.give(h.from, k, now)
			}
		}
	case give:
		var g giveBody
		if decoding.Unmarshal(body, &g) == nil {
			a.take(g.Log, g.Entry, h.from, now)
		}
	case borrow:
		a.hearBorrow(h, body, now)
	case loan:
		a.hearLoan(h, body, now)
	case raftWord:
		if a.voter != nil {
			if from := a.o.List.Voter(h.from); from >= 0 {
				if err := a.voter.Receive(from, body); err != nil {
					a.o.Log("fleet_voter_message", "from", a.o.List.Node(h.from).Name, "error", err.Error())
				}
			}
		}
	}
	a.work(now)
}
