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

// TestLogFileFails checks that a replay whose log file can't be created ends with that error, and doesn't wait for a
// node whose end nobody watches.
func TestLogFileFails(t *testing.T) {
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
			t.Error("a replay without a log file succeeded")
		}
	case <-time.After(10 * time.Second):
		t.Error("the replay did not end")
	}
}
