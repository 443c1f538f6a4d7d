package deploy

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestVerdict holds what .ci/run makes of a run of the tests: failures exactly as listed are passed over, all else fails.
func TestVerdict(t *testing.T) {
	const (
		ok    = "ok  \tspurwinch/a\t0.1s\n"
		red   = "--- FAIL: TestA (0.00s)\n    a_test.go:1: no\nFAIL\nFAIL\tspurwinch/a\t0.1s\nFAIL\n"
		sub   = "--- FAIL: TestA (0.00s)\n    --- FAIL: TestA/one (0.00s)\n        a_test.go:1: no\nFAIL\nFAIL\tspurwinch/a\t0.1s\n"
		known = "spurwinch/a TestA | the host is asked twice | issue 34\n"
	)
	line := func(n int) string { return fmt.Sprintf("spurwinch/a Test%c | cause | issue 1\n", 'A'+n) }
	for name, c := range map[string]struct {
		output string
		status int
		list   string
		passes bool
		says   string
	}{
		"all green":             {ok, 0, "", true, ""},
		"red, none listed":      {red, 1, "", false, "spurwinch/a TestA fails"},
		"red as listed":         {red + ok, 1, known, true, "known red: spurwinch/a TestA | the host is asked twice | issue 34"},
		"red in a part":         {sub, 1, known, true, "known red"},
		"another test":          {strings.Replace(red, "TestA", "TestB", 1), 1, known, false, "spurwinch/a TestB fails"},
		"one more":              {"--- FAIL: TestB (0.00s)\n" + red, 1, known, false, "spurwinch/a TestB fails"},
		"of another package":    {strings.ReplaceAll(red, "spurwinch/a", "spurwinch/b"), 1, known, false, "spurwinch/b TestA fails"},
		"listed and green":      {ok, 0, known, true, "passes and is due for removal"},
		"a build fault":         {red + "FAIL\tspurwinch/b [build failed]\n", 1, known, false, "spurwinch/b [build failed]"},
		"a panic":               {"--- FAIL: TestA (0.00s)\npanic: oh [recovered]\nFAIL\tspurwinch/a\t0.1s\n", 1, known, false, "panic: oh"},
		"out of time":           {"panic: test timed out after 10m0s\nFAIL\tspurwinch/a\t600s\n", 1, known, false, "timed out"},
		"a race":                {"WARNING: DATA RACE\n" + red, 1, known, false, "DATA RACE"},
		"no test fails":         {"FAIL\tspurwinch/a\t0.1s\n", 1, known, false, "fails without a test"},
		"a fault without words": {ok, 1, "", false, "status 1"},
		"a test of no package":  {"--- FAIL: TestA (0.00s)\n", 1, known, false, "in no package"},
		"an unknown test":       {ok, 0, "spurwinch/a TestGone | cause | issue 1\n", false, "no test TestGone"},
		"a line without issue":  {red, 1, "spurwinch/a TestA | cause\n", false, "not 'PACKAGE TEST"},
		"a line without cause":  {red, 1, "spurwinch/a TestA |  | issue 1\n", false, "not 'PACKAGE TEST"},
		"a pattern":             {red, 1, "spurwinch/a Test.* | cause | issue 1\n", false, "not 'PACKAGE TEST"},
		"twice":                 {red, 1, known + known, false, "listed twice"},
		"three lines":           {ok, 0, line(0) + line(1) + line(2), true, "due for removal"},
		"a fourth line":         {ok, 0, line(0) + line(1) + line(2) + line(3), false, "three at most"},
	} {
		dir := t.TempDir()
		write := func(name, text string, mode os.FileMode) string {
			path := filepath.Join(dir, name)
			if err := os.WriteFile(path, []byte(text), mode); err != nil {
				t.Fatal(err)
			}
			return path
		}
		// In place of the tool chain: the package has tests TestA to TestD.
		write("go", "#!/bin/sh\nfor n in TestA TestB TestC TestD; do case \"$3\" in \"^$n$\") echo $n;; esac; done\n", 0o755)
		verdict := exec.Command("bash", "../.ci/verdict", write("output", c.output, 0o600), fmt.Sprint(c.status), write("list", c.list, 0o600))
		verdict.Env = append(os.Environ(), "PATH="+dir+":"+os.Getenv("PATH"))
		said, err := verdict.CombinedOutput()
		if (err == nil) != c.passes || !strings.Contains(string(said), c.says) {
			t.Errorf("%s: %v, said %q; want a pass: %v, %q", name, err, said, c.passes, c.says)
		}
	}
}
