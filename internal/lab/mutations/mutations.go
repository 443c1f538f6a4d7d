// Package mutations breaks the program in known ways, one for each rule, and holds that the laboratory sees it: a checker that finds nothing
// proves nothing until it has been seen to find something.
package mutations

import (
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"spurwinch/internal/config/tomlfile"
)

//go:embed mutations.toml
var listed []byte

// Mutation is one way to break the program.
type Mutation struct {
	Rule   string            `toml:"rule"`
	What   string            `toml:"what"`
	File   string            `toml:"file"`
	Old    string            `toml:"old"`
	New    string            `toml:"new"`
	Old2   string            `toml:"old2,omitempty"`
	New2   string            `toml:"new2,omitempty"`
	Old3   string            `toml:"old3,omitempty"`
	New3   string            `toml:"new3,omitempty"`
	Faults string            `toml:"faults"`
	Length tomlfile.Duration `toml:"length,omitzero"`
}

// Result is what came of one.
type Result struct {
	Mutation
	Caught bool     `json:"caught"`
	Rules  []string `json:"rules"` // that were broken
	Err    error    `json:"-"`
}

// All are the mutations, as they are listed.
func All() ([]Mutation, error) {
	var file struct {
		Mutations []Mutation `toml:"mutation"`
	}
	f := tomlfile.Decode("mutations.toml", listed, &file)
	return file.Mutations, f.Err()
}

// Apply makes the mutation in a copy of the source. What it looks for must stand there once.
func (m Mutation) Apply(root string) error {
	path := filepath.Join(root, m.File)
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	text := string(raw)
	for _, x := range [][2]string{{m.Old, m.New}, {m.Old2, m.New2}, {m.Old3, m.New3}} {
		if x[0] == "" {
			continue
		}
		if n := strings.Count(text, x[0]); n != 1 {
			return fmt.Errorf("%s: what mutation %q looks for stands there %d times, not once: %s", m.File, m.What, n, strings.SplitN(x[0], "\n", 2)[0])
		}
		text = strings.Replace(text, x[0], x[1], 1)
	}
	return os.WriteFile(path, []byte(text), 0o600)
}

// Play makes each mutation in a copy of the source, builds it there and plays schedules by seed until a rule is broken. told hears of each.
func Play(ctx context.Context, source string, seeds int, told func(Result)) error {
	all, err := All()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "spurwinch-mutations-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	root := filepath.Join(dir, "source")
	if err := copyTree(source, root); err != nil {
		return err
	}
	for _, m := range all {
		if err := ctx.Err(); err != nil {
			return err
		}
		path := filepath.Join(root, m.File)
		before, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		r := Result{Mutation: m}
		if r.Err = m.Apply(root); r.Err == nil {
			r.Caught, r.Rules, r.Err = m.play(ctx, root, filepath.Join(dir, "mutant"), seeds)
		}
		if err := os.WriteFile(path, before, 0o600); err != nil {
			return err
		}
		told(r)
	}
	return nil
}

func (m Mutation) play(ctx context.Context, root, program string, seeds int) (caught bool, rules []string, err error) {
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/spurwinchctl")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return false, nil, fmt.Errorf("it doesn't build: %w: %s", err, out)
	}
	ctx, stop := context.WithTimeout(ctx, 5*time.Minute)
	defer stop()
	run := exec.CommandContext(ctx, program, "lab", "explore", "failover", "--seeds", fmt.Sprintf("1..%d", seeds), "--nodes", "24", "--zones", "4",
		"--regions", "2", "--faults", m.Faults, "--length", time.Duration(m.Length).String(), "--json")
	out, err := run.Output()
	var ended *exec.ExitError
	if err != nil && !(errors.As(err, &ended) && ended.ExitCode() == 1) {
		return false, nil, err
	}
	var sum struct {
		Broken []struct {
			Violations []struct{ Rule string }
		}
	}
	if err := json.Unmarshal(out, &sum); err != nil {
		return false, nil, err
	}
	seen := map[string]bool{}
	for _, b := range sum.Broken {
		for _, v := range b.Violations {
			if !seen[v.Rule] {
				seen[v.Rule] = true
				rules = append(rules, v.Rule)
			}
		}
	}
	return seen[m.Rule], rules, nil
}

// copyTree copies what a build needs.
func copyTree(from, to string) error {
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			if name := d.Name(); rel != "." && (name == "journal" || name == "bin" || strings.HasPrefix(name, ".")) {
				return filepath.SkipDir
			}
			return os.MkdirAll(filepath.Join(to, rel), 0o700)
		}
		if !d.Type().IsRegular() {
			return nil
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, rel), raw, 0o600)
	})
}
