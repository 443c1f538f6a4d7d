// Package docs_test holds the pages of docs to the program.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

var (
	eventName   = regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)
	codeOnPage  = regexp.MustCompile("`([^`]+)`")
	logMethods  = []string{"Debug", "Info", "Warn", "Error", "Log"}
	programDirs = []string{"../choice", "../cmd", "../internal"}
)

// TestGlossaryEvents holds that the glossary has each event that the program logs, and no other.
func TestGlossaryEvents(t *testing.T) {
	logged, literals := programStrings(t)
	listed := listedEvents(t)
	if len(listed) < 90 {
		t.Errorf("the glossary lists %d events, want 90 or more: has its table another form?", len(listed))
	}
	for event := range logged {
		if !listed[event] {
			t.Errorf("the program logs %s, which docs/glossary.md does not list", event)
		}
	}
	for event := range listed {
		if !literals[event] {
			t.Errorf("docs/glossary.md lists %s, which the program does not have", event)
		}
	}
}

// listedEvents are the names in the first column of the glossary's tables of events.
func listedEvents(t *testing.T) map[string]bool {
	t.Helper()
	page, err := os.ReadFile("glossary.md")
	if err != nil {
		t.Fatal(err)
	}
	_, tables, found := strings.Cut(string(page), "\n## Events of the log\n")
	if !found {
		t.Fatal("docs/glossary.md has no section \"Events of the log\"")
	}
	events := map[string]bool{}
	for line := range strings.Lines(tables) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		firstColumn := strings.Split(line, "|")[1]
		for _, match := range codeOnPage.FindAllStringSubmatch(firstColumn, -1) {
			events[match[1]] = true
		}
	}
	return events
}

// programStrings are the events that are logged by name, and all string literals, in the program's code without tests
// and laboratory.
func programStrings(t *testing.T) (logged, literals map[string]bool) {
	t.Helper()
	logged, literals = map[string]bool{}, map[string]bool{}
	visit := func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && entry.Name() == "lab":
			return fs.SkipDir
		case entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if call, ok := node.(*ast.CallExpr); ok {
				if event := loggedEvent(call); event != "" {
					logged[event] = true
				}
			}
			if text, ok := stringLiteral(node); ok {
				literals[text] = true
			}
			return true
		})
		return nil
	}
	for _, dir := range programDirs {
		if err := filepath.WalkDir(dir, visit); err != nil {
			t.Fatal(err)
		}
	}
	return logged, literals
}

// loggedEvent is the event that a call logs by its name; empty: it logs none.
func loggedEvent(call *ast.CallExpr) string {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 || !slices.Contains(logMethods, method.Sel.Name) {
		return ""
	}
	text, ok := stringLiteral(call.Args[0])
	if !ok || !eventName.MatchString(text) {
		return ""
	}
	return text
}

func stringLiteral(node ast.Node) (text string, ok bool) {
	literal, ok := node.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}
