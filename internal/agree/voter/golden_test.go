package voter

import (
	"bytes"
	crypto "crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"spurwinch/internal/agree"
)

var update = flag.Bool("update", false, "write the golden files anew: only for a form that is new")

// goldenText wants lines to be those of a golden file; with -update it writes the file first.
func goldenText(t *testing.T, name string, got []string) (want []string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(strings.Join(got, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want = strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	for i := range max(len(got), len(want)) {
		if i >= len(got) || i >= len(want) || got[i] != want[i] {
			t.Errorf("%s: line %d of %d is not that of the golden file's %d", name, i+1, len(got), len(want))
			break
		}
	}
	return want
}

func fromHex(t *testing.T, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestGoldenHello holds the frame of all messages between voters.
func TestGoldenHello(t *testing.T) {
	value := hello{Incarnation: 0x1112131415161718, Log: 0x2122232425262728, Raft: []byte("raft message")}
	want := goldenText(t, "hello.hex", []string{hex.EncodeToString(agree.Encode(value))})
	var decoded hello
	if err := agree.Unmarshal(fromHex(t, want[0]), &decoded); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("decoded %+v, wanted %+v", decoded, value)
	}
}

// exchange is a play of three voters in a fixed order, with all that they keep and send.
type exchange struct {
	t      *testing.T
	rng    *rand.Rand
	voters []*Replica
	disks  [][]agree.Record
	wire   []flying
	lines  []string
}

func (x *exchange) start(i int) {
	v, err := New(i, 3, x.disks[i], x.rng)
	if err != nil {
		x.t.Fatal(err)
	}
	if i < len(x.voters) {
		x.voters[i] = v
		return
	}
	x.voters = append(x.voters, v)
}

// settle has all voters keep and send, for as many rounds as any word of Raft takes. Voters without a log answer one another's hellos without
// end: those are cut off.
func (x *exchange) settle() {
	const rounds = 12
	for range rounds {
		wire := x.wire
		x.wire = nil
		for _, m := range wire {
			if err := x.voters[m.to].Receive(m.from, m.data); err != nil {
				x.t.Fatal(err)
			}
		}
		for i := range x.voters {
			x.work(i)
		}
	}
	x.wire = nil
}

// work has a voter keep and send all that it has to. The lines leave out hellos: TestGoldenHello has those.
func (x *exchange) work(i int) {
	v := x.voters[i]
	for {
		rec, whole, ok := v.Ready()
		if !ok {
			break
		}
		if whole {
			x.t.Fatal("a record that replaces all others")
		}
		if !rec.Empty() {
			x.lines = append(x.lines, fmt.Sprintf("keep %d %x", i, agree.Encode(rec)))
			x.disks[i] = append(x.disks[i], rec)
		}
		out, _ := v.Kept()
		for _, m := range out {
			x.wire = append(x.wire, flying{from: i, to: m.To, data: m.Data})
			var h hello
			if err := agree.Unmarshal(m.Data, &h); err != nil {
				x.t.Fatal(err)
			}
			if len(h.Raft) > 0 {
				x.lines = append(x.lines, fmt.Sprintf("send %d %d %x", i, m.To, m.Data))
			}
		}
	}
	if err := v.Broken(); err != nil {
		x.t.Fatal(err)
	}
}

func (x *exchange) tick(ids ...int) {
	for _, i := range ids {
		x.voters[i].Tick()
	}
	x.settle()
}

func (x *exchange) propose(id string, replaces uint64) {
	p := agree.Proposal{ID: id, Kind: 1, Replaces: replaces, Data: []byte("data of " + id)}
	if err := x.voters[0].Propose(p); err != nil {
		x.t.Fatal(err)
	}
	x.settle()
}

// TestGoldenExchange holds every record and message, byte for byte, of voters that begin a log, choose a leader, decide, confirm, and take in
// a voter that lost its disk.
func TestGoldenExchange(t *testing.T) {
	before := crypto.Reader
	crypto.Reader = drawn{rand.New(rand.NewPCG(1, 2))} // Raft draws its patience from there
	defer func() { crypto.Reader = before }()
	x := &exchange{t: t, rng: rand.New(rand.NewPCG(3, 4)), disks: make([][]agree.Record, 3)}
	for i := range 3 {
		x.start(i)
	}
	x.settle()
	x.tick(0, 1, 2)
	for range 40 {
		x.tick(0)
	}
	if !x.voters[0].Leads() {
		t.Fatal("voter 0 does not lead")
	}
	x.propose("one", 0)
	x.propose("two", x.voters[0].State().Newest[1].Number)
	x.propose("late", 0)
	x.voters[0].Confirm()
	x.settle()
	if x.voters[0].Confirmed() != 1 {
		t.Fatal("the leader is not confirmed")
	}
	x.disks[2] = nil
	x.start(2)
	x.settle()
	x.tick(2)
	for range 60 {
		x.tick(0)
	}
	if !x.voters[2].member() {
		t.Fatal("the voter that lost its disk is none again")
	}
	x.propose("three", x.voters[0].State().Newest[1].Number)
	want := goldenText(t, "exchange.txt", x.lines)
	checkGoldenDisks(t, want)
}

// checkGoldenDisks starts voters on the records of the golden file and holds what they know by them.
func checkGoldenDisks(t *testing.T, lines []string) {
	t.Helper()
	disks := make([][]agree.Record, 3)
	for _, line := range lines {
		var i int
		var text string
		if _, err := fmt.Sscanf(line, "keep %d %s", &i, &text); err != nil {
			continue
		}
		var rec agree.Record
		if err := agree.Unmarshal(fromHex(t, text), &rec); err != nil {
			t.Fatal(err)
		}
		if rec.Incarnation != 0 {
			disks[i] = nil // a new disk
		}
		disks[i] = append(disks[i], rec)
	}
	for i, disk := range disks {
		v, err := New(i, 3, disk, rand.New(rand.NewPCG(9, 9)))
		if err != nil {
			t.Fatal(err)
		}
		hard, _, err := v.mem.InitialState()
		if err != nil {
			t.Fatal(err)
		}
		if hard.GetTerm() != 1 || hard.GetVote() == 0 != (i == 2) || hard.GetCommit() < 6 {
			t.Errorf("voter %d: term, vote and commit are %v", i, hard)
		}
		for range 5 { // what is decided is applied
			if _, _, ok := v.Ready(); ok {
				v.Kept()
			}
		}
		if v.log == 0 || v.log != goldenLog(t, disks[0]) || !v.member() {
			t.Errorf("voter %d: log %x, member %v", i, v.log, v.member())
		}
		state := v.State()
		if newest := state.Newest[1]; newest.ID != "three" || string(newest.Data) != "data of three" || len(state.Results) != 4 || len(state.Retired) != 1 {
			t.Errorf("voter %d: state %+v", i, state)
		}
	}
}

func goldenLog(t *testing.T, disk []agree.Record) (log uint64) {
	t.Helper()
	for _, r := range disk {
		log = max(log, r.Log)
	}
	return log
}

// TestGoldenFold holds the one record that a voter makes of a log that has grown, and what a voter that starts on it knows.
func TestGoldenFold(t *testing.T) {
	v, err := New(0, 1, nil, rand.New(rand.NewPCG(5, 6)))
	if err != nil {
		t.Fatal(err)
	}
	persist := func() {
		for range 10 {
			if _, _, ok := v.Ready(); !ok {
				return
			}
			v.Kept()
		}
		t.Fatal("there is always more to keep")
	}
	persist()
	for range 60 {
		v.Tick()
		persist()
	}
	var rec agree.Record
	for i := range 2000 {
		var ok bool
		if rec, ok = v.Fold(); ok {
			break
		}
		p := agree.Proposal{ID: fmt.Sprint("id-", i), Kind: agree.Kind(1 + i%2), Replaces: v.State().Newest[agree.Kind(1+i%2)].Number, Data: []byte{byte(i), 1}}
		if err := v.Propose(p); err != nil {
			t.Fatal(err)
		}
		persist()
	}
	want := goldenText(t, "fold.hex", []string{hex.EncodeToString(agree.Encode(rec))})
	var kept agree.Record
	if err := agree.Unmarshal(fromHex(t, want[0]), &kept); err != nil {
		t.Fatal(err)
	}
	snapshot := &raftpb.Snapshot{}
	if err := proto.Unmarshal(kept.Snapshot, snapshot); err != nil {
		t.Fatal(err)
	}
	again, err := New(0, 1, []agree.Record{kept}, rand.New(rand.NewPCG(7, 8)))
	if err != nil {
		t.Fatal(err)
	}
	if again.incarnation != v.incarnation || again.applied != v.applied || snapshot.GetMetadata().GetIndex() != v.applied ||
		again.Term() != v.Term() || !reflect.DeepEqual(again.State(), v.State()) || !bytes.Equal(agree.Encode(again.State()), snapshot.GetData()) {
		t.Errorf("from the golden record: %+v, wanted %+v", again.State(), v.State())
	}
}
