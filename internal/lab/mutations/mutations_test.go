package mutations

import (
	"os"
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
