package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"spurwinch/internal/consensus"
)

// exchange is a play of three replicas in a fixed order, with all that they persist and send.
type exchange struct {
	t        *testing.T
	rng      *rand.Rand
	replicas []*Replica
	disks    [][]consensus.Record
	inFlight []message
	lines    []string
}

func (x *exchange) start(i int) {
	replica, err := New(i, 3, x.disks[i], x.rng)
	if err != nil {
		x.t.Fatal(err)
	}
	if i < len(x.replicas) {
		x.replicas[i] = replica
		return
	}
	x.replicas = append(x.replicas, replica)
}

// settle has all replicas persist and send until none has anything more.
func (x *exchange) settle() {
	const rounds = 12
	for range rounds {
		sent := x.inFlight
		x.inFlight = nil
		for _, m := range sent {
			if err := x.replicas[m.to].Receive(m.from, m.data); err != nil {
				x.t.Fatal(err)
			}
		}
		for i := range x.replicas {
			x.work(i)
		}
	}
	if len(x.inFlight) > 0 {
		x.t.Fatalf("after %d rounds %d messages are in flight, wanted none", rounds, len(x.inFlight))
	}
}

// work has a replica persist and send all that it has to.
func (x *exchange) work(i int) {
	replica := x.replicas[i]
	for {
		record, whole, ok := replica.Ready()
		if !ok {
			break
		}
		if whole {
			x.t.Fatal("a record that replaces all others")
		}
		if !record.Empty() {
			x.lines = append(x.lines, fmt.Sprintf("keep %d %x", i, consensus.Encode(record)))
			x.disks[i] = append(x.disks[i], record)
		}
		messages, _ := replica.Persisted()
		for _, m := range messages {
			x.send(i, m)
		}
	}
	if err := replica.Err(); err != nil {
		x.t.Fatal(err)
	}
}

// send sends a message. The lines leave out hellos: TestGoldenEnvelope has those.
func (x *exchange) send(from int, m consensus.Message) {
	x.inFlight = append(x.inFlight, message{from: from, to: m.To, data: m.Data})
	var sent envelope
	if err := consensus.Unmarshal(m.Data, &sent); err != nil {
		x.t.Fatal(err)
	}
	if len(sent.Raft) > 0 {
		x.lines = append(x.lines, fmt.Sprintf("send %d %d %x", from, m.To, m.Data))
	}
}

func (x *exchange) tick(ids ...int) {
	for _, i := range ids {
		x.replicas[i].Tick()
	}
	x.settle()
}

func (x *exchange) propose(id string, replaces uint64) {
	proposal := consensus.Proposal{ID: id, Kind: 1, Replaces: replaces, Data: []byte("data of " + id)}
	if err := x.replicas[0].Propose(proposal); err != nil {
		x.t.Fatal(err)
	}
	x.settle()
}

// TestGoldenExchange holds every record and message, byte for byte, of replicas that begin a log, choose a leader,
// decide, confirm, and take in a replica that lost its disk.
func TestGoldenExchange(t *testing.T) {
	seedRaft(t, 1)
	play := &exchange{t: t, rng: rand.New(rand.NewPCG(3, 4)), disks: make([][]consensus.Record, 3)}
	for i := range 3 {
		play.start(i)
	}
	play.settle()
	for range helloTicks + 1 { // until all have begun the log
		play.tick(0, 1, 2)
	}
	for range 40 {
		play.tick(0)
	}
	if !play.replicas[0].IsLeader() {
		t.Fatal("replica 0 does not lead")
	}
	play.propose("one", 0)
	play.propose("two", play.replicas[0].State().Newest[1].Index)
	play.propose("late", 0)
	play.replicas[0].ConfirmLeadership()
	play.settle()
	if play.replicas[0].ConfirmedCall() != 1 {
		t.Fatal("the leader is not confirmed")
	}
	play.disks[2] = nil
	play.start(2)
	play.settle()
	play.tick(2)
	for range 60 {
		play.tick(0)
	}
	if !play.replicas[2].isVoter() {
		t.Fatal("the replica that lost its disk is not a member again")
	}
	play.propose("three", play.replicas[0].State().Newest[1].Index)
	want := goldenText(t, "exchange.txt", play.lines)
	checkGoldenDisks(t, want)
}

// checkGoldenDisks starts replicas on the records of the golden file and holds what they know by them.
func checkGoldenDisks(t *testing.T, lines []string) {
	t.Helper()
	disks := goldenDisks(t, lines)
	var logID uint64
	for _, record := range disks[0] {
		logID = max(logID, record.LogID)
	}
	for i, disk := range disks {
		replica, err := New(i, 3, disk, rand.New(rand.NewPCG(9, 9)))
		if err != nil {
			t.Fatal(err)
		}
		checkGoldenHardState(t, i, replica)
		for range 5 { // what is decided is applied
			if _, _, ok := replica.Ready(); ok {
				replica.Persisted()
			}
		}
		if replica.logID == 0 || replica.logID != logID || !replica.isVoter() {
			t.Errorf("replica %d: log %x, member %v, wanted %x and true", i, replica.logID, replica.isVoter(), logID)
		}
		state := replica.State()
		if newest := state.Newest[1]; newest.ID != "three" || string(newest.Data) != "data of three" {
			t.Errorf("replica %d: the newest entry is %+v, wanted that of proposal three", i, newest)
		}
		if len(state.Results) != 4 || len(state.Retired) != 1 {
			t.Errorf("replica %d: %d results and %d retired replicas, wanted 4 and 1",
				i, len(state.Results), len(state.Retired))
		}
	}
}

// goldenDisks are the records of the golden file, by replica.
func goldenDisks(t *testing.T, lines []string) [][]consensus.Record {
	t.Helper()
	disks := make([][]consensus.Record, 3)
	for _, line := range lines {
		var i int
		var text string
		if _, err := fmt.Sscanf(line, "keep %d %s", &i, &text); err != nil {
			continue // it is of a message
		}
		var record consensus.Record
		if err := consensus.Unmarshal(fromHex(t, text), &record); err != nil {
			t.Fatal(err)
		}
		if record.Incarnation != 0 {
			disks[i] = nil // a new disk
		}
		disks[i] = append(disks[i], record)
	}
	return disks
}

// checkGoldenHardState wants the term, vote and commit index of the exchange.
func checkGoldenHardState(t *testing.T, i int, replica *Replica) {
	t.Helper()
	hardState, _, err := replica.storage.InitialState()
	if err != nil {
		t.Fatal(err)
	}
	voted := hardState.GetVote() != 0 // the replica that lost its disk has not voted since
	if hardState.GetTerm() != 1 || voted != (i != 2) || hardState.GetCommit() < 6 {
		t.Errorf("replica %d: term, vote and commit are %v, wanted term 1, voted %v, commit from 6 on",
			i, hardState, i != 2)
	}
}
