// Package cases_test runs the cases of the review. They are not part of the default test run.
package cases_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestCases runs the script of each case if REVIEW_CASES is set. It needs the build of the deploy file, and build.sh.
func TestCases(t *testing.T) {
	if os.Getenv("REVIEW_CASES") == "" {
		t.Skip("REVIEW_CASES is not set")
	}
	scripts, err := filepath.Glob("../*/run.sh")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("find the scripts: got %v and error %v, want one or more", scripts, err)
	}
	for _, script := range scripts {
		t.Run(filepath.Base(filepath.Dir(script)), func(t *testing.T) {
			output, err := exec.Command(script).CombinedOutput()
			var exit *exec.ExitError
			switch {
			case err == nil:
			case errors.As(err, &exit) && exit.ExitCode() == 2:
				t.Skipf("the case couldn't run: %s", output)
			default:
				t.Errorf("%s: got error %v and output %q, want status 0", script, err, output)
			}
		})
	}
}
