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

// TestVerdict checks the result that .ci/verdict gives a run of the tests. It accepts exactly the failures in the list
// of known failures. Any other failure makes the run fail.
func TestVerdict(t *testing.T) {
	for _, tests := range []map[string]verdictTest{verdictTests(), listTests()} {
		for name, test := range tests {
			t.Run(name, func(t *testing.T) { test.check(t) })
		}
	}
}

// verdictTest is the output of a test run, the list of known failures and the expected verdict.
type verdictTest struct {
	output   string // of the test run
	status   int    // of the test run
	list     string // list of known failures
	goScript string // added to the script that replaces the go command
	passes   bool   // whether the verdict accepts the run
	message  string // must be in the output of the verdict
}

// Outputs of test runs, and lists of known failures.
const (
	ok           = "--- PASS: TestA (0.00s)\nPASS\nok  \tspurwinch/a\t0.1s\n"
	skipping     = "--- SKIP: TestA (0.00s)\n    a_test.go:1: not now\nPASS\nok  \tspurwinch/a\t0.1s\n"
	withoutTests = "ok  \tspurwinch/a\t0.1s\n"
	// The tests of a package that passes may print what another test run has printed.
	quoting        = "--- FAIL: TestX (0.00s)\npanic: oh\nFAIL\n" + ok
	failing        = "--- FAIL: TestA (0.00s)\n    a_test.go:1: no\nFAIL\nFAIL\tspurwinch/a\t0.1s\nFAIL\n"
	known          = "spurwinch/a TestA | go test -run TestA ./a, seed 3 | the server is asked twice | issue 34\n"
	alwaysRed      = "spurwinch/a TestA | go test ./a, no seed | in 5 of 5 runs the server is asked twice | issue 34\n"
	redInEachRun   = "spurwinch/a TestA | go test ./a, no seed | it hangs in each run | issue 34\n"
	sometimesRed   = "spurwinch/a TestA | go test ./a, no seed | it hangs, 1 of 8 runs | issue 34\n"
	subtestFailing = "--- FAIL: TestA (0.00s)\n    --- FAIL: TestA/one (0.00s)\n        a_test.go:1: no\n" +
		"FAIL\nFAIL\tspurwinch/a\t0.1s\n"
	panicked    = "--- FAIL: TestA (0.00s)\npanic: oh [recovered]\nFAIL\tspurwinch/a\t0.1s\n"
	timedOut    = "panic: test timed out after 10m0s\nFAIL\tspurwinch/a\t600s\n"
	another     = "--- FAIL: TestB (0.00s)\n"
	notBuilt    = "FAIL\tspurwinch/b [build failed]\n"
	unknownTest = "spurwinch/a TestGone | go test ./a, no seed | it hangs | issue 1\n"
	pattern     = "spurwinch/a Test.* | go test ./a, no seed | it hangs | issue 1\n"
	packages    = "spurwinch/... TestA | go test ./..., no seed | it hangs | issue 1\n"
	earlierForm = "spurwinch/a TestA | the server is asked twice | issue 34\n"
	noSeed      = "spurwinch/a TestA | go test ./a | it hangs | issue 1\n"
	noCommand   = "spurwinch/a TestA |  | it hangs | issue 1\n"
	nothingSeen = "spurwinch/a TestA | go test ./a, no seed |  | issue 1\n"
	noIssue     = "spurwinch/a TestA | go test ./a, no seed | it hangs\n"
	// The go command prints a line after the names of the tests, and fails if nobody reads it any more.
	lateLine   = "sleep 0.2\nprintf 'ok\\tspurwinch/a\\t0.1s\\n' || exit 1\n"
	cannotList = "exit 1\n"
)

// verdictTests are test runs with and without a list of known failures.
func verdictTests() map[string]verdictTest {
	inOtherPackage := strings.ReplaceAll(failing, "spurwinch/a", "spurwinch/b")
	renamed := strings.Replace(failing, "TestA", "TestB", 1)
	return map[string]verdictTest{
		"all tests pass":               {ok, 0, "", "", true, ""},
		"failure with an empty list":   {failing, 1, "", "", false, "spurwinch/a TestA fails"},
		"listed failure":               {failing + ok, 1, known, "", true, "known red: " + strings.TrimSpace(known)},
		"subtest of listed test fails": {subtestFailing, 1, known, "", true, "known red"},
		"unlisted failure":             {renamed, 1, known, "", false, "spurwinch/a TestB fails"},
		"listed and unlisted failure":  {another + failing, 1, known, "", false, "spurwinch/a TestB fails"},
		"same test in another package": {inOtherPackage, 1, known, "", false, "spurwinch/b TestA fails"},
		"always red test passes":       {ok, 0, alwaysRed, "", true, "passes and is due for removal"},
		"test red in each run passes":  {ok, 0, redInEachRun, "", true, "passes and is due for removal"},
		"flaky test passes":            {ok, 0, known, "", true, "passes in this run, which doesn't show"},
		"test red in 1 of 8 passes":    {ok, 0, sometimesRed, "", true, "passes in this run, which doesn't show"},
		"listed test is skipped":       {skipping, 0, alwaysRed, "", true, "not run, since the test was skipped"},
		"listed test isn't run":        {withoutTests, 0, alwaysRed, "", true, "not run: spurwinch/a TestA"},
		"quoted failures":              {quoting, 0, "", "", true, ""},
		"panic without its package":    {"panic: oh\n", 2, known, "", false, "panic: oh"},
		"build failure":                {failing + notBuilt, 1, known, "", false, "spurwinch/b [build failed]"},
		"panic":                        {panicked, 1, known, "", false, "panic: oh"},
		"timeout":                      {timedOut, 1, known, "", false, "timed out"},
		"data race":                    {"WARNING: DATA RACE\n" + failing, 1, known, "", false, "DATA RACE"},
		"package fails without a test": {"FAIL\tspurwinch/a\t0.1s\n", 1, known, "", false, "fails without a test"},
		"nonzero status, no failure":   {ok, 1, "", "", false, "status 1"},
		"failure without its package":  {"--- FAIL: TestA (0.00s)\n", 1, known, "", false, "in no package"},
	}
}

// listTests are lists of known failures that are valid and invalid.
func listTests() map[string]verdictTest {
	threeLines := knownLine(0) + knownLine(1) + knownLine(2)
	return map[string]verdictTest{
		"listed test doesn't exist":    {ok, 0, unknownTest, "", false, "no test TestGone"},
		"listed without an issue":      {failing, 1, noIssue, "", false, "not 'PACKAGE TEST"},
		"listed without what was seen": {failing, 1, nothingSeen, "", false, "not 'PACKAGE TEST"},
		"listed without a command":     {failing, 1, noCommand, "", false, "not 'PACKAGE TEST"},
		"listed without a seed":        {failing, 1, noSeed, "", false, "not 'PACKAGE TEST"},
		"listed in the earlier form":   {failing, 1, earlierForm, "", false, "not 'PACKAGE TEST"},
		"line after the tests' names":  {failing, 1, known, lateLine, true, "known red"},
		"tests can't be listed":        {failing, 1, known, cannotList, false, "can't be listed"},
		"listed by a pattern":          {failing, 1, pattern, "", false, "not 'PACKAGE TEST"},
		"listed for many packages":     {failing, 1, packages, "", false, "is a pattern"},
		"listed twice":                 {failing, 1, known + known, "", false, "listed twice"},
		"list of three lines":          {ok, 0, threeLines, "", true, "not run: spurwinch/a TestB"},
		"list of four lines":           {ok, 0, threeLines + knownLine(3), "", false, "three at most"},
	}
}

// knownLine returns a line of the list, for TestA if index is 0, TestB if it is 1 and so on.
func knownLine(index int) string {
	return fmt.Sprintf("spurwinch/a Test%c | go test ./a, no seed | it hangs | issue 1\n", 'A'+index)
}

// check runs .ci/verdict and checks its result. A script replaces the go command and lists the tests TestA to TestD.
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
		"for n in TestA TestB TestC TestD; do case \"$3\" in \"^$n$\") echo $n;; esac; done\n"+v.goScript, 0o755)
	output := write("output", v.output, 0o600)
	list := write("list", v.list, 0o600)
	verdict := exec.Command("bash", "../.ci/verdict", output, strconv.Itoa(v.status), list)
	verdict.Env = append(os.Environ(), "PATH="+dir+":"+os.Getenv("PATH"))
	verdictOutput, err := verdict.CombinedOutput()
	if (err == nil) != v.passes || !strings.Contains(string(verdictOutput), v.message) {
		t.Errorf("verdict: got error %v and output %q, want pass = %v and %q", err, verdictOutput, v.passes, v.message)
	}
}
