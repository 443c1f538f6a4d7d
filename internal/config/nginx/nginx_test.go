package nginx

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"spurwinch/internal/config"
)

// TestImport compares what the importer makes of testdata/*.conf with the files beside them, and has the program's
// own reader load the output: the round trip.
func TestImport(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.conf")
	if len(files) == 0 {
		t.Fatal("no files")
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			src, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			out, warnings, err := Import(filepath.Base(f), string(src))
			got := strings.Join(warnings, "\n") + "\n"
			if err != nil {
				got += err.Error() + "\n"
			}
			compare(t, strings.TrimSuffix(f, ".conf")+".notes", strings.TrimLeft(got, "\n"))
			if err != nil {
				return
			}
			compare(t, strings.TrimSuffix(f, ".conf")+".toml", string(out))
			path := filepath.Join(t.TempDir(), "operator.toml")
			if err := os.WriteFile(path, out, 0o600); err != nil {
				t.Fatal(err)
			}
			o, err := config.ReadOperator(path)
			if err != nil {
				t.Fatal("the program does not load it:", err)
			}
			if len(o.Listeners) == 0 || len(o.Domains) == 0 || len(o.Clusters) == 0 {
				t.Fatalf("nothing left of it: %+v", o)
			}
		})
	}
}

func compare(t *testing.T, path, got string) {
	want, err := os.ReadFile(path)
	if os.Getenv("UPDATE") != "" {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if err != nil || string(want) != got {
		t.Errorf("%s: %v\ngot:\n%s\nwant:\n%s", path, err, got, want)
	}
}

func FuzzImport(f *testing.F) {
	f.Add("upstream a { server 127.0.0.1; }\nserver { location / { proxy_pass http://a; } }")
	f.Add("server { listen '5222'; server_name \"a b\" ${x}; proxy_pass 127.0.0.1:1 # }")
	f.Fuzz(func(t *testing.T, src string) {
		out, _, err := Import("x", src)
		if err != nil {
			return
		}
		path := filepath.Join(t.TempDir(), "operator.toml")
		if err := os.WriteFile(path, out, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := config.ReadOperator(path); err != nil {
			t.Fatalf("not loaded: %v\n%s", err, out)
		}
	})
}
