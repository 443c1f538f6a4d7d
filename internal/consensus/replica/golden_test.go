package replica

import (
	"bytes"
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

	"spurwinch/internal/consensus"
)

var update = flag.Bool("update", false, "rewrite the golden files; use it only for a new format")

// goldenText checks that got equals the lines of a golden file, and returns the lines of the file. With -update it
// first writes got to the file.
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
			t.Errorf("%s: line %d differs from the golden file: got %d lines, want %d",
				name, i+1, len(got), len(want))
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

// TestGoldenEnvelope checks the encoding of the envelope in which replicas send all messages.
func TestGoldenEnvelope(t *testing.T) {
	value := envelope{Incarnation: 0x1112131415161718, LogID: 0x2122232425262728, Raft: []byte("raft message")}
	want := goldenText(t, "envelope.hex", []string{hex.EncodeToString(consensus.Encode(value))})
	var decoded envelope
	if err := consensus.Decode(fromHex(t, want[0]), &decoded); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("decoded envelope: got %+v, want %+v", decoded, value)
	}
}

// TestGoldenCompactedRecord checks the record that Compact returns for a log that has grown, and the state of a replica
// that starts from this record.
func TestGoldenCompactedRecord(t *testing.T) {
	replica, compacted := compactGrownLog(t)
	lines := goldenText(t, "fold.hex", []string{hex.EncodeToString(consensus.Encode(compacted))})
	var golden consensus.Record
	if err := consensus.Decode(fromHex(t, lines[0]), &golden); err != nil {
		t.Fatal(err)
	}
	snapshot := &raftpb.Snapshot{}
	if err := proto.Unmarshal(golden.Snapshot, snapshot); err != nil {
		t.Fatal(err)
	}
	restarted, err := New(0, 1, []consensus.Record{golden}, rand.New(rand.NewPCG(7, 8)))
	if err != nil {
		t.Fatal(err)
	}
	if restarted.incarnation != replica.incarnation || restarted.Term() != replica.Term() {
		t.Errorf("replica from the golden record: got incarnation %x, term %d, want %x and %d",
			restarted.incarnation, restarted.Term(), replica.incarnation, replica.Term())
	}
	if index := snapshot.GetMetadata().GetIndex(); restarted.applied != replica.applied || index != replica.applied {
		t.Errorf("replica from the golden record: got applied %d, snapshot index %d, want %d",
			restarted.applied, index, replica.applied)
	}
	if !reflect.DeepEqual(restarted.State(), replica.State()) {
		t.Errorf("replica from the golden record: got state %+v, want %+v", restarted.State(), replica.State())
	}
	if !bytes.Equal(consensus.Encode(restarted.State()), snapshot.GetData()) {
		t.Errorf("encoded state: got %x, want %x", consensus.Encode(restarted.State()), snapshot.GetData())
	}
}

// compactGrownLog makes a single replica commit proposals until Compact returns a record.
func compactGrownLog(t *testing.T) (*Replica, consensus.Record) {
	t.Helper()
	replica, err := New(0, 1, nil, rand.New(rand.NewPCG(5, 6)))
	if err != nil {
		t.Fatal(err)
	}
	persistAll(t, replica)
	for range 60 {
		replica.Tick()
		persistAll(t, replica)
	}
	for i := range 2000 {
		if record, ok := replica.Compact(); ok {
			return replica, record
		}
		kind := consensus.Kind(1 + i%2)
		proposal := consensus.Proposal{
			ID:       fmt.Sprint("id-", i),
			Kind:     kind,
			Replaces: replica.State().Newest[kind].Index,
			Data:     []byte{byte(i), 1},
		}
		if err := replica.Propose(proposal); err != nil {
			t.Fatal(err)
		}
		persistAll(t, replica)
	}
	t.Fatal("Compact returned no record during 2000 proposals")
	return nil, consensus.Record{}
}

// persistAll reports all records that a replica has ready as persisted, and drops its messages.
func persistAll(t *testing.T, replica *Replica) {
	t.Helper()
	for range 10 {
		if _, _, ok := replica.Ready(); !ok {
			return
		}
		replica.Persisted()
	}
	t.Fatal("Ready still returns a record after 10 calls of Persisted")
}
