package choice

import (
	"encoding/binary"
	"math"
	"strconv"
	"time"
)

// Messages between nodes, on the wire. No decisions here.
//
//	byte 0      version (high half), kind (low half)
//	bytes 1-2   token: the sender's clock in milliseconds, modulo 2^16, never twice; an answer has its question's
//	question    bytes 3-5 server, 6-7 group (both the high bits of a hash; group 0: none), 8 told load
//	answer      byte 3 predicted load, 4 part to move
//
// Big-endian. Loads are in sixteenths, of a mean connection in questions and of a full server in answers, parts in 255ths.
// Each byte has its price at every site that prices messages, so fields have no bit to spare.

const (
	messageVersion = 1
	questionBytes  = 9
	answerBytes    = 5
	latest         = 1000 // ms that a question may take: what is older says nothing of now
	mostSeen       = 2048 // questions remembered, to tell repeats
	mostWaiting    = 1024 // questions that wait for one server's report
	mostGroups     = 256  // groups remembered of one server
	clockMessages  = 3    // that agree in another node's clock
)

type messageKind uint8

const (
	mayISend  messageKind = iota + 1 // a connection of that load
	relieveMe                        // of what is more than the server bears; the load is what the sender has there
	itStands                         // a connection of that group stands there; no answer
	yes
	no
	bad // the server does not answer its keeper
)

type message struct {
	kind   messageKind
	token  uint16
	server uint32 // 24 bits
	group  uint16
	load   float64
	part   float64
}

func (m message) encode() []byte {
	out := binary.BigEndian.AppendUint16([]byte{messageVersion<<4 | byte(m.kind)}, m.token)
	if m.kind >= yes {
		return append(out, sixteenths(m.load), byte(math.Round(clamp(m.part, 0, 1)*255)))
	}
	out = append(out, byte(m.server>>16), byte(m.server>>8), byte(m.server))
	return append(binary.BigEndian.AppendUint16(out, m.group), sixteenths(m.load))
}

func sixteenths(v float64) byte { return byte(clamp(math.Round(v*16), 0, 255)) }

// decode reads a message; ok is false for any but a whole one of this version.
func decode(p []byte) (m message, ok bool) {
	if len(p) < answerBytes || p[0]>>4 != messageVersion {
		return m, false
	}
	m.kind, m.token = messageKind(p[0]&15), binary.BigEndian.Uint16(p[1:])
	switch {
	case m.kind >= yes && m.kind <= bad && len(p) == answerBytes:
		m.load, m.part = float64(p[3])/16, float64(p[4])/255
		return m, true
	case m.kind >= mayISend && m.kind < yes && len(p) == questionBytes:
		m.server = uint32(p[3])<<16 | uint32(p[4])<<8 | uint32(p[5])
		m.group, m.load = binary.BigEndian.Uint16(p[6:]), float64(p[8])/16
		return m, true
	}
	return m, false
}

// A question that this node has out, and one that waits for a report at its server's keeper.
type (
	asked struct {
		to int
		s  *server
		r  *request // nil: for relief
	}
	question struct {
		from int
		message
	}
	seenKey struct {
		from  int
		token uint16
	}
)

func clockOf(b *Balancer) uint16 { return uint16(b.now.Milliseconds()) }

func serverKey(s *server) uint32 { return uint32(s.hash >> 40) }

// newToken is the clock, or more where several questions go out in a millisecond.
func (b *Balancer) newToken() uint16 {
	b.lastToken = max(b.lastToken+1, b.now.Milliseconds())
	return uint16(b.lastToken)
}

// fresh reports whether a question is a new one of now, and remembers it.
func (b *Balancer) fresh(from int, m message) bool {
	if !b.inTime(from, m.token) {
		return false
	}
	k := seenKey{from, m.token}
	for _, o := range b.seen {
		if o == k {
			return false
		}
	}
	if len(b.seen) < mostSeen {
		b.seen = append(b.seen, k)
	} else {
		b.seen[b.seenAt%mostSeen] = k
	}
	b.seenAt++
	return true
}

// clockOffset is how far another node's clock is from this one's, as its messages tell: machines' clocks may be stepped, by seconds or
// an hour.
type clockOffset struct {
	known int16 // ms
	// Messages that are late or early by known, and agree with one another:
	other int16
	count int
	since time.Duration
}

// inTime reports whether a message was sent within the last moment, by its sender's clock. What several messages of a second or more agree
// in is that clock; messages that were held up on the way come all at once, and agree in nothing.
func (b *Balancer) inTime(from int, token uint16) bool {
	off := int16(clockOf(b) - token)
	c := b.clocks[from]
	if near(off, c.known) {
		if c.count > 0 {
			c.count = 0
			b.clocks[from] = c
		}
		return true
	}
	if c.count == 0 || !near(off, c.other) {
		c.other, c.count, c.since = off, 0, b.now
	}
	c.count++
	agreed := c.count >= clockMessages && b.now-c.since >= latest*time.Millisecond
	if agreed {
		c = clockOffset{known: off}
	}
	b.clocks[from] = c
	return agreed
}

// near says whether two offsets differ by no more than a message may be late.
func near(x, y int16) bool {
	d := x - y
	return d <= latest && d >= -latest
}

// DroppedPeerMessages counts the messages that were not believed.
func (b *Balancer) DroppedPeerMessages() int { return b.dropped }

func (b *Balancer) byHash(h uint32) *server {
	for _, s := range b.servers {
		if serverKey(s) == h {
			return s
		}
	}
	return nil
}

// question asks a server's keeper, which may be this node itself.
func (b *Balancer) question(kind messageKind, s *server, r *request, load float64) {
	q := message{kind: kind, token: b.newToken(), server: serverKey(s), load: load / b.unit}
	if r != nil && r.bind != 0 {
		q.group = uint16(mix(r.bind)>>48) | 1
	}
	to := b.keeper(s)
	if kind != itStands {
		b.asked[q.token] = asked{to, s, r}
	}
	if to == b.set.Node {
		b.take(question{to, q})
	} else {
		b.out = append(b.out, SendPeerMessage{to, q.encode()})
	}
	if _, waits := b.asked[q.token]; waits {
		b.out = append(b.out, SetTimer{Token: "mute " + strconv.FormatUint(uint64(q.token), 10), After: muteAfter})
	}
}

// muted takes a question as lost, which had no answer in time.
func (b *Balancer) muted(id string) {
	token, _ := strconv.ParseUint(id, 10, 16)
	if q, ok := b.asked[uint16(token)]; ok {
		delete(b.asked, uint16(token))
		b.lost(q)
	}
}

// heard takes in a message of another node. What is cut off, of another version, late, a repeat or an answer to no question
// of this node's is dropped and counted.
func (b *Balancer) heard(e PeerMessage) {
	m, ok := decode(e.Data)
	switch {
	case !ok || e.From < 0 || e.From >= len(b.silent) || e.From == b.set.Node:
		b.dropped++
	case m.kind >= yes:
		q, ok := b.asked[m.token]
		if !ok || q.to != e.From {
			b.dropped++
			return
		}
		delete(b.asked, m.token)
		b.silent[e.From] = 0
		b.answered(q, m)
	case !b.fresh(e.From, m):
		b.dropped++
	default:
		b.silent[e.From] = 0
		b.take(question{e.From, m})
	}
}

// take is the keeper's part: it answers from a fresh report, or once it has one.
func (b *Balancer) take(q question) {
	s := b.byHash(q.server)
	switch {
	case s == nil || s.State != Ready || len(s.questions) >= mostWaiting:
		if q.kind != itStands {
			b.reply(q, message{kind: no, load: 2})
		}
	case q.kind == itStands:
		s.stands(q.group, b.now)
	case b.knows(s):
		b.decide(q, s)
	default:
		s.questions = append(s.questions, q)
		b.probe(s)
	}
}

// reply answers a question.
func (b *Balancer) reply(q question, a message) {
	a.token = q.token
	switch o, ok := b.asked[q.token]; {
	case q.from != b.set.Node:
		b.out = append(b.out, SendPeerMessage{q.from, a.encode()})
	case ok:
		delete(b.asked, q.token)
		b.answered(o, a)
	}
}
