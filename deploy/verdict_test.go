package deploy

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// TestVerdict checks what .ci/run makes of a run of the tests: failures exactly as listed are passed over, all others
// fail it.
func TestVerdict(t *testing.T) {
	for name, test := range verdictTests() {
		t.Run(name, func(t *testing.T) { test.check(t) })
	}
}

// verdictTest is a run of the tests with a list of known failures.
type verdictTest struct {
	output string // of the test run
	status int    // of the test run
	list   string // known failures
	passes bool
	says   string
}

func verdictTests() map[string]verdictTest {
	const (
		ok    = "ok  \tspurwinch/a\t0.1s\n"
		red   = "--- FAIL: TestA (0.00s)\n    a_test.go:1: no\nFAIL\nFAIL\tspurwinch/a\t0.1s\nFAIL\n"
		known = "spurwinch/a TestA | the host is asked twice | issue 34\n"
		sub   = "--- FAIL: TestA (0.00s)\n    --- FAIL: TestA/one (0.00s)\n        a_test.go:1: no\n" +
			"FAIL\nFAIL\tspurwinch/a\t0.1s\n"
		panicked = "--- FAIL: TestA (0.00s)\npanic: oh [recovered]\nFAIL\tspurwinch/a\t0.1s\n"
		timedOut = "panic: test timed out after 10m0s\nFAIL\tspurwinch/a\t600s\n"
		another  = "--- FAIL: TestB (0.00s)\n"
		notBuilt = "FAIL\tspurwinch/b [build failed]\n"
		gone     = "spurwinch/a TestGone | cause | issue 1\n"
		pattern  = "spurwinch/a Test.* | cause | issue 1\n"
	)
	inOtherPackage := strings.ReplaceAll(red, "spurwinch/a", "spurwinch/b")
	renamed := strings.Replace(red, "TestA", "TestB", 1)
	threeLines := knownLine(0) + knownLine(1) + knownLine(2)
	return map[string]verdictTest{
		"all green":             {ok, 0, "", true, ""},
		"red, none listed":      {red, 1, "", false, "spurwinch/a TestA fails"},
		"red as listed":         {red + ok, 1, known, true, "known red: " + strings.TrimSpace(known)},
		"red in a part":         {sub, 1, known, true, "known red"},
		"another test":          {renamed, 1, known, false, "spurwinch/a TestB fails"},
		"one more":              {another + red, 1, known, false, "spurwinch/a TestB fails"},
		"of another package":    {inOtherPackage, 1, known, false, "spurwinch/b TestA fails"},
		"listed and green":      {ok, 0, known, true, "passes and is due for removal"},
		"a build fault":         {red + notBuilt, 1, known, false, "spurwinch/b [build failed]"},
		"a panic":               {panicked, 1, known, false, "panic: oh"},
		"out of time":           {timedOut, 1, known, false, "timed out"},
		"a race":                {"WARNING: DATA RACE\n" + red, 1, known, false, "DATA RACE"},
		"no test fails":         {"FAIL\tspurwinch/a\t0.1s\n", 1, known, false, "fails without a test"},
		"a fault without words": {ok, 1, "", false, "status 1"},
		"a test of no package":  {"--- FAIL: TestA (0.00s)\n", 1, known, false, "in no package"},
		"an unknown test":       {ok, 0, gone, false, "no test TestGone"},
		"a line without issue":  {red, 1, "spurwinch/a TestA | cause\n", false, "not 'PACKAGE TEST"},
		"a line without cause":  {red, 1, "spurwinch/a TestA |  | issue 1\n", false, "not 'PACKAGE TEST"},
		"a pattern":             {red, 1, pattern, false, "not 'PACKAGE TEST"},
		"twice":                 {red, 1, known + known, false, "listed twice"},
		"three lines":           {ok, 0, threeLines, true, "due for removal"},
		"a fourth line":         {ok, 0, threeLines + knownLine(3), false, "three at most"},
	}
}

// knownLine is a line of the list for TestA, TestB and so on.
func knownLine(index int) string {
	return fmt.Sprintf("spurwinch/a Test%c | cause | issue 1\n", 'A'+index)
}

// check runs the verdict. A script in place of the tool chain has the package contain the tests TestA to TestD.
func (v verdictTest) check(t *testing.T) {
	t.Helper()
	dir := t.TempDir()
	write := func(name, text string, mode os.FileMode) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), mode); err != nil {
			t.Fatal(err)
		}
		return path
	}
	write("go", "#!/bin/sh\n"+
		"for n in TestA TestB TestC TestD; do case \"$3\" in \"^$n$\") echo $n;; esac; done\n", 0o755)
	output := write("output", v.output, 0o600)
	list := write("list", v.list, 0o600)
	verdict := exec.Command("bash", "../.ci/verdict", output, strconv.Itoa(v.status), list)
	verdict.Env = append(os.Environ(), "PATH="+dir+":"+os.Getenv("PATH"))
	said, err := verdict.CombinedOutput()
	if (err == nil) != v.passes || !strings.Contains(string(said), v.says) {
		t.Errorf("verdict returned %v and said %q; want a pass: %v, %q", err, said, v.passes, v.says)
	}
}
