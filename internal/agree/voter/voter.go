// Package voter is one of those who agree on the log: etcd's raft, as a pure step, between messages and records. It stands apart from
// package agree because what it links keeps 3.4 MB of code in a program that only follows the log.
package voter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"spurwinch/internal/agree"
)

const (
	electionTicks = 12  // without a leader's word, and as many more by chance
	beatTicks     = 3   // between two words of a leader
	helloTicks    = 10  // between two hellos of a voter that has no log
	keepEntries   = 256 // behind the newest, for voters that lag, before they get the state whole
	mostInflight  = 64
)

// hello is what voters tell one another while one of them has no log.
type hello struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Log         uint64 // 0: none
	Raft        []byte // a message of Raft, in place of a hello
}

// Replica is one of those who agree.
type Replica struct {
	self, n     int
	incarnation uint64
	log         uint64
	raft        *raft.RawNode
	mem         *raft.MemoryStorage
	state       agree.State
	applied     uint64
	conf        *raftpb.ConfState
	ready       *raft.Ready // the one in hand; nil: none
	busy        bool        // a record is on its way to the disk
	fresh       bool        // the disk's beginning, or the log's, is not on it yet
	first       bool        // the record on its way is that one
	heard       []hello
	ticks       int
	out         []agree.Message
	decided     []agree.ProposalResult
	asked       uint64 // calls of Confirm
	confirmed   uint64
	reads       []raft.ReadState // confirmed, and what was decided before is not all applied yet
	broken      error
	quiet       silence
}

func must(b []byte, err error) []byte {
	if err != nil {
		panic(err) // Raft's own messages: what it made can be written
	}
	return b
}

type silence struct{}

func (silence) Debug(...any)            {}
func (silence) Debugf(string, ...any)   {}
func (silence) Info(...any)             {}
func (silence) Infof(string, ...any)    {}
func (silence) Warning(...any)          {}
func (silence) Warningf(string, ...any) {}
func (silence) Error(...any)            {}
func (silence) Errorf(string, ...any)   {}
func (silence) Fatal(a ...any)          { panic(fmt.Sprint(a...)) }
func (silence) Panic(a ...any)          { panic(fmt.Sprint(a...)) }
func (silence) Fatalf(f string, a ...any) {
	panic(fmt.Sprintf(f, a...))
}
func (silence) Panicf(f string, a ...any) {
	panic(fmt.Sprintf(f, a...))
}

// id is a voter's name in Raft: its place, and which of its disks.
func id(place int, incarnation uint64) uint64 { return incarnation<<8 | uint64(place+1) }

func place(id uint64) int { return int(id&0xff) - 1 }

// New makes voter number self of n, with what its disk kept, oldest first. rng draws the incarnation of a new disk.
func New(self, n int, kept []agree.Record, rng *rand.Rand) (v *Replica, err error) {
	if n < 1 || n > agree.MaxReplicas || self < 0 || self >= n {
		return nil, fmt.Errorf("voter %d of %d: 1 to %d voters are possible", self, n, agree.MaxReplicas)
	}
	v = &Replica{self: self, n: n, heard: make([]hello, n), mem: raft.NewMemoryStorage(), state: agree.State{Newest: map[agree.Kind]agree.Entry{}}}
	defer func() { // Raft panics on what can't follow from what it was told
		if r := recover(); r != nil {
			err = fmt.Errorf("what the disk kept doesn't fit together: %v", r)
		}
	}()
	for _, r := range kept {
		if r.Incarnation != 0 {
			v.incarnation = r.Incarnation
		}
		if r.Log != 0 {
			v.log = r.Log
		}
		if err := v.keep(r); err != nil {
			return nil, err
		}
	}
	if v.incarnation == 0 {
		v.incarnation, v.fresh = rng.Uint64()>>9|1, true
	}
	if v.log != 0 {
		return v, v.begin()
	}
	return v, nil
}

// keep puts a record into Raft's view of the disk.
func (v *Replica) keep(r agree.Record) error {
	if len(r.Snapshot) > 0 {
		s := &raftpb.Snapshot{}
		if err := proto.Unmarshal(r.Snapshot, s); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
		if err := v.mem.ApplySnapshot(s); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return fmt.Errorf("snapshot: %w", err)
		}
	}
	var entries []*raftpb.Entry
	for _, b := range r.Entries {
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(b, e); err != nil {
			return fmt.Errorf("entry: %w", err)
		}
		entries = append(entries, e)
	}
	if err := v.mem.Append(entries); err != nil {
		return fmt.Errorf("entries: %w", err)
	}
	if len(r.HardState) > 0 {
		h := &raftpb.HardState{}
		if err := proto.Unmarshal(r.HardState, h); err != nil {
			return fmt.Errorf("state: %w", err)
		}
		return v.mem.SetHardState(h)
	}
	return nil
}

// begin starts Raft on what the disk kept.
func (v *Replica) begin() error {
	s, err := v.mem.Snapshot()
	if err != nil {
		return err
	}
	if err := v.restore(s); err != nil {
		return err
	}
	v.raft, err = raft.NewRawNode(&raft.Config{ID: id(v.self, v.incarnation), ElectionTick: electionTicks, HeartbeatTick: beatTicks,
		Storage: v.mem, Applied: v.applied, MaxSizePerMsg: 512 << 10, MaxInflightMsgs: mostInflight, MaxUncommittedEntriesSize: 4 << 20,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, Logger: v.quiet})
	return err
}

func (v *Replica) restore(s *raftpb.Snapshot) error {
	v.applied, v.conf = s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	if len(s.GetData()) == 0 {
		return nil
	}
	var state agree.State
	if err := agree.Unmarshal(s.GetData(), &state); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if state.Newest == nil {
		state.Newest = map[agree.Kind]agree.Entry{}
	}
	v.state = state
	return nil
}

// guard has a panic of Raft stop this voter, not the node: it votes no more until it is started again.
func (v *Replica) guard() {
	if r := recover(); r != nil {
		v.broken = fmt.Errorf("%v", r)
	}
}

// Broken is why this voter can't go on; nil: it can.
func (v *Replica) Broken() error { return v.broken }

// Tick tells that agree.Tick has passed.
func (v *Replica) Tick() {
	if v.broken != nil {
		return
	}
	defer v.guard()
	v.ticks++
	if v.raft != nil {
		v.raft.Tick()
		v.welcome()
	}
	if !v.fresh && v.ticks%helloTicks == 1 && (v.raft == nil || !v.member()) {
		v.toAll(hello{Incarnation: v.incarnation, Log: v.log})
		v.bootstrap()
	}
}

// member says whether the voters' list, as far as this one knows, has it.
func (v *Replica) member() bool {
	_, ok := v.raft.Status().Config.Voters.IDs()[id(v.self, v.incarnation)]
	return ok
}

func (v *Replica) toAll(h hello) {
	for i := range v.n {
		if i != v.self {
			v.out = append(v.out, agree.Message{To: i, Data: agree.Encode(h)})
		}
	}
}

// bootstrap begins a log once every voter has said that it has none. A majority's word is not enough: the others may hold a
// log of which this majority lost its disks, and its numbers would be given a second time.
func (v *Replica) bootstrap() {
	v.heard[v.self] = hello{Incarnation: v.incarnation, Log: v.log}
	if v.raft != nil {
		return
	}
	var ids []uint64
	for i, h := range v.heard {
		if h.Incarnation == 0 || h.Log != 0 {
			return
		}
		ids = append(ids, id(i, h.Incarnation))
	}
	log := uint64(14695981039346656037)
	for _, i := range ids {
		log = (log ^ i) * 1099511628211
	}
	v.log = log | 1
	first := &raftpb.Snapshot{Data: agree.Encode(agree.State{Log: v.log, Newest: map[agree.Kind]agree.Entry{}}),
		Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: raftpb.EnsureConfState(&raftpb.ConfState{Voters: ids})}}
	if err := v.mem.ApplySnapshot(first); err != nil {
		v.broken = err
		return
	}
	v.broken = v.begin()
	v.fresh = true // the log's beginning goes to the disk before anything is said
}

// Receive takes a message of another voter.
func (v *Replica) Receive(from int, data []byte) error {
	var h hello
	if v.broken != nil || from < 0 || from >= v.n || from == v.self {
		return nil
	}
	if err := agree.Unmarshal(data, &h); err != nil {
		return fmt.Errorf("voter's message: %w", err)
	}
	defer v.guard()
	v.heard[from] = hello{Incarnation: h.Incarnation, Log: h.Log}
	if len(h.Raft) == 0 {
		switch {
		case h.Log == 0 && !v.fresh: // it wants to know
			v.out = append(v.out, agree.Message{To: from, Data: agree.Encode(hello{Incarnation: v.incarnation, Log: v.log, Raft: nil})})
		case v.log == 0:
			v.join(h.Log)
		case h.Log != 0 && h.Log != v.log && v.raft != nil && v.applied <= 1 && v.raft.BasicStatus().GetTerm() <= 1:
			// A beginning of its own that came to nothing: two voters heard different beginnings of a third one.
			v.broken = fmt.Errorf("a log began twice, %x and %x: remove this voter's files and start it again", v.log, h.Log)
		}
		return nil
	}
	if v.log == 0 {
		v.join(h.Log)
	}
	if v.raft == nil || v.fresh || h.Log != v.log {
		return nil
	}
	m := &raftpb.Message{}
	if err := proto.Unmarshal(h.Raft, m); err != nil {
		return fmt.Errorf("voter's message: %w", err)
	}
	if place(m.GetFrom()) != from || m.GetTo() != id(v.self, v.incarnation) || raft.IsLocalMsg(m.GetType()) {
		return nil // of a voter that was, or to one
	}
	if err := v.raft.Step(m); err != nil && !errors.Is(err, raft.ErrProposalDropped) && !errors.Is(err, raft.ErrStepPeerNotFound) {
		return fmt.Errorf("voter's message: %w", err)
	}
	return nil
}

// join begins to listen to a log that others have.
func (v *Replica) join(log uint64) {
	if log == 0 || v.fresh {
		return
	}
	v.log = log
	v.broken = v.begin()
	v.fresh = true
}

// welcome has the leader put a voter that lost its disk in the place of the one that it was: first as a learner, so that no
// majority leans on a disk that has nothing yet.
func (v *Replica) welcome() {
	s := v.raft.Status()
	if s.RaftState != raft.StateLeader || v.ticks%helloTicks != 0 {
		return
	}
	for i, h := range v.heard {
		now := id(i, h.Incarnation)
		// A late word of a disk that is gone must not bring it back.
		if h.Incarnation == 0 || i == v.self || slices.Contains(v.state.Retired, now) {
			continue
		}
		_, voter := s.Config.Voters.IDs()[now]
		p, learner := s.Progress[now]
		switch {
		case voter:
		case learner && p.Match+8 >= s.GetCommit():
			v.raft.ProposeConfChange(&raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{change(raftpb.ConfChangeAddNode, now)}})
			return
		case !learner:
			changes := []*raftpb.ConfChangeSingle{change(raftpb.ConfChangeAddLearnerNode, now)}
			for _, old := range slices.Sorted(keys(s.Progress)) {
				if place(old) == i {
					changes = append(changes, change(raftpb.ConfChangeRemoveNode, old))
				}
			}
			v.raft.ProposeConfChange(&raftpb.ConfChangeV2{Changes: changes})
			return
		}
	}
}

func change(t raftpb.ConfChangeType, node uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: &t, NodeId: &node}
}

func keys[K comparable, V any](m map[K]V) func(func(K) bool) {
	return func(yield func(K) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// Propose asks for an entry. How it ends is told by agree.ProposalResult, or later by Ended; it may never be told, and then the same proposal can be
// made again.
func (v *Replica) Propose(p agree.Proposal) (err error) {
	if err := p.Check(); err != nil {
		return err
	}
	if v.broken != nil || !v.Leads() {
		return agree.ErrNotLeader
	}
	defer v.guard()
	return v.raft.Propose(agree.Encode(p))
}

// Leads says whether this voter leads, as far as it knows: one that was stopped learns of another leader only afterwards. What
// it proposes until then is not agreed to.
func (v *Replica) Leads() bool {
	return v.broken == nil && v.raft != nil && !v.fresh && v.raft.BasicStatus().RaftState == raft.StateLeader
}

// Leader is the place of the voter that leads, as far as known; -1: none.
func (v *Replica) Leader() int {
	if v.raft == nil {
		return -1
	}
	return place(v.raft.BasicStatus().Lead)
}

// Term counts elections.
func (v *Replica) Term() uint64 {
	if v.raft == nil {
		return 0
	}
	return v.raft.BasicStatus().GetTerm()
}

// Confirm asks the other voters whether this one still leads. Confirmed tells, later, up to which call they said yes: it led when that
// call was made.
func (v *Replica) Confirm() (call uint64) {
	if !v.Leads() {
		return v.asked
	}
	defer v.guard()
	v.asked++
	v.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, v.asked))
	return v.asked
}

// Confirmed is the newest call of Confirm that was answered with yes.
func (v *Replica) Confirmed() uint64 { return v.confirmed }

// State is what this voter knows to be decided.
func (v *Replica) State() agree.State { return v.state }

// Ended tells how a proposal ended, while that is remembered.
func (v *Replica) Ended(id string) (agree.ProposalResult, bool) { return v.state.Result(id) }

// Ready gives what has to be kept on disk next; whole says that it replaces all that was kept before. After ok, Kept is called once the
// record is safe; an empty record needs no disk.
func (v *Replica) Ready() (rec agree.Record, whole, ok bool) {
	if v.busy || v.broken != nil {
		return rec, false, false
	}
	defer v.guard()
	if v.fresh {
		v.busy, v.first = true, true
		rec = agree.Record{Incarnation: v.incarnation, Log: v.log}
		if s, err := v.mem.Snapshot(); err == nil && v.raft != nil && !raft.IsEmptySnap(s) {
			rec.Snapshot = must(proto.Marshal(s))
		}
		return rec, false, true
	}
	if v.raft == nil || !v.raft.HasReady() {
		if len(v.out) > 0 {
			v.busy = true
			return rec, false, true
		}
		return rec, false, false
	}
	rd := v.raft.Ready()
	v.busy, v.ready = true, &rd
	if v.ready.HardState != nil && !raft.IsEmptyHardState(v.ready.HardState) {
		rec.HardState = must(proto.Marshal(v.ready.HardState))
	}
	for _, e := range v.ready.Entries {
		rec.Entries = append(rec.Entries, must(proto.Marshal(e)))
	}
	if !raft.IsEmptySnap(v.ready.Snapshot) {
		rec.Snapshot = must(proto.Marshal(v.ready.Snapshot))
	}
	return rec, false, true
}

// Kept tells that the record of the last Ready is safe, and gives what follows from it.
func (v *Replica) Kept() (out []agree.Message, decided []agree.ProposalResult) {
	if !v.busy || v.broken != nil {
		return nil, nil
	}
	defer v.guard()
	v.busy = false
	if v.first {
		v.fresh, v.first = false, false
		return v.take(), nil
	}
	if v.ready == nil { // there were only words that are not Raft's
		return v.take(), nil
	}
	rd := *v.ready
	v.ready = nil
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := v.mem.ApplySnapshot(rd.Snapshot); err != nil {
			v.broken = err
			return nil, nil
		}
		if v.broken = v.restore(rd.Snapshot); v.broken != nil {
			return nil, nil
		}
	}
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		v.mem.SetHardState(rd.HardState)
	}
	v.reads = append(v.reads, rd.ReadStates...)
	v.mem.Append(rd.Entries)
	for _, m := range rd.Messages {
		b := must(proto.Marshal(m))
		v.out = append(v.out, agree.Message{To: place(m.GetTo()), Data: agree.Encode(hello{Incarnation: v.incarnation, Log: v.log, Raft: b})})
		if m.GetType() == raftpb.MsgSnap {
			v.raft.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // one that is lost is sent again after the next beat
		}
	}
	for _, e := range rd.CommittedEntries {
		v.commit(e)
	}
	// A call is answered by what stands here only once all that was decided before it does.
	for len(v.reads) > 0 && v.reads[0].Index <= v.applied {
		if r := v.reads[0]; len(r.RequestCtx) == 8 {
			v.confirmed = max(v.confirmed, binary.BigEndian.Uint64(r.RequestCtx))
		}
		v.reads = v.reads[1:]
	}
	v.raft.Advance(rd)
	return v.take(), v.told()
}

func (v *Replica) take() []agree.Message        { out := v.out; v.out = nil; return out }
func (v *Replica) told() []agree.ProposalResult { d := v.decided; v.decided = nil; return d }

func (v *Replica) commit(e *raftpb.Entry) {
	switch e.GetType() {
	case raftpb.EntryNormal:
		if d, news := v.state.Apply(e.GetIndex(), e.GetData()); news {
			v.decided = append(v.decided, d)
		}
	case raftpb.EntryConfChange:
		c := &raftpb.ConfChange{}
		if proto.Unmarshal(e.GetData(), c) == nil {
			v.changed(e, v.raft.ApplyConfChange(c))
		}
	case raftpb.EntryConfChangeV2:
		c := &raftpb.ConfChangeV2{}
		if proto.Unmarshal(e.GetData(), c) == nil {
			conf := v.raft.ApplyConfChange(c)
			for _, one := range c.GetChanges() {
				if one.GetType() == raftpb.ConfChangeRemoveNode {
					v.state.Retire(one.GetNodeId())
				}
			}
			v.changed(e, conf)
		}
	}
	v.applied = e.GetIndex()
}

// changed has the next snapshot that Raft hands out name the voters as they are now: one that doesn't name its taker is not taken.
func (v *Replica) changed(e *raftpb.Entry, conf *raftpb.ConfState) {
	v.conf = conf
	if _, err := v.mem.CreateSnapshot(e.GetIndex(), conf, agree.Encode(v.state)); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		v.broken = err
	}
}

// Fold makes one record of all that is known, once the log has grown; it replaces what the disk has. It is called while no other
// record is under way.
func (v *Replica) Fold() (rec agree.Record, ok bool) {
	first, _ := v.mem.FirstIndex()
	if v.raft == nil || v.busy || v.fresh || v.broken != nil || v.applied < first+2*keepEntries {
		return rec, false
	}
	defer v.guard()
	s, err := v.mem.CreateSnapshot(v.applied, v.conf, agree.Encode(v.state))
	if err != nil {
		return rec, false
	}
	rec = agree.Record{Incarnation: v.incarnation, Log: v.log, Snapshot: must(proto.Marshal(s))}
	hard, _, _ := v.mem.InitialState()
	rec.HardState = must(proto.Marshal(hard))
	last, _ := v.mem.LastIndex()
	if last > v.applied {
		entries, err := v.mem.Entries(v.applied+1, last+1, 1<<62)
		if err != nil {
			return rec, false
		}
		for _, e := range entries {
			rec.Entries = append(rec.Entries, must(proto.Marshal(e)))
		}
	}
	if to := v.applied - keepEntries; to > first {
		v.mem.Compact(to)
	}
	return rec, true
}
