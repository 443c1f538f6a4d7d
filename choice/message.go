package choice

import (
	"encoding/binary"
	"strconv"
)

// Messages between nodes, on the wire. No decisions here.
//
//	byte 0      version (high half), kind (low half)
//	bytes 1-4   token: the sender's clock in milliseconds, modulo 2^32, never twice; an answer has its question's
//	question    bytes 5-8 server, 9-12 group (both the high half of a hash; group 0: none), 13 told load
//	answer      byte 5 predicted load, 6 part to move
//
// Big-endian. Loads are in sixteenths, of a mean connection in questions and of a full server in answers, parts in 255ths.

const (
	messageVersion = 1
	questionBytes  = 14
	answerBytes    = 7
	latest         = 1000 // ms that a question may take: what is older says nothing of now
	mostSeen       = 256  // questions remembered, to tell repeats
	mostWaiting    = 64   // questions that wait for one server's report
	mostGroups     = 256  // groups remembered of one server
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
	token  uint32
	server uint32
	group  uint32
	load   float64
	part   float64
}

func (m message) encode() []byte {
	out := binary.BigEndian.AppendUint32([]byte{messageVersion<<4 | byte(m.kind)}, m.token)
	if m.kind >= yes {
		return append(out, sixteenths(m.load), byte(clamp(m.part, 0, 1)*255))
	}
	out = binary.BigEndian.AppendUint32(out, m.server)
	return append(binary.BigEndian.AppendUint32(out, m.group), sixteenths(m.load))
}

func sixteenths(v float64) byte { return byte(clamp(v, 0, 15.9) * 16) }

// decode reads a message; ok is false for any but a whole one of this version.
func decode(p []byte) (m message, ok bool) {
	if len(p) < answerBytes || p[0]>>4 != messageVersion {
		return m, false
	}
	m.kind, m.token = messageKind(p[0]&15), binary.BigEndian.Uint32(p[1:])
	switch {
	case m.kind >= yes && m.kind <= bad && len(p) == answerBytes:
		m.load, m.part = float64(p[5])/16, float64(p[6])/255
		return m, true
	case m.kind >= mayISend && m.kind < yes && len(p) == questionBytes:
		m.server, m.group = binary.BigEndian.Uint32(p[5:]), binary.BigEndian.Uint32(p[9:])
		m.load = float64(p[13]) / 16
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
		token uint32
	}
)

func clockOf(b *Balancer) uint32 { return uint32(b.now.Milliseconds()) }

// token is a new one.
func (b *Balancer) token() uint32 {
	if t := clockOf(b); int32(t-b.lastToken) > 0 {
		b.lastToken = t
	} else {
		b.lastToken++
	}
	return b.lastToken
}

// fresh reports whether a question is a new one of now, and remembers it.
func (b *Balancer) fresh(from int, m message) bool {
	if age := int32(clockOf(b) - m.token); age > latest || age < -latest {
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

// Dropped counts the messages that were not believed.
func (b *Balancer) Dropped() int { return b.dropped }

func (b *Balancer) byHash(h uint32) *server {
	for _, s := range b.servers {
		if uint32(s.hash>>32) == h {
			return s
		}
	}
	return nil
}

// question asks a server's keeper, which may be this node itself.
func (b *Balancer) question(kind messageKind, s *server, r *request, load float64) {
	q := message{kind: kind, token: b.token(), server: uint32(s.hash >> 32), load: load / b.unit}
	if r != nil && r.bind != 0 {
		q.group = uint32(mix(r.bind)>>32) | 1
	}
	to := b.keeper(s)
	if kind != itStands {
		b.asked[q.token] = asked{to, s, r}
	}
	if to == b.set.Node {
		b.take(question{to, q})
	} else {
		b.out = append(b.out, Tell{to, q.encode()})
	}
	if _, waits := b.asked[q.token]; waits {
		b.out = append(b.out, SetTimer{"mute " + strconv.FormatUint(uint64(q.token), 10), muteAfter})
	}
}

// muted takes a question as lost, which had no answer in time.
func (b *Balancer) muted(id string) {
	token, _ := strconv.ParseUint(id, 10, 32)
	if q, ok := b.asked[uint32(token)]; ok {
		delete(b.asked, uint32(token))
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
		b.out = append(b.out, Tell{q.from, a.encode()})
	case ok:
		delete(b.asked, q.token)
		b.answered(o, a)
	}
}
