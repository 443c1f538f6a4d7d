package mutations

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestMutationsFit holds that each listed mutation still finds, once, what it changes: else the command that plays them would show nothing.
func TestMutationsFit(t *testing.T) {
	all, err := All()
	if err != nil {
		t.Fatal(err)
	}
	if len(all) < 8 {
		t.Errorf("%d mutations", len(all))
	}
	for _, m := range all {
		raw, err := os.ReadFile(filepath.Join("..", "..", "..", m.File))
		if err != nil {
			t.Fatal(err)
		}
		for _, old := range []string{m.Old, m.Old2, m.Old3} {
			if n := strings.Count(string(raw), old); old != "" && n != 1 {
				t.Errorf("%s: %q stands %d times in %s", m.What, old, n, m.File)
			}
		}
		root := t.TempDir()
		path := filepath.Join(root, m.File)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := m.Apply(root); err != nil {
			t.Error(err)
		}
		if m.Apply(root) == nil && m.New != "" && !strings.Contains(m.New, m.Old) {
			t.Errorf("%s: made twice", m.What)
		}
	}
}

// TestMutationsBuild holds that the package of each listed mutation builds with it: one that doesn't would break no rule when it is played.
func TestMutationsBuild(t *testing.T) {
	all, err := All()
	if err != nil {
		t.Fatal(err)
	}
	source, err := filepath.Abs(filepath.Join("..", "..", ".."))
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range all {
		t.Run(m.What, func(t *testing.T) { buildMutant(t, source, m) })
	}
}

// buildMutant builds the package of a mutation, with the mutated file laid over the source.
func buildMutant(t *testing.T, source string, m Mutation) {
	original, root := filepath.Join(source, m.File), t.TempDir()
	mutated := filepath.Join(root, m.File)
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
	if err := m.Apply(root); err != nil {
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
	build := exec.Command("go", "build", "-overlay", overlayFile, "./"+filepath.Dir(m.File))
	build.Dir = source
	if out, err := build.CombinedOutput(); err != nil {
		t.Errorf("it doesn't build: %v\n%s", err, out)
	}
}
