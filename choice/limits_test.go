package choice

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

// Whoever is on call reads the balancer at night: at most 650 lines that are not blank, 110 columns with tabs as four.
func TestModuleStaysReadable(t *testing.T) {
	text, err := os.ReadFile("choice.go")
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for i, line := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(line) != "" {
			count++
		}
		if w := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); w > 110 {
			t.Errorf("choice.go:%d: %d columns", i+1, w)
		}
	}
	if count > 650 {
		t.Errorf("choice.go has %d lines", count)
	}
}

// TestFilesStaySmall keeps each mechanism in a file of its own: under 400 lines of at most 120 columns.
func TestFilesStaySmall(t *testing.T) {
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
			t.Errorf("%s has %d lines, want under 400", file, len(lines))
		}
		for i, line := range lines {
			if columns := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); columns > 120 {
				t.Errorf("%s:%d has %d columns, want at most 120", file, i+1, columns)
			}
		}
	}
	if checked < 20 {
		t.Errorf("%d files found, want all of the package", checked)
	}
}
