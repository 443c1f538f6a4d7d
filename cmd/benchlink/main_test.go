package main

import (
	"errors"
	"strings"
	"testing"
)

// TestRun checks that run replies to each batch, and that it rejects a last batch without a line break.
func TestRun(t *testing.T) {
	var out strings.Builder
	batches := "{\"tsS\":1,\"seq\":0,\"inbox\":[]}\n{\"tsS\":2,\"seq\":1,\"inbox\":[]}\n"
	if err := run(strings.NewReader(batches), &out); err != nil {
		t.Fatal(err)
	}
	if want := "{\"seq\":0,\"steps\":[]}\n{\"seq\":1,\"steps\":[]}\n"; out.String() != want {
		t.Fatalf("run: got output %q, want %q", out.String(), want)
	}
	out.Reset()
	err := run(strings.NewReader("{\"tsS\":1,\"seq\":0,\"inbox\":[]"), &out)
	if !errors.Is(err, errTruncated) || !strings.Contains(err.Error(), "cut short") || out.Len() != 0 {
		t.Fatalf("run of a truncated batch: got error %v and output %q, want errTruncated and no output",
			err, out.String())
	}
}
