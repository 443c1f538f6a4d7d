package main

import (
	"errors"
	"strings"
	"testing"
)

func TestRun(t *testing.T) {
	var out strings.Builder
	batches := "{\"tsS\":1,\"seq\":0,\"inbox\":[]}\n{\"tsS\":2,\"seq\":1,\"inbox\":[]}\n"
	if err := run(strings.NewReader(batches), &out); err != nil {
		t.Fatal(err)
	}
	if want := "{\"seq\":0,\"steps\":[]}\n{\"seq\":1,\"steps\":[]}\n"; out.String() != want {
		t.Fatalf("run wrote %q, want %q", out.String(), want)
	}
	out.Reset()
	err := run(strings.NewReader("{\"tsS\":1,\"seq\":0,\"inbox\":[]"), &out)
	if !errors.Is(err, errTruncated) || !strings.Contains(err.Error(), "cut short") || out.Len() != 0 {
		t.Fatalf("truncated batch: run returned %v and wrote %q", err, out.String())
	}
}
