package nginx

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"spurwinch/internal/config"
)

// TestImport compares the output and warnings for each testdata/*.conf with the files next to it, and checks that
// config.ReadOperator accepts the output.
func TestImport(t *testing.T) {
	files, err := filepath.Glob("testdata/*.conf")
	if err != nil || len(files) == 0 {
		t.Fatalf("testdata/*.conf: got files %v and error %v, want one file or more", files, err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { checkImport(t, file) })
	}
}

// checkImport imports one file, compares the output and the warnings with the .toml and .notes files next to it, and
// reads the output with config.ReadOperator.
func checkImport(t *testing.T, file string) {
	t.Helper()
	source, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	base := strings.TrimSuffix(file, ".conf")
	out, warnings, err := Import(filepath.Base(file), string(source))
	notes := strings.Join(warnings, "\n") + "\n"
	if err != nil {
		notes += err.Error() + "\n"
	}
	compareWithFile(t, base+".notes", strings.TrimLeft(notes, "\n"))
	if err != nil {
		return
	}
	compareWithFile(t, base+".toml", string(out))
	operator, err := config.ReadOperator(writeTemp(t, out))
	if err != nil {
		t.Fatalf("ReadOperator of the output: got error %v, want none", err)
	}
	if len(operator.Listeners) == 0 || len(operator.Domains) == 0 || len(operator.Clusters) == 0 {
		t.Fatalf("ReadOperator of the output: got %+v, want listeners, domains and clusters", operator)
	}
}

// writeTemp writes a temporary file and returns its path.
func writeTemp(t *testing.T, content []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// compareWithFile compares a text with a file, or writes the file if the environment variable UPDATE is set.
func compareWithFile(t *testing.T, path, got string) {
	t.Helper()
	if os.Getenv("UPDATE") != "" {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil || string(want) != got {
		t.Errorf("%s: read error %v\ngot:\n%s\nwant:\n%s", path, err, got, want)
	}
}

// FuzzImport checks that config.ReadOperator accepts the output of Import, if there is one, for any text.
func FuzzImport(f *testing.F) {
	f.Add("upstream a { server 127.0.0.1; }\nserver { location / { proxy_pass http://a; } }")
	f.Add("server { listen '5222'; server_name \"a b\" ${x}; proxy_pass 127.0.0.1:1 # }")
	f.Fuzz(func(t *testing.T, source string) {
		out, _, err := Import("x", source)
		if err != nil {
			return
		}
		if _, err := config.ReadOperator(writeTemp(t, out)); err != nil {
			t.Fatalf("ReadOperator of the output: got error %v, want none\n%s", err, out)
		}
	})
}
