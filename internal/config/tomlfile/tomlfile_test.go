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

// TestFaults holds how each kind of fault is told: with the file, the line, the key and the text that operators read.
func TestFaults(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       Faults
	}{
		{"none", "size = 1\n", nil},
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
			"no time", "wait = \"soon\"\n",
			Faults{{File: "f", Line: 1, Problem: `toml: "soon" is no time such as "1.5s" or "250ms"`}},
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
			t.Errorf("%s: the faults are %+v, wanted %+v", test.name, got, test.want)
		}
	}
}

// TestLines holds on which line a key is found: in tables, in entries of array tables, and where only a table around it
// stands in the file. The faults of a file come in the order of their lines.
func TestLines(t *testing.T) {
	const text = "size = 1\n[[host]]\nname = \"a\"\n\n[[host]]\n# none\nname = \"b\"\n"
	file := Decode("f", []byte(text), &settings{})
	for path, want := range map[string]int{
		"size": 1, "host.0": 2, "host.0.name": 3, "host.1": 5, "host.1.name": 7, "host.1.zone": 5, "wait": 0, "": 0,
	} {
		if got := file.Line(path); got != want {
			t.Errorf("the line of %q is %d, wanted %d", path, got, want)
		}
	}
	if !file.Has("host.1.name") || file.Has("host.1.zone") || file.Broken() {
		t.Error("the file has other keys than it should")
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
		t.Errorf("the faults are %+v, wanted %+v", err, want)
	}
	const summary = "f: of the whole file (and 2 more faults: see spurwinchctl check)"
	if err.Error() != summary || want[1].String() != "f:1: first" {
		t.Errorf("the texts are %q and %q, wanted %q and %q", err, want[1], summary, "f:1: first")
	}
}

// TestLoad holds that a file that is too long is not read as settings.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(path, make([]byte, MaxBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(path)
	var tooLong *SizeError
	if !errors.As(err, &tooLong) || tooLong.File != path || tooLong.Bytes != MaxBytes+1 {
		t.Errorf("the error is %v, wanted a SizeError of %s with %d bytes", err, path, MaxBytes+1)
	}
	if _, err := Load(path + "x"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the error is %v, wanted %v", err, os.ErrNotExist)
	}
}

// TestDuration holds how times are read and written, and that 0 takes the default value.
func TestDuration(t *testing.T) {
	var got Duration
	if err := got.UnmarshalText([]byte("1.5s")); err != nil || got.Seconds() != 1.5 {
		t.Errorf("1.5s is read as %v, %v", time.Duration(got), err)
	}
	if err := got.UnmarshalText([]byte("-1s")); err == nil {
		t.Error("a time under 0 is accepted")
	}
	if text, err := Duration(90 * time.Second).MarshalText(); err != nil || string(text) != "1m30s" {
		t.Errorf("90 s are written as %q, %v, wanted 1m30s", text, err)
	}
	var unset Duration
	Fill(&unset, Duration(time.Second))
	Fill(&unset, Duration(time.Minute))
	if unset != Duration(time.Second) {
		t.Errorf("a value that was left out is %v, wanted 1s", time.Duration(unset))
	}
}
