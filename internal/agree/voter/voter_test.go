package voter

import (
	crypto "crypto/rand"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"spurwinch/internal/agree"
)

// world plays voters in simulated time: messages are lost, late and repeated, voters stall, crash before or after a record is on their
// disk, and lose their disks.
type world struct {
	t      *rapid.T
	rng    *rand.Rand
	voters []*sim
	wire   []flying
	now    int
	seen   map[uint64]uint64 // number to digest, over all voters for ever
	told   map[string]agree.ProposalResult
	loss   float64
	split  int // voters below it hear only one another
}

type drawn struct{ *rand.Rand }

func (d drawn) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(d.Uint64())
	}
	return len(p), nil
}

type sim struct {
	v       *Replica
	disk    []agree.Record
	pending *agree.Record
	due     int
	stalled int
	down    int
	highest uint64
}

type flying struct {
	at, from, to int
	data         []byte
}

func newWorld(t *rapid.T, n int, seed uint64) *world {
	crypto.Reader = drawn{rand.New(rand.NewPCG(seed, 2))} // Raft draws its patience from there
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), seen: map[uint64]uint64{}, told: map[string]agree.ProposalResult{}}
	for i := range n {
		w.voters = append(w.voters, &sim{})
		w.start(i)
	}
	return w
}

func (w *world) start(i int) {
	v, err := New(i, len(w.voters), w.voters[i].disk, w.rng)
	if len(w.voters) < 3 { // while the world is being made, NewVoter needs the whole number
		v, err = New(i, 3, w.voters[i].disk, w.rng)
	}
	if err != nil {
		w.t.Fatalf("voter %d: %v", i, err)
	}
	w.voters[i].v, w.voters[i].pending = v, nil
}

// step is one tick of all.
func (w *world) step() {
	w.now++
	for i, s := range w.voters {
		if s.down == w.now {
			w.start(i)
		}
	}
	due := w.wire
	w.wire = nil
	for _, m := range due {
		s := w.voters[m.to]
		switch {
		case m.at > w.now:
			w.wire = append(w.wire, m)
		case s.down > w.now || (m.from < w.split) != (m.to < w.split):
		case s.stalled > w.now:
			m.at = s.stalled
			w.wire = append(w.wire, m)
		default:
			if err := s.v.Receive(m.from, m.data); err != nil {
				w.t.Fatalf("voter %d hears %d: %v", m.to, m.from, err)
			}
			w.work(m.to)
		}
	}
	for i, s := range w.voters {
		if s.down > w.now || s.stalled > w.now {
			continue
		}
		s.v.Tick()
		w.work(i)
		if err := s.v.Broken(); err != nil {
			w.t.Fatalf("voter %d broke: %v", i, err)
		}
	}
}

func (w *world) work(i int) {
	s := w.voters[i]
	for range 100 {
		if s.pending != nil {
			if s.due > w.now {
				return
			}
			w.save(s)
			out, decided := s.v.Kept()
			for _, m := range out {
				w.send(i, m)
			}
			for _, d := range decided {
				if old, ok := w.told[d.ID]; ok && old != d {
					w.t.Fatalf("proposal %s ended twice: %+v and %+v", d.ID, old, d)
				}
				w.told[d.ID] = d
			}
			w.check(s)
		}
		if rec, ok := s.v.Fold(); ok {
			s.disk = []agree.Record{rec}
		}
		rec, _, ok := s.v.Ready()
		if !ok {
			return
		}
		s.pending, s.due = &rec, w.now+w.rng.IntN(3)
	}
}

func (w *world) save(s *sim) {
	if !s.pending.Empty() {
		s.disk = append(s.disk, *s.pending)
	}
	s.pending = nil
}

func (w *world) send(from int, m agree.Message) {
	if w.rng.Float64() < w.loss {
		return
	}
	late := 1 + w.rng.IntN(3)
	if w.rng.Float64() < 0.05 {
		late += w.rng.IntN(60)
	}
	w.wire = append(w.wire, flying{w.now + late, from, m.To, m.Data})
	if w.rng.Float64() < 0.05 {
		w.wire = append(w.wire, flying{w.now + late + w.rng.IntN(40), from, m.To, m.Data})
	}
}

// check holds what a voter knows against all that any voter ever knew.
func (w *world) check(s *sim) {
	for _, e := range s.v.State().Newest {
		if old, ok := w.seen[e.Number]; ok && old != e.Digest() {
			w.t.Fatalf("number %d has two contents", e.Number)
		}
		w.seen[e.Number] = e.Digest()
		if e.Number < s.highest {
			w.t.Fatalf("number went back from %d to %d", s.highest, e.Number)
		}
		s.highest = e.Number
	}
}

func (w *world) leader() *Replica {
	var best *Replica
	for _, s := range w.voters {
		if s.down <= w.now && s.stalled <= w.now && s.v.Leads() && (best == nil || s.v.Term() > best.Term()) {
			best = s.v
		}
	}
	return best
}

// TestLogHolds draws schedules of faults: no number has two contents, none goes back, no proposal ends in two ways, what was decided
// stays, and the log goes on once the faults end.
func TestLogHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3, rapid.Uint64().Draw(t, "seed"))
		w.loss = rapid.SampledFrom([]float64{0, 0.01, 0.1}).Draw(t, "loss")
		for range 60 {
			w.step()
		}
		proposed, lost := 0, 0
		for range rapid.IntRange(5, 25).Draw(t, "faults") {
			i := rapid.IntRange(0, 2).Draw(t, "voter")
			s := w.voters[i]
			switch rapid.SampledFrom([]string{"crash", "stall", "split", "heal", "disk lost", "propose"}).Draw(t, "fault") {
			case "crash":
				if w.rng.IntN(2) == 0 && s.pending != nil {
					w.save(s) // it was on the disk, and nobody was told
				}
				s.pending, s.down = nil, w.now+1+w.rng.IntN(40)
			case "stall":
				s.stalled = w.now + 100
			case "split":
				w.split = 1 + w.rng.IntN(2)
			case "heal":
				w.split = 0
			case "disk lost":
				// One at a time: a majority keeps its disks. The next one only after this one is a voter again.
				if lost < 2 && w.healthy() {
					lost++
					s.disk, s.pending, s.down, s.highest = nil, nil, w.now+1, 0
				}
			case "propose":
				if l := w.leader(); l != nil {
					proposed++
					l.Propose(agree.Proposal{ID: fmt.Sprint(proposed), Kind: 1, Replaces: l.State().Newest[1].Number, Data: []byte{byte(proposed)}})
				}
			}
			for range w.rng.IntN(60) {
				w.step()
			}
		}
		w.split, w.loss = 0, 0
		for range 400 {
			w.step()
		}
		l := w.leader()
		if l == nil {
			t.Fatalf("nobody leads after the faults")
		}
		before := l.State().Newest[1]
		for id, d := range w.told {
			if now, ok := l.Ended(id); !ok || now != d {
				t.Fatalf("what was told of proposal %s is lost: %+v, %+v", id, d, now)
			}
		}
		if err := l.Propose(agree.Proposal{ID: "last", Kind: 1, Replaces: before.Number, Data: []byte("last")}); err != nil {
			t.Fatal(err)
		}
		for range 200 {
			w.step()
		}
		for i, s := range w.voters {
			if got := s.v.State().Newest[1]; string(got.Data) != "last" {
				for j, s := range w.voters {
					t.Logf("voter %d: %x applied %d fresh %v busy %v out %d log %x %+v heard %+v", j, id(j, s.v.incarnation), s.v.applied, s.v.fresh, s.v.busy, len(s.v.out), s.v.log, s.v.raft.Status(), s.v.heard)
				}
				t.Fatalf("voter %d has %q at %d", i, got.Data, got.Number)
			}
		}
	})
}

// healthy says that all three vote and know what is decided.
func (w *world) healthy() bool {
	l := w.leader()
	if l == nil || w.split != 0 {
		return false
	}
	for _, s := range w.voters {
		if s.down > w.now || s.stalled > w.now || s.v.raft == nil || !s.v.member() || s.v.applied+2 < l.applied ||
			len(l.raft.Status().Config.Voters.IDs()) != 3 {
			return false
		}
	}
	return true
}
