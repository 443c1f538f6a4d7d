package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// The keys that a file may lack. All other keys of fullConfig are required. Paths are as withEachKey gives them.
var optionalKeys = map[string]bool{
	"mgmt":                           true,
	"known.servers[].started_ms":     true,
	"settings.profiles[].aimStretch": true,
	"settings.tariffs.fleet":         true,
}

// fullConfig returns a file in which each list of objects has two elements and all optional keys are set.
func fullConfig(t *testing.T) map[string]any {
	t.Helper()
	document := parseDocument(t, completeConfig)
	server := map[string]any{
		"id": "s-1", "addr": "127.0.0.1:9101", "zone": "a", "kind": "m", "cell": 0, "state": "SERVING", "weight": 1,
		"started_ms": 0,
	}
	objectAt(t, document, "known")["servers"] = []any{server, withKey(server, "id", "s-2")}
	settings := objectAt(t, document, "settings")
	class := withKey(objectAt(t, document, "settings", "profiles", 0), "aimStretch", 1)
	settings["profiles"] = []any{class, withKey(class, "name", "bulk")}
	tenant := objectAt(t, document, "settings", "customers", 0)
	settings["customers"] = []any{tenant, withKey(tenant, "name", "other")}
	objectAt(t, document, "settings", "tariffs")["fleet"] = 0
	settings["groupSize"] = 2
	objectAt(t, document, "settings", "policyLimits")["mayTell"] = true
	document["peers"] = []any{"127.0.0.1:7000", "127.0.0.1:7002"}
	return document
}

func parseDocument(t *testing.T, text string) map[string]any {
	t.Helper()
	var document map[string]any
	if err := json.Unmarshal([]byte(text), &document); err != nil {
		t.Fatal(err)
	}
	return document
}

// objectAt returns the object at a path of keys and list indices.
func objectAt(t *testing.T, document map[string]any, path ...any) map[string]any {
	t.Helper()
	var value any = document
	for _, step := range path {
		switch step := step.(type) {
		case string:
			object, _ := value.(map[string]any)
			value = object[step]
		case int:
			list, _ := value.([]any)
			if step >= len(list) {
				t.Fatalf("list in %v: got %d elements, want more than %d", path, len(list), step)
			}
			value = list[step]
		}
	}
	object, ok := value.(map[string]any)
	if !ok {
		t.Fatalf("value at %v: got %v, want an object", path, value)
	}
	return object
}

// withKey returns a copy of an object with one key set.
func withKey(object map[string]any, name string, value any) map[string]any {
	changed := map[string]any{name: value}
	for other, inner := range object {
		if other != name {
			changed[other] = inner
		}
	}
	return changed
}

func encodeDocument(t *testing.T, document map[string]any) string {
	t.Helper()
	text, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// withEachObject calls try for each object of a document. element is the index of the innermost list element that
// contains the object, and 0 outside lists.
func withEachObject(value any, path string, element int, try func(object map[string]any, path string, element int)) {
	switch value := value.(type) {
	case []any:
		for i, inner := range value {
			withEachObject(inner, path+"[]", i, try)
		}
	case map[string]any:
		try(value, path, element)
		for name, inner := range value {
			withEachObject(inner, strings.TrimPrefix(path+"."+name, "."), element, try)
		}
	}
}

// keyVariant is a document without one of its keys.
type keyVariant struct {
	path    string // of the key, with "[]" for list elements
	name    string
	element int // index of the list element that lacks the key
	text    string
}

// withoutEachKey returns a variant for each key of each object of a document, so for a key of a list's elements one for
// each element.
func withoutEachKey(t *testing.T, document map[string]any) []keyVariant {
	t.Helper()
	var variants []keyVariant
	withEachObject(document, "", 0, func(object map[string]any, path string, element int) {
		for name, value := range object {
			delete(object, name)
			variants = append(variants, keyVariant{
				path:    strings.TrimPrefix(path+"."+name, "."),
				name:    name,
				element: element,
				text:    encodeDocument(t, document),
			})
			object[name] = value
		}
	})
	return variants
}

// reloadText returns the result of a reload of a file with the given text, for a node whose file in force is inForce.
func reloadText(t *testing.T, inForce, text string) (Node, error) {
	t.Helper()
	current, err := decodeNode([]byte(inForce))
	if err != nil {
		t.Fatalf("file in force: got error %v, want none", err)
	}
	return ReloadNode(writeConfig(t, text), current)
}

// TestReloadDecidesByKeyTable removes each key of a file, in each element of each list: ReloadNode must reject the file
// if the key is required and accept it if the key is optional, whether the file in force has the key or lacks it.
func TestReloadDecidesByKeyTable(t *testing.T) {
	full := encodeDocument(t, fullConfig(t))
	variants := withoutEachKey(t, fullConfig(t))
	if len(variants) < 100 {
		t.Errorf("keys of the file: got %d, want 100 or more", len(variants))
	}
	for _, variant := range variants {
		inForce := map[string]string{"has the key": full, "lacks the key": variant.text}
		for name, text := range inForce {
			if _, err := decodeNode([]byte(text)); err != nil {
				continue // a node can't start with this file
			}
			_, err := reloadText(t, text, variant.text)
			checkVariant(t, variant, err, name)
		}
	}
	for _, variant := range variants {
		if !optionalKeys[variant.path] {
			continue
		}
		if _, err := reloadText(t, variant.text, full); err != nil {
			t.Errorf("reload that adds %s: got error %v, want none", variant.path, err)
		}
	}
}

// checkVariant checks the result of a reload of a file without one key.
func checkVariant(t *testing.T, variant keyVariant, err error, inForce string) {
	t.Helper()
	if optionalKeys[variant.path] {
		if err != nil {
			t.Errorf("reload without %s, file in force %s: got error %v, want none", variant.path, inForce, err)
		}
		return
	}
	want := strings.ReplaceAll(variant.path, "[]", fmt.Sprintf("[%d]", variant.element))
	var keyError *KeyError
	if !errors.As(err, &keyError) || keyError.Key != want || strings.Contains(err.Error(), "\n") {
		t.Errorf("reload without %s, file in force %s: got error %v, want one line that names %s",
			variant.path, inForce, err, want)
	}
}

// TestNewClassMayLackOptionalKey guards against the rejection of a valid file: a class that appears lacks an optional
// key that all classes in force have.
func TestNewClassMayLackOptionalKey(t *testing.T) {
	inForce := parseDocument(t, completeConfig)
	chat := objectAt(t, inForce, "settings", "profiles", 0)
	next := parseDocument(t, completeConfig)
	objectAt(t, next, "settings")["profiles"] = []any{withKey(chat, "aimStretch", 1), withKey(chat, "name", "bulk")}
	next["discovery"] = "127.0.0.1:8501"
	objectAt(t, inForce, "settings")["profiles"] = []any{withKey(chat, "aimStretch", 1)}
	node, err := reloadText(t, encodeDocument(t, inForce), encodeDocument(t, next))
	if err != nil {
		t.Fatalf("reload with a class without aimStretch: got error %v, want none", err)
	}
	if _, ok := node.Settings.ClassByName["bulk"]; !ok || node.Discovery != "127.0.0.1:8501" {
		t.Errorf("reloaded file: got classes %v and discovery %s, want class bulk and 127.0.0.1:8501",
			node.Settings.ClassByName, node.Discovery)
	}
}

// TestUnknownKeysComeAndGo checks that a key that the table doesn't list may appear and vanish in each object.
func TestUnknownKeysComeAndGo(t *testing.T) {
	full := encodeDocument(t, fullConfig(t))
	document := fullConfig(t)
	objects := 0
	withEachObject(document, "", 0, func(object map[string]any, path string, element int) {
		objects++
		object["further"] = map[string]any{"inner": []any{map[string]any{"key": 1}}}
		further := encodeDocument(t, document)
		delete(object, "further")
		if _, err := reloadText(t, full, further); err != nil {
			t.Errorf("reload with a further key in %q, element %d: got error %v, want none", path, element, err)
		}
		if _, err := reloadText(t, further, full); err != nil {
			t.Errorf("reload without the further key in %q, element %d: got error %v, want none", path, element, err)
		}
	})
	if objects < 15 {
		t.Errorf("objects of the file: got %d, want 15 or more", objects)
	}
}

// TestMessageKeysAreRequiredByNeed checks that a file needs the addresses of other nodes only if the settings allow
// messages and there is another node.
func TestMessageKeysAreRequiredByNeed(t *testing.T) {
	for _, test := range []struct {
		allowed  bool
		nodes    int
		required bool
	}{{false, 1, false}, {true, 1, false}, {false, 2, false}, {true, 2, true}} {
		document := fullConfig(t)
		objectAt(t, document, "settings", "policyLimits")["mayTell"] = test.allowed
		objectAt(t, document, "settings")["groupSize"] = test.nodes
		document["peers"] = []any{"127.0.0.1:7000", "127.0.0.1:7002"}[:test.nodes]
		for _, name := range []string{"peers", "peers_all", "peer_listen"} {
			value := document[name]
			delete(document, name)
			without := encodeDocument(t, document)
			_, err := reloadText(t, without, without)
			document[name] = value
			if (err != nil) != test.required || test.required && !strings.Contains(err.Error(), name) {
				t.Errorf("reload without %s, messages allowed %v, %d nodes: got error %v, want an error %v",
					name, test.allowed, test.nodes, err, test.required)
			}
		}
	}
}

// TestStartToleratesUnusedKeys checks that a node starts with a file that lacks a key that no node uses, and that
// Node.Incomplete names the key.
func TestStartToleratesUnusedKeys(t *testing.T) {
	document := fullConfig(t)
	path := writeConfig(t, encodeDocument(t, document))
	getenv := func(name string) string { return map[string]string{"GW_CONFIG": path}[name] }
	if node, err := ReadNode(getenv); err != nil || node.Incomplete != nil {
		t.Errorf("start with all keys: got error %v and Incomplete %v, want none", err, node.Incomplete)
	}
	delete(objectAt(t, document, "settings", "goal"), "whole")
	path = writeConfig(t, encodeDocument(t, document))
	node, err := ReadNode(getenv)
	want := path + ": settings.goal.whole is missing: a value other than null is required"
	if err != nil || node.Incomplete == nil || node.Incomplete.Error() != want {
		t.Errorf("start without settings.goal.whole: got error %v and Incomplete %v, want none and %q",
			err, node.Incomplete, want)
	}
}

// TestNullAndValuesOfWrongKind checks that null counts as a missing key, and that an object or list is required where
// the table has one.
func TestNullAndValuesOfWrongKind(t *testing.T) {
	full := encodeDocument(t, fullConfig(t))
	for _, test := range []struct {
		key   string
		value any
		want  string
	}{
		{"limits", nil, "limits is missing"},
		{"known", nil, "known is missing"},
		{"known", []any{}, "known must be an object"},
		{"settings", []any{}, "settings must be an object"},
		{"settings", nil, "settings is missing"},
		{"limits", 5, "limits must be an object"},
		{"listen", 5, "listen must be a string, got a JSON number"},
		{"peers", "a", "peers must be a list, got a JSON string"},
		{"seed", nil, "seed is missing"},
		{"mgmt", nil, ""},
	} {
		document := fullConfig(t)
		document[test.key] = test.value
		_, err := reloadText(t, full, encodeDocument(t, document))
		var keyError *KeyError
		named := errors.As(err, &keyError) && keyError.Key == test.key
		if (test.want != "") != (err != nil) || err != nil && (!named || !strings.Contains(err.Error(), test.want)) {
			t.Errorf("reload with %s = %v: got error %v, want %q", test.key, test.value, err, test.want)
		}
	}
}

// requireUnknownKeyIgnored checks that a further key changes nothing in the check of a file's keys.
func requireUnknownKeyIgnored(t *testing.T, raw []byte) {
	t.Helper()
	file, err := parseNodeFile(raw)
	if err != nil {
		t.Fatal(err)
	}
	before := file.checkKeys()
	file.object["further key"] = 1
	if after := file.checkKeys(); fmt.Sprint(before) != fmt.Sprint(after) {
		t.Errorf("checkKeys with a further key: got %v, want %v", after, before)
	}
}

// TestNamesOfKeysAreCaseSensitive guards against an unknown key that is read in place of a known one because it differs
// from it only in upper and lower case. It adds such a key beside each known one.
func TestNamesOfKeysAreCaseSensitive(t *testing.T) {
	document := fullConfig(t)
	want, err := decodeNode([]byte(encodeDocument(t, document)))
	if err != nil {
		t.Fatal(err)
	}
	withEachObject(document, "", 0, func(object map[string]any, path string, _ int) {
		for _, name := range slices.Sorted(maps.Keys(object)) {
			// encodeDocument sorts keys, and a decoder that ignores case takes the last one.
			last := len(name) - 1
			for _, similar := range []string{strings.ToUpper(name), name[:last] + strings.ToUpper(name[last:])} {
				if _, known := object[similar]; known {
					continue
				}
				object[similar] = "not known"
				got, err := decodeNode([]byte(encodeDocument(t, document)))
				delete(object, similar)
				if err != nil || !reflect.DeepEqual(got, want) {
					t.Errorf("file with %s.%s: got error %v, want the node of the file without it", path, similar, err)
				}
			}
		}
	})
}

// TestUnknownNumbersMayHaveAnySize checks that a number that fits no float64 is ignored under an unknown key.
func TestUnknownNumbersMayHaveAnySize(t *testing.T) {
	text := strings.Replace(completeConfig, `"seed"`, `"further":1e999,"seed"`, 1)
	if _, err := reloadText(t, completeConfig, text); err != nil {
		t.Errorf("reload with an unknown key of 1e999: got error %v, want none", err)
	}
}
