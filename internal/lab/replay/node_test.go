package replay

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"spurwinch/deploy"
	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

// TestPlayFailsWithoutLogFile checks that a replay fails if it can't create a node's log file. The replay must not wait
// for the end of a node that no goroutine watches.
func TestPlayFailsWithoutLogFile(t *testing.T) {
	description, err := fleet.Parse("f", deploy.ExampleFleet)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "n0.log"), 0o700); err != nil {
		t.Fatal(err)
	}
	result := make(chan error, 1)
	go func() {
		load := &workload.Load{Length: time.Second}
		_, err := Play(context.Background(), description, load, Options{Program: "true", Dir: dir})
		result <- err
	}()
	select {
	case err := <-result:
		if err == nil {
			t.Error("Play without a log file: got no error, want one")
		}
	case <-time.After(10 * time.Second):
		t.Error("Play without a log file: got no result within 10s, want an error")
	}
}
