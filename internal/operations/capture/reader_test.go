package capture

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestRoundTrip reads back all records of a file that is longer than the reader's buffer.
func TestRoundTrip(t *testing.T) {
	path := writeRequests(t, 70000, nil)
	if size := fileSize(t, path); size < maxCompressedBytes+2*headBytes {
		t.Fatalf("writeRequests: got a file of %d bytes, want one longer than the reader's buffer", size)
	}
	count, faults := readRequests(t, path)
	if count != (counts{70000, 70000, 1}) || len(faults) > 0 {
		t.Errorf("reading the file: got %+v and faults %v, want all records and no fault", count, faults)
	}
}

// TestReadDamagedFile truncates a file within a block, damages a block or appends other bytes. The reader must read all
// other blocks and report the damage.
func TestReadDamagedFile(t *testing.T) {
	path := writeRequests(t, 20000, nil)
	complete, _ := readRequests(t, path)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		damage func([]byte) []byte
		want   string
	}{
		"truncated":   {func(b []byte) []byte { return b[:len(b)-9] }, "truncated"},
		"flipped bit": {func(b []byte) []byte { b[len(b)/2] ^= 4; return b }, "checksum"},
		"bad length": {func(b []byte) []byte {
			i := bytes.Index(b[len(b)/2:], []byte("Sblk")) + len(b)/2
			b[i+5] ^= 0x0f
			return b
		}, "damaged"},
		"trailing bytes": {func(b []byte) []byte { return append(b, strings.Repeat("x", 5000)...) }, "no block begins"},
	} {
		damaged := filepath.Join(t.TempDir(), "damaged.spwcap")
		if err := os.WriteFile(damaged, test.damage(bytes.Clone(raw)), 0o600); err != nil {
			t.Fatal(err)
		}
		count, faults := readRequests(t, damaged)
		if len(faults) == 0 || !strings.Contains(fmt.Sprint(faults), test.want) {
			t.Errorf("reading a file (%s): got faults %v, want one with %q", name, faults, test.want)
		}
		tooMany := count.placed == complete.placed && name != "trailing bytes"
		if count.placed < complete.placed*2/3 || tooMany {
			t.Errorf("reading a file (%s): got %d of %d requests, want those of intact blocks, two thirds or more",
				name, count.placed, complete.placed)
		}
	}
}

// TestReadInvalidFiles checks the errors for files that are not captures, have no header or have a later version.
func TestReadInvalidFiles(t *testing.T) {
	raw, err := os.ReadFile(writeRequests(t, 1, nil))
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		text     string
		want     error
		wantText string
	}{
		"text":            {"[limits]\n", ErrNotCapture, "not a capture"},
		"empty":           {"", ErrNotCapture, "not a capture"},
		"part of a magic": {magic[:5], ErrTruncatedMagic, "truncated"},
		"magic alone":     {magic, ErrNoHeader, "truncated"},
		"part of a block": {string(raw[:len(magic)+30]), ErrNoHeader, "truncated"},
	} {
		_, err := NewReader("f", strings.NewReader(test.text))
		if !errors.Is(err, test.want) || !strings.Contains(err.Error(), test.wantText) {
			t.Errorf("NewReader (%s): got error %v, want %v", name, err, test.want)
		}
	}
	writer := newWriter(options(t))
	writer.header.Version = Version + 1
	if err := writer.openFile(); err != nil {
		t.Fatal(err)
	}
	writer.files.close()
	_, _, err = ReadFile(writer.Files()[0], func(Header, Record) {})
	var version *VersionError
	if !errors.As(err, &version) || version.Version != 2 || !strings.Contains(err.Error(), "version 2") {
		t.Errorf("ReadFile of a later version: got error %v, want a VersionError of version 2", err)
	}
}

// TestRecordsAfterClockStepsBack checks that a record whose time is long before that of earlier records gets the latest
// time before it, and that the reader reports this as a fault.
func TestRecordsAfterClockStepsBack(t *testing.T) {
	writer := startWriter(t, options(t))
	for _, at := range []int64{1e9, 2e9, 1e8, 2e9 + 5} {
		writer.Put(Placed{At: at, Tenant: -1})
	}
	closeWriter(writer)
	var got []int64
	_, faults, err := ReadFile(writer.Files()[0], func(_ Header, record Record) {
		request, ok := record.(Placed)
		if !ok {
			t.Fatalf("ReadFile: got %+v, want a request", record)
		}
		got = append(got, request.At)
	})
	want := []int64{1000000000, 2000000000, 2000000000, 2000000005}
	if err != nil || !slices.Equal(got, want) {
		t.Errorf("ReadFile: got offsets %v and error %v, want %v", got, err, want)
	}
	if !strings.Contains(fmt.Sprint(faults), "steps back 1 times, by 1900.000 s") {
		t.Errorf("ReadFile: got faults %v, want one of a clock that steps back", faults)
	}
}

// FuzzReader checks that reading arbitrary bytes ends with an error and that the number of faults is limited.
func FuzzReader(f *testing.F) {
	raw, err := os.ReadFile(writeRequests(f, 20, nil))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, file []byte) {
		reader, err := NewReader("f", bytes.NewReader(file))
		for err == nil {
			_, err = reader.Next()
		}
		if reader != nil && len(reader.Faults()) > maxFaults {
			t.Errorf("Reader: got %d faults, want %d at most", len(reader.Faults()), maxFaults)
		}
	})
}
