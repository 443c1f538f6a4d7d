// Package mutations is a mutation test of the history checker. It breaks the program in known ways, each of which
// violates one rule, and plays simulated schedules that must make the checker report that rule. A checker that reports
// no violation proves nothing unless it is known to report the violations of a broken program.
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
	"slices"
	"strings"
	"time"

	"spurwinch/internal/config/tomlfile"
)

//go:embed mutations.toml
var mutationsFile []byte

// scheduleTimeout limits the run time of all schedules of one mutation.
const scheduleTimeout = 5 * time.Minute

// statusViolation is the exit status of "lab explore" if a schedule broke a rule.
const statusViolation = 1

// Mutation is one way to break the program. It consists of up to three text replacements in one file, the rule that
// they break, and the fault scenario and the length of the schedules that show the violation.
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

// Result is the outcome of one mutation.
type Result struct {
	Mutation
	Caught bool     `json:"caught"` // the schedules broke the rule of the mutation
	Rules  []string `json:"rules"`  // all rules that the schedules broke
	Err    error    `json:"-"`      // reason why the mutation could not be applied, built or run
}

// MatchError reports that a text that a mutation replaces doesn't occur exactly once in its file.
type MatchError struct {
	File     string
	Mutation string // description of the mutation
	Text     string
	Count    int // occurrences of Text
}

func (e *MatchError) Error() string {
	firstLine, _, _ := strings.Cut(e.Text, "\n")
	return fmt.Sprintf("%s: the text that mutation %q replaces must occur exactly once, but occurs %d times: %s",
		e.File, e.Mutation, e.Count, firstLine)
}

// BuildError reports a mutation that doesn't compile.
type BuildError struct {
	Err    error
	Output []byte // output of the build command
}

func (e *BuildError) Error() string {
	return fmt.Sprintf("build the mutated program: %v: %s", e.Err, e.Output)
}

// Unwrap returns the error of the build command.
func (e *BuildError) Unwrap() error { return e.Err }

// All returns the mutations listed in mutations.toml.
func All() ([]Mutation, error) {
	var file struct {
		Mutations []Mutation `toml:"mutation"`
	}
	decoded := tomlfile.Decode("mutations.toml", mutationsFile, &file)
	return file.Mutations, decoded.Err()
}

// replacement is one text replacement.
type replacement struct{ before, after string }

// replacements returns the text replacements of the mutation.
func (m Mutation) replacements() []replacement {
	var pairs []replacement
	for _, pair := range []replacement{{m.Old, m.New}, {m.Old2, m.New2}, {m.Old3, m.New3}} {
		if pair.before != "" {
			pairs = append(pairs, pair)
		}
	}
	return pairs
}

// Apply applies the mutation to the copy of the source in root. If a text that the mutation
// replaces doesn't occur exactly once, Apply returns a *MatchError.
func (m Mutation) Apply(root string) error {
	path := filepath.Join(root, m.File)
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	text := string(raw)
	for _, pair := range m.replacements() {
		if count := strings.Count(text, pair.before); count != 1 {
			return &MatchError{File: m.File, Mutation: m.What, Text: pair.before, Count: count}
		}
		text = strings.Replace(text, pair.before, pair.after, 1)
	}
	return os.WriteFile(path, []byte(text), 0o600)
}

// Play applies each mutation to a copy of the source, builds the program there and plays schedules with the seeds 1 to
// seeds. It calls report after each mutation. The Result of a mutation holds the error of applying, building or running
// it.
func Play(ctx context.Context, source string, seeds int, report func(Result)) error {
	all, err := All()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "spurwinch-mutations-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }() // temporary directory; the system removes leftover files
	root := filepath.Join(dir, "source")
	if err := copyTree(source, root); err != nil {
		return fmt.Errorf("copy the source: %w", err)
	}
	for _, mutation := range all {
		if err := ctx.Err(); err != nil {
			return err
		}
		result, err := mutation.try(ctx, root, filepath.Join(dir, "mutant"), seeds)
		if err != nil {
			return err
		}
		report(result)
	}
	return nil
}

// try applies the mutation to the source in root, plays it and restores the file. It returns an error only if reading
// or restoring the file fails.
func (m Mutation) try(ctx context.Context, root, program string, seeds int) (Result, error) {
	result := Result{Mutation: m}
	path := filepath.Join(root, m.File)
	original, err := os.ReadFile(path)
	if err != nil {
		return result, err
	}
	result.Err = m.Apply(root)
	if result.Err == nil {
		result.Rules, result.Err = m.play(ctx, root, program, seeds)
		result.Caught = slices.Contains(result.Rules, m.Rule)
	}
	return result, os.WriteFile(path, original, 0o600)
}

// play builds the mutated source in root as program, plays the schedules and returns the rules that they broke.
func (m Mutation) play(ctx context.Context, root, program string, seeds int) ([]string, error) {
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/spurwinchctl")
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		return nil, &BuildError{Err: err, Output: output}
	}
	ctx, cancel := context.WithTimeout(ctx, scheduleTimeout)
	defer cancel()
	run := exec.CommandContext(ctx, program, "lab", "explore", "failover",
		"--seeds", fmt.Sprintf("1..%d", seeds), "--nodes", "24", "--zones", "4", "--regions", "2",
		"--faults", m.Faults, "--length", time.Duration(m.Length).String(), "--json")
	output, err := run.Output()
	var exit *exec.ExitError
	foundViolation := errors.As(err, &exit) && exit.ExitCode() == statusViolation
	if err != nil && !foundViolation {
		return nil, fmt.Errorf("play the schedules: %w", err)
	}
	return brokenRules(output)
}

// brokenRules returns the rules that the JSON summary of "lab explore" reports as broken, each once, in the order of
// their first violation. The format of the summary is defined by exploreSummary in cmd/spurwinchctl.
func brokenRules(output []byte) ([]string, error) {
	var summary struct {
		Broken []struct {
			Violations []struct {
				Rule string `json:"rule"`
			} `json:"violations"`
		} `json:"broken"`
	}
	if err := json.Unmarshal(output, &summary); err != nil {
		return nil, fmt.Errorf("read the summary: %w", err)
	}
	var rules []string
	for _, schedule := range summary.Broken {
		for _, violation := range schedule.Violations {
			if !slices.Contains(rules, violation.Rule) {
				rules = append(rules, violation.Rule)
			}
		}
	}
	return rules, nil
}

// copyTree copies the files that a build needs from source to target.
func copyTree(source, target string) error {
	return filepath.WalkDir(source, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(source, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if relative != "." && notBuilt(entry.Name()) {
				return filepath.SkipDir
			}
			return os.MkdirAll(filepath.Join(target, relative), 0o700)
		}
		if !entry.Type().IsRegular() {
			return nil
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(target, relative), raw, 0o600)
	})
}

// notBuilt reports whether a build needs no files from directories with the given name.
func notBuilt(name string) bool {
	return name == "journal" || name == "bin" || strings.HasPrefix(name, ".")
}
