package choice

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestPlacementFileSizeIsLimited limits choice.go to 650 lines that are not blank and 110 columns, with tabs counted as
// 4, because on-call engineers have to read it during incidents.
func TestPlacementFileSizeIsLimited(t *testing.T) {
	text, err := os.ReadFile("choice.go")
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for i, line := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(line) != "" {
			count++
		}
		if columns := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); columns > 110 {
			t.Errorf("choice.go:%d: got %d columns, want at most 110", i+1, columns)
		}
	}
	if count > 650 {
		t.Errorf("choice.go: got %d lines, want at most 650", count)
	}
}

// TestFileSizesAreLimited limits each file to fewer than 400 lines of at most 120 columns, so that each mechanism gets
// a file of its own.
func TestFileSizesAreLimited(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		checked++
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(text), "\n")
		if len(lines) >= 400 {
			t.Errorf("%s: got %d lines, want fewer than 400", file, len(lines))
		}
		for i, line := range lines {
			if columns := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); columns > 120 {
				t.Errorf("%s:%d: got %d columns, want at most 120", file, i+1, columns)
			}
		}
	}
	if checked < 20 {
		t.Errorf("files of the package: got %d, want at least 20", checked)
	}
}
