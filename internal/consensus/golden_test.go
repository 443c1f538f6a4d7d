package consensus

import (
	"bytes"
	"compress/gzip"
	"encoding/hex"
	"flag"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files; use it only for a new format")

// golden returns the contents of a golden file, which are stored as hexadecimal text. With -update it first writes
// encoded to the file.
func golden(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name+".hex")
	if *update {
		if err := os.WriteFile(path, []byte(hex.EncodeToString(encoded)+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want, err := hex.DecodeString(string(bytes.TrimSpace(text)))
	if err != nil {
		t.Fatal(err)
	}
	return want
}

// checkGoldenValue checks that a value is encoded as in the golden file, and that the golden file is decoded to it.
func checkGoldenValue[T any](t *testing.T, name string, value T) {
	t.Helper()
	encoded := Encode(value)
	want := golden(t, name, encoded)
	if !bytes.Equal(encoded, want) {
		t.Errorf("Encode %s: got\n%x\nwant\n%x", name, encoded, want)
	}
	var decoded T
	if err := Decode(want, &decoded); err != nil {
		t.Errorf("Decode %s: %v", name, err)
	} else if !reflect.DeepEqual(decoded, value) {
		t.Errorf("Decode %s: got\n%+v\nwant\n%+v", name, decoded, value)
	}
}

func goldenEntry() Entry {
	return Entry{Index: 0x0102030405, Kind: 3, ID: "entry-id", Data: []byte("entry data")}
}

func goldenState() State {
	return State{
		LogID: 0x1112131415161718,
		Newest: map[Kind]Entry{
			2: {Index: 21, Kind: 2, ID: "second", Data: []byte("data of kind 2")},
			1: {Index: 22, Kind: 1, ID: "first", Data: []byte("data of kind 1")},
		},
		Results: []ProposalResult{
			{ID: "first", Kind: 1, Index: 22, Accepted: true},
			{ID: "late", Kind: 2, Index: 23},
		},
		Retired: []uint64{0x2122232425262728, 0x31},
	}
}

func goldenRecord() Record {
	return Record{
		Incarnation: 0x4142434445464748,
		LogID:       0x5152535455565758,
		HardState:   []byte("hard state"),
		Entries:     [][]byte{[]byte("raft entry 1"), []byte("raft entry 2")},
		Snapshot:    []byte("raft snapshot"),
		Newest:      []Entry{goldenEntry(), {Index: 61, Kind: 62, ID: "other", Data: []byte("other data")}},
	}
}

// TestGoldenEncodings checks the encodings of all types that are stored or sent.
func TestGoldenEncodings(t *testing.T) {
	checkGoldenValue(t, "entry", goldenEntry())
	checkGoldenValue(t, "proposal", Proposal{
		ID: "proposal-id", Kind: 7, Replaces: 0x0708090a, Data: []byte("proposal data"),
	})
	checkGoldenValue(t, "decided", ProposalResult{ID: "decided-id", Kind: 9, Index: 0x0a0b0c0d, Accepted: true})
	checkGoldenValue(t, "state", goldenState())
	checkGoldenValue(t, "record", goldenRecord())
	checkGoldenValue(t, "record-empty", Record{})
	checkGoldenValue(t, "kind-digest", KindDigest{Kind: 4, Index: 0x0e0f, EntryDigest: 0x7172737475767778})
	checkGoldenValue(t, "digest", Digest{
		LogID: 0x8182838485868788,
		Kinds: []KindDigest{{Kind: 5, Index: 91, EntryDigest: 92}, {Kind: 6, Index: 93, EntryDigest: 94}},
	})
	checkGoldenValue(t, "kinds", []Kind{2, 1, 3})
}

// TestGoldenDigest checks that digests do not change between versions: nodes of different versions compare them.
func TestGoldenDigest(t *testing.T) {
	const want = 0xa539f21774aa8e41
	if got := goldenEntry().Digest(); got != want {
		t.Errorf("Digest of the entry: got %#x, want %#x", got, uint64(want))
	}
	follower := NewFollower(0x99, []Entry{goldenEntry(), {Index: 5, Kind: 1, ID: "x", Data: []byte("y")}})
	checkGoldenValue(t, "follower-digest", follower.Digest())
}

// TestGoldenStore checks the bytes of a store's whole file after Save and after Replace, and the records that OpenStore
// reads from them.
func TestGoldenStore(t *testing.T) {
	records := []Record{
		{Incarnation: 5},
		goldenRecord(),
		{LogID: 6, Newest: []Entry{goldenEntry()}},
		{HardState: []byte("later")},
	}
	t.Run("saved", func(t *testing.T) {
		checkGoldenStore(t, "store-saved", records, func(s *Store) error {
			for _, r := range records {
				if err := s.Save(r); err != nil {
					return err
				}
			}
			return nil
		})
	})
	t.Run("replaced", func(t *testing.T) {
		checkGoldenStore(t, "store-replaced", []Record{goldenRecord(), {LogID: 8}}, func(s *Store) error {
			if err := s.Save(Record{Incarnation: 7}); err != nil {
				return err
			}
			if err := s.Replace(goldenRecord()); err != nil {
				return err
			}
			return s.Save(Record{LogID: 8})
		})
	})
}

// checkGoldenStore checks that write creates the same file as the golden one, and that OpenStore reads the records want
// from the golden file.
func checkGoldenStore(t *testing.T, name string, want []Record, write func(*Store) error) {
	t.Helper()
	dir := t.TempDir()
	store, _ := openStore(t, dir)
	if err := write(store); err != nil {
		t.Fatal(err)
	}
	closeStore(t, store)
	written, err := os.ReadFile(filepath.Join(dir, storeName))
	if err != nil {
		t.Fatal(err)
	}
	file := goldenFile(t, name, written)
	if !bytes.Equal(written, file) {
		t.Errorf("%s: got a file of %d bytes that differs from the golden file of %d bytes",
			name, len(written), len(file))
	}

	goldenDir := t.TempDir()
	if err := os.WriteFile(filepath.Join(goldenDir, storeName), file, 0o600); err != nil {
		t.Fatal(err)
	}
	store, read := openStore(t, goldenDir)
	defer closeStore(t, store)
	if !reflect.DeepEqual(read, want) {
		t.Errorf("%s: OpenStore: got\n%+v\nwant\n%+v", name, read, want)
	}
}

// goldenFile returns the contents of a compressed golden file. With -update it first writes them.
func goldenFile(t *testing.T, name string, written []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name+".gz")
	if *update {
		var compressed bytes.Buffer
		w := gzip.NewWriter(&compressed)
		if _, err := w.Write(written); err != nil {
			t.Fatal(err)
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, compressed.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	compressed, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = compressed.Close() }() // opened only for reading
	r, err := gzip.NewReader(compressed)
	if err != nil {
		t.Fatal(err)
	}
	contents, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	return contents
}
