package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"spurwinch/internal/consensus"
)

// exchangeRecorder runs three replicas in a fixed order and records everything that they persist, and all Raft messages
// that they send.
type exchangeRecorder struct {
	t        *testing.T
	rng      *rand.Rand
	replicas []*Replica
	disks    [][]consensus.Record
	inFlight []message
	lines    []string // records and Raft messages in the format of the golden file
}

func (e *exchangeRecorder) start(i int) {
	replica, err := New(i, 3, e.disks[i], e.rng)
	if err != nil {
		e.t.Fatal(err)
	}
	if i < len(e.replicas) {
		e.replicas[i] = replica
		return
	}
	e.replicas = append(e.replicas, replica)
}

// runUntilIdle delivers messages and lets all replicas persist and send until no message is in flight.
func (e *exchangeRecorder) runUntilIdle() {
	const rounds = 12
	for range rounds {
		sent := e.inFlight
		e.inFlight = nil
		for _, m := range sent {
			if err := e.replicas[m.to].Receive(m.from, m.data); err != nil {
				e.t.Fatal(err)
			}
		}
		for i := range e.replicas {
			e.persistAndSend(i)
		}
	}
	if len(e.inFlight) > 0 {
		e.t.Fatalf("messages in flight after %d rounds: got %d, want none", rounds, len(e.inFlight))
	}
}

// persistAndSend persists all records that a replica has ready and sends its messages.
func (e *exchangeRecorder) persistAndSend(i int) {
	replica := e.replicas[i]
	for {
		record, whole, ok := replica.Ready()
		if !ok {
			break
		}
		if whole {
			e.t.Fatal("Ready: got whole true, want false")
		}
		if !record.Empty() {
			e.lines = append(e.lines, fmt.Sprintf("keep %d %x", i, consensus.Encode(record)))
			e.disks[i] = append(e.disks[i], record)
		}
		messages, _ := replica.Persisted()
		for _, m := range messages {
			e.send(i, m)
		}
	}
	if err := replica.Err(); err != nil {
		e.t.Fatal(err)
	}
}

// send sends a message and records it, except for hellos, whose encoding TestGoldenEnvelope checks.
func (e *exchangeRecorder) send(from int, m consensus.Message) {
	e.inFlight = append(e.inFlight, message{from: from, to: m.To, data: m.Data})
	var sent envelope
	if err := consensus.Decode(m.Data, &sent); err != nil {
		e.t.Fatal(err)
	}
	if len(sent.Raft) > 0 {
		e.lines = append(e.lines, fmt.Sprintf("send %d %d %x", from, m.To, m.Data))
	}
}

// tick lets one tick pass on each of the given replicas, then runs until no message is in flight.
func (e *exchangeRecorder) tick(numbers ...int) {
	for _, i := range numbers {
		e.replicas[i].Tick()
	}
	e.runUntilIdle()
}

func (e *exchangeRecorder) propose(id string, replaces uint64) {
	proposal := consensus.Proposal{ID: id, Kind: 1, Replaces: replaces, Data: []byte("data of " + id)}
	if err := e.replicas[0].Propose(proposal); err != nil {
		e.t.Fatal(err)
	}
	e.runUntilIdle()
}

// TestGoldenExchange compares every record and Raft message with the golden file, byte for byte. The replicas create a
// log, elect a leader, commit proposals, confirm the leadership, and make a replica that lost its disk a voter again.
func TestGoldenExchange(t *testing.T) {
	seedRaft(t, 1)
	recorder := &exchangeRecorder{t: t, rng: rand.New(rand.NewPCG(3, 4)), disks: make([][]consensus.Record, 3)}
	for i := range 3 {
		recorder.start(i)
	}
	recorder.runUntilIdle()
	for range helloTicks + 1 { // until all replicas have created the log
		recorder.tick(0, 1, 2)
	}
	for range 40 {
		recorder.tick(0)
	}
	if !recorder.replicas[0].IsLeader() {
		t.Fatal("IsLeader of replica 0: got false, want true")
	}
	recorder.propose("one", 0)
	recorder.propose("two", recorder.replicas[0].State().Newest[1].Index)
	recorder.propose("late", 0)
	recorder.replicas[0].ConfirmLeadership()
	recorder.runUntilIdle()
	if recorder.replicas[0].ConfirmedCall() != 1 {
		t.Fatal("ConfirmedCall of replica 0 after ConfirmLeadership: got another call, want call 1")
	}
	recorder.disks[2] = nil
	recorder.start(2)
	recorder.runUntilIdle()
	recorder.tick(2)
	for range 60 {
		recorder.tick(0)
	}
	if !recorder.replicas[2].isVoter() {
		t.Fatal("isVoter of replica 2, which lost its disk: got false, want true")
	}
	recorder.propose("three", recorder.replicas[0].State().Newest[1].Index)
	want := goldenText(t, "exchange.txt", recorder.lines)
	checkGoldenDisks(t, want)
}

// checkGoldenDisks starts replicas from the records of the golden file and checks the state that they load.
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
		for range 5 { // apply the committed entries
			if _, _, ok := replica.Ready(); ok {
				replica.Persisted()
			}
		}
		if replica.logID == 0 || replica.logID != logID || !replica.isVoter() {
			t.Errorf("replica %d: got log %x, voter %v, want %x and true", i, replica.logID, replica.isVoter(), logID)
		}
		state := replica.State()
		if newest := state.Newest[1]; newest.ID != "three" || string(newest.Data) != "data of three" {
			t.Errorf("replica %d: newest entry: got %+v, want the entry of proposal three", i, newest)
		}
		if len(state.Results) != 4 || len(state.Retired) != 1 {
			t.Errorf("replica %d: got %d results and %d retired replicas, want 4 and 1",
				i, len(state.Results), len(state.Retired))
		}
	}
}

// goldenDisks returns the records of the golden file for each replica.
func goldenDisks(t *testing.T, lines []string) [][]consensus.Record {
	t.Helper()
	disks := make([][]consensus.Record, 3)
	for _, line := range lines {
		var i int
		var text string
		if _, err := fmt.Sscanf(line, "keep %d %s", &i, &text); err != nil {
			continue // the line contains a message instead of a record
		}
		var record consensus.Record
		if err := consensus.Decode(fromHex(t, text), &record); err != nil {
			t.Fatal(err)
		}
		if record.Incarnation != 0 {
			disks[i] = nil // the replica has a new disk
		}
		disks[i] = append(disks[i], record)
	}
	return disks
}

// checkGoldenHardState checks that a replica loads the term, the vote and the commit index of the recorded exchange.
func checkGoldenHardState(t *testing.T, i int, replica *Replica) {
	t.Helper()
	hardState, _, err := replica.storage.InitialState()
	if err != nil {
		t.Fatal(err)
	}
	voted := hardState.GetVote() != 0 // replica 2, which lost its disk, has not voted since then
	if hardState.GetTerm() != 1 || voted != (i != 2) || hardState.GetCommit() < 6 {
		t.Errorf("replica %d: hard state: got %v, want term 1, voted %v and a commit index of at least 6",
			i, hardState, i != 2)
	}
}
