package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/simwire"
)

// completeConfig is a configuration with every key that the platform writes.
var completeConfig = fmt.Sprintf(
	`{"name":"n1","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500","mgmt":"127.0.0.1:9000","seed":"1f",
 "limits":{"cores":1,"memory_mb":64,"sockets":384},
 "peer_listen":"127.0.0.1:7000","peers":[],"peers_all":"127.0.0.1:7001",
 "known":{"version":1,"full":true,"servers":[]},"settings":%s}`,
	strings.Replace(transcript.Settings, "REPORTS", "on_probe", 1))

// decodeNode parses the text of a file and checks its values as at a start.
func decodeNode(raw []byte) (Node, error) {
	file, err := parseNodeFile(raw)
	if err != nil {
		return Node{}, err
	}
	return file.node()
}

func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestReloadRejectsInvalidFiles checks that ReloadNode rejects files with an invalid value, with an error that names
// the key, and that decodeNode rejects a file that is cut off at any byte.
func TestReloadRejectsInvalidFiles(t *testing.T) {
	current, err := decodeNode([]byte(completeConfig))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ReloadNode(writeConfig(t, completeConfig), current); err != nil {
		t.Errorf("ReloadNode of the same file: got error %v, want none", err)
	}
	for n := range len(completeConfig) {
		if _, err := decodeNode([]byte(completeConfig[:n])); err == nil {
			t.Errorf("decodeNode of a file cut off after %d bytes: got no error, want an error", n)
		}
	}
	for _, test := range []struct{ old, new, want string }{
		{`"giveUpS":4`, `"giveUpS":0`, "giveUpS"},
		{`"giveUpS":4`, `"giveUpS":-5`, "giveUpS"},
		{`"giveUpS":4`, `"giveUpS":"4"`, "giveUpS"},
		{`"giveUpS":4`, `"giveUpS":null`, "giveUpS"},
		{`"aimS":0.8`, `"aimS":-1`, "aimS"},
		{`"sendCap":4`, `"sendCap":0`, "sendCap"},
		{`"sendCap":4`, `"sendCap":-1`, "sendCap"},
		{`"sendCap":4`, `"sendCap":"four"`, "sendCap"},
		{`"idempotency":"safe"`, `"idempotency":"twice"`, "idempotency"},
		{`"name":"chat"`, `"name":""`, "name"},
		{`"127.0.0.1:8500"`, `"discovery:8500"`, "discovery"},
		{`"127.0.0.1:9000"`, `"9000"`, "mgmt"},
		{`"sockets":384`, `"sockets":-1`, "sockets"},
		{`"index":0`, `"index":7`, "index"},
		{`"profiles":[`, `"profiles":[],"x":[`, "profiles"},
		{completeConfig, "", "empty"},
		{completeConfig, "[]", "object"},
		{completeConfig, "listen: here", "invalid"},
	} {
		_, err := ReloadNode(writeConfig(t, strings.Replace(completeConfig, test.old, test.new, 1)), current)
		if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("ReloadNode with %s: got error %v, want one line with %q", test.new, err, test.want)
		}
	}
	if _, err := ReloadNode(filepath.Join(t.TempDir(), "none"), current); err == nil {
		t.Error("ReloadNode of a missing file: got no error, want an error")
	}
}

// TestReloadErrorsNameFileKeyAndCause checks that the error for an invalid file gives the file, the key and the cause.
func TestReloadErrorsNameFileKeyAndCause(t *testing.T) {
	current, err := decodeNode([]byte(completeConfig))
	if err != nil {
		t.Fatal(err)
	}
	const known = `"servers":[{"id":"s","addr":"127.0.0.1:1","zone":"a","kind":"m","cell":0,"state":"NAPPING",` +
		`"weight":1}]`
	for _, test := range []struct{ old, new, key, want string }{
		{`"127.0.0.1:3000"`, `"here"`, "listen", `listen address "here" is not IP:PORT`},
		{`"127.0.0.1:8500"`, `""`, "discovery", `discovery address "" is not IP:PORT`},
		{`"127.0.0.1:9000"`, `"9000"`, "mgmt", `mgmt address "9000" is not IP:PORT`},
		{
			`"sockets":384`, `"sockets":-1`, "limits",
			"limits: sockets is -1 and memory_mb 64, both must be 0 (unknown) or greater",
		},
		{
			`"sendCap":4`, `"sendCap":0`, "settings.policyLimits.sendCap",
			"settings: setup: policyLimits.sendCap must be at least 1, got 0",
		},
		{`"servers":[]`, known, "known", `known: entry "s" has state "NAPPING"`},
		{
			`"memory_mb":64,`, ``, "limits.memory_mb",
			"limits.memory_mb is missing: a value other than null is required",
		},
	} {
		path := writeConfig(t, strings.Replace(completeConfig, test.old, test.new, 1))
		_, err := ReloadNode(path, current)
		var fileError *FileError
		if !errors.As(err, &fileError) || fileError.File != path {
			t.Errorf("ReloadNode with %s: got error %#v, want a FileError of %s", test.new, err, path)
		}
		var keyError *KeyError
		if !errors.As(err, &keyError) || keyError.Key != test.key {
			t.Errorf("ReloadNode with %s: got error %#v, want a KeyError of %s", test.new, err, test.key)
		}
		if want := path + ": " + test.want; err == nil || err.Error() != want {
			t.Errorf("ReloadNode with %s: got error %v, want %s", test.new, err, want)
		}
	}
	for text, want := range map[string]error{"": ErrEmptyFile, " \n": ErrEmptyFile, "[]": ErrNoObject} {
		if _, err := ReloadNode(writeConfig(t, text), current); !errors.Is(err, want) {
			t.Errorf("ReloadNode of %q: got error %v, want %v", text, err, want)
		}
	}
	if _, err := ReadNode(func(string) string { return "" }); !errors.Is(err, ErrNoConfigFile) {
		t.Errorf("ReadNode without variables: got error %v, want %v", err, ErrNoConfigFile)
	}
}

// settingsWith returns settings with classes of these names, each with a different deadline. The classes get their
// indices as if the settings replaced the current ones.
func settingsWith(t *testing.T, current simwire.Settings, names ...string) simwire.Settings {
	t.Helper()
	profile := transcript.Settings[strings.Index(transcript.Settings, `{"name":"chat"`):]
	profile = profile[:strings.Index(profile, "}")+1]
	var profiles []string
	for i, name := range names {
		deadline := fmt.Sprintf(`"giveUpS":%d`, i+2)
		replacer := strings.NewReplacer(`"chat"`, `"`+name+`"`, `"giveUpS":4`, deadline)
		profiles = append(profiles, replacer.Replace(profile))
	}
	replacer := strings.NewReplacer("REPORTS", "off", profile, strings.Join(profiles, ","))
	settings, err := simwire.DecodeSettings([]byte(replacer.Replace(transcript.Settings)))
	if err != nil {
		t.Fatal(err)
	}
	return settings.WithIndicesOf(current)
}

// TestClassesKeepIndexWhenSettingsChange checks the indices of classes that are added, removed, and added again with
// another deadline.
func TestClassesKeepIndexWhenSettingsChange(t *testing.T) {
	settings := settingsWith(t, simwire.Settings{}, "a", "b")
	settings = settingsWith(t, settings, "c", "b")
	if len(settings.Classes) != 3 || len(settings.ClassByName) != 2 {
		t.Fatalf("classes and indices by name: got %+v and %v, want 3 classes and 2 names",
			settings.Classes, settings.ClassByName)
	}
	if first := settings.Classes[0]; first.Name != "a" || !first.Removed {
		t.Fatalf("first class: got %+v, want the removed class a", first)
	}
	if settings.ClassByName["b"] != 1 || settings.ClassByName["c"] != 2 {
		t.Fatalf("class indices by name: got %v, want b at 1 and c at 2", settings.ClassByName)
	}
	settings = settingsWith(t, settings, "b", "c", "a")
	first := settings.Classes[0]
	if len(settings.Classes) != 3 || first.Removed || settings.ClassByName["a"] != 0 || first.Deadline.Seconds() != 4 {
		t.Fatalf("classes and indices by name: got %+v and %v, want class a at index 0 with 4s",
			settings.Classes, settings.ClassByName)
	}
}

// FuzzDecode checks that no input causes a panic, and that the settings of an accepted file are valid.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(completeConfig))
	f.Add([]byte(strings.Replace(completeConfig, `"peers":[]`, `"peers":["127.0.0.1:1","127.0.0.1:2"]`, 1)))
	f.Add([]byte(`{"settings":{"profiles":[{}]},"known":{"servers":[null]}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		node, err := decodeNode(raw)
		if err != nil {
			return
		}
		if err := node.Settings.Check(); err != nil {
			t.Errorf("Check of accepted settings: got error %v, want none", err)
		}
		for _, class := range node.Settings.WithIndicesOf(node.Settings).Classes {
			if class.Deadline <= 0 || class.Removed {
				t.Errorf("class of accepted settings: got %+v, want one that has a deadline and is not removed", class)
			}
		}
		requireUnknownKeyIgnored(t, raw)
	})
}
