package tomlfile

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

type settings struct {
	Size  int      `toml:"size"`
	Wait  Duration `toml:"wait"`
	Hosts []struct {
		Name string `toml:"name"`
	} `toml:"host"`
}

// TestDecodeFaults checks the file, line, key and text of each kind of fault.
func TestDecodeFaults(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       Faults
	}{
		{"no fault", "size = 1\n", nil},
		{
			"a syntax error", "size = 1\nwait = \n",
			Faults{{File: "f", Line: 2, Problem: "toml: expected value but found '\\n' instead"}},
		},
		{
			"a value of a wrong type", "\nsize = \"large\"\n",
			Faults{{
				File: "f", Line: 2, Key: "size",
				Problem: `toml: key "size": ` +
					"incompatible types: TOML value has type string; destination has type integer",
			}},
		},
		{
			"an invalid duration", "wait = \"soon\"\n",
			Faults{{
				File: "f", Line: 1,
				Problem: `toml: "soon" is not a duration of 0 or more, for example "1.5s" or "250ms"`,
			}},
		},
		{
			"an unknown key in two tables",
			"[[host]]\nname = \"a\"\n[[host]]\nnames = \"b\"\n[[host]]\nnames = \"c\"\n",
			Faults{{File: "f", Line: 4, Key: "host.names", Problem: `unknown key "host.names"`}},
		},
	} {
		err := Decode("f", []byte(test.text), &settings{}).Err()
		var got Faults
		if errors.As(err, &got); !reflect.DeepEqual(got, test.want) {
			t.Errorf("Decode with %s: got faults %+v, want %+v", test.name, got, test.want)
		}
	}
}

// TestLineOfKeyAndOrderOfFaults checks the line of keys in tables and in entries of array tables, and of keys for which
// only an enclosing table is in the file. It also checks that the faults of a file are sorted by line.
func TestLineOfKeyAndOrderOfFaults(t *testing.T) {
	const text = "size = 1\n[[host]]\nname = \"a\"\n\n[[host]]\n# none\nname = \"b\"\n"
	file := Decode("f", []byte(text), &settings{})
	for path, want := range map[string]int{
		"size": 1, "host.0": 2, "host.0.name": 3, "host.1": 5, "host.1.name": 7, "host.1.zone": 5, "wait": 0, "": 0,
	} {
		if got := file.Line(path); got != want {
			t.Errorf("Line(%q): got %d, want %d", path, got, want)
		}
	}
	if !file.Has("host.1.name") || file.Has("host.1.zone") || file.HasFaults() {
		t.Error("Has and HasFaults: got another result, want host.1.name set, host.1.zone not set, and no fault")
	}
	file.Fault("host.1.name", "second")
	file.Fault("size", "first")
	file.Fault("", "of the whole file")
	want := Faults{
		{File: "f", Problem: "of the whole file"},
		{File: "f", Line: 1, Key: "size", Problem: "first"},
		{File: "f", Line: 7, Key: "host.1.name", Problem: "second"},
	}
	err := file.Err()
	if !reflect.DeepEqual(err, want) {
		t.Errorf("Err: got %+v, want %+v", err, want)
	}
	const summary = "f: of the whole file (and 2 more faults: see spurwinchctl check)"
	if err.Error() != summary || want[1].String() != "f:1: first" {
		t.Errorf("texts of the faults: got %q and %q, want %q and %q", err, want[1], summary, "f:1: first")
	}
}

// TestLoadRejectsTooLargeAndMissingFile checks the errors for a file larger than MaxBytes and for a missing file.
func TestLoadRejectsTooLargeAndMissingFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(path, make([]byte, MaxBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(path)
	var tooLarge *SizeError
	if !errors.As(err, &tooLarge) || tooLarge.File != path || tooLarge.Bytes != MaxBytes+1 {
		t.Errorf("Load of a large file: got error %v, want a SizeError of %s with %d bytes", err, path, MaxBytes+1)
	}
	if _, err := Load(path + "x"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("Load of a missing file: got error %v, want %v", err, os.ErrNotExist)
	}
}

// TestDurationAndFill checks how durations are parsed and formatted, and that Fill replaces only a zero value.
func TestDurationAndFill(t *testing.T) {
	var got Duration
	if err := got.UnmarshalText([]byte("1.5s")); err != nil || got.Seconds() != 1.5 {
		t.Errorf("UnmarshalText(1.5s): got %v and error %v, want 1.5s", time.Duration(got), err)
	}
	if err := got.UnmarshalText([]byte("-1s")); err == nil {
		t.Error("UnmarshalText(-1s): got no error, want an error")
	}
	if text, err := Duration(90 * time.Second).MarshalText(); err != nil || string(text) != "1m30s" {
		t.Errorf("MarshalText of 90 s: got %q and error %v, want 1m30s", text, err)
	}
	var unset Duration
	Fill(&unset, Duration(time.Second))
	Fill(&unset, Duration(time.Minute))
	if unset != Duration(time.Second) {
		t.Errorf("Fill of a zero value: got %v, want 1s", time.Duration(unset))
	}
}
