package mutations

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestMutationsApply checks that each text that a mutation replaces still occurs exactly once in its file. Otherwise
// the command that plays the mutations would test nothing.
func TestMutationsApply(t *testing.T) {
	all, err := All()
	if err != nil {
		t.Fatal(err)
	}
	if len(all) < 8 {
		t.Errorf("All: got %d mutations, want at least 8", len(all))
	}
	for _, mutation := range all {
		raw, err := os.ReadFile(filepath.Join("..", "..", "..", mutation.File))
		if err != nil {
			t.Fatal(err)
		}
		for _, old := range []string{mutation.Old, mutation.Old2, mutation.Old3} {
			if count := strings.Count(string(raw), old); old != "" && count != 1 {
				t.Errorf("%s: text %q: got %d occurrences in %s, want 1", mutation.What, old, count, mutation.File)
			}
		}
		root := t.TempDir()
		path := filepath.Join(root, mutation.File)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := mutation.Apply(root); err != nil {
			t.Error(err)
		}
		if mutation.Apply(root) == nil && mutation.New != "" && !strings.Contains(mutation.New, mutation.Old) {
			t.Errorf("%s: Apply a second time: got no error, want one", mutation.What)
		}
	}
}

// TestMutationsBuild checks that each listed mutation leaves its package in a state that compiles. A mutation that
// doesn't compile can't break a rule when it is played.
func TestMutationsBuild(t *testing.T) {
	all, err := All()
	if err != nil {
		t.Fatal(err)
	}
	source, err := filepath.Abs(filepath.Join("..", "..", ".."))
	if err != nil {
		t.Fatal(err)
	}
	for _, mutation := range all {
		t.Run(mutation.What, func(t *testing.T) { buildMutant(t, source, mutation) })
	}
}

// buildMutant builds the package that a mutation changes, with the mutated file as an overlay of the source.
func buildMutant(t *testing.T, source string, mutation Mutation) {
	t.Helper()
	original := filepath.Join(source, mutation.File)
	root := t.TempDir()
	mutated := filepath.Join(root, mutation.File)
	text, err := os.ReadFile(original)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Dir(mutated), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(mutated, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := mutation.Apply(root); err != nil {
		t.Fatal(err)
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {original: mutated}})
	if err != nil {
		t.Fatal(err)
	}
	overlayFile := filepath.Join(root, "overlay.json")
	if err := os.WriteFile(overlayFile, overlay, 0o600); err != nil {
		t.Fatal(err)
	}
	build := exec.Command("go", "build", "-overlay", overlayFile, "./"+filepath.Dir(mutation.File))
	build.Dir = source
	if output, err := build.CombinedOutput(); err != nil {
		t.Errorf("build the mutated package: %v\n%s", err, output)
	}
}
