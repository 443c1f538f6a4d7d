package config

import (
	"encoding/json"
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
	strings.NewReplacer(
		"REPORTS", "on_probe",
		`"tariffs"`, `"goal":{"whole":1},"tariffs"`,
	).Replace(transcript.Settings))

// noOverride is an override that overrides nothing.
func noOverride(*nodeFile) {}

func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// withoutEachKey calls try with the configuration less each of its keys in turn.
func withoutEachKey(t *testing.T, try func(path, key, text string)) {
	t.Helper()
	var root any
	if err := json.Unmarshal([]byte(completeConfig), &root); err != nil {
		t.Fatal(err)
	}
	var walk func(value any, path string)
	walk = func(value any, path string) {
		switch value := value.(type) {
		case []any:
			for _, inner := range value {
				walk(inner, path+"[]")
			}
		case map[string]any:
			for key, inner := range value {
				delete(value, key)
				text, err := json.Marshal(root)
				if err != nil {
					t.Fatal(err)
				}
				try(path+"."+key, key, string(text))
				value[key] = inner
				walk(inner, path+"."+key)
			}
		}
	}
	walk(root, "")
}

// TestAgainTakesWholeFilesOnly has each key missing in turn, the file cut off at each byte, and values that no node can
// serve by: all are rejected with the key at fault.
func TestAgainTakesWholeFilesOnly(t *testing.T) {
	inForce, err := decodeNode([]byte(completeConfig), noOverride)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ReloadNode(writeConfig(t, completeConfig), inForce); err != nil {
		t.Errorf("the same file: %v, wanted no error", err)
	}
	keys := 0
	withoutEachKey(t, func(path, key, text string) {
		keys++
		if _, err := ReloadNode(writeConfig(t, text), inForce); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("without %s: %v, wanted an error that names it", path, err)
		}
	})
	if keys < 60 {
		t.Errorf("only %d keys were tried, wanted 60 or more", keys)
	}
	for n := range len(completeConfig) {
		if _, err := decodeNode([]byte(completeConfig[:n]), noOverride); err == nil {
			t.Errorf("a file that is cut off after %d bytes is accepted", n)
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
		_, err := ReloadNode(writeConfig(t, strings.Replace(completeConfig, test.old, test.new, 1)), inForce)
		if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, wanted an error of one line with %q", test.new, err, test.want)
		}
	}
	if _, err := ReloadNode(filepath.Join(t.TempDir(), "none"), inForce); err == nil {
		t.Error("a file that is not there was accepted")
	}
}

// TestNodeErrors holds what a caller can tell of a file that can't be used: which file, which key, and the cause.
func TestNodeErrors(t *testing.T) {
	inForce, err := decodeNode([]byte(completeConfig), noOverride)
	if err != nil {
		t.Fatal(err)
	}
	const known = `"servers":[{"id":"s","addr":"127.0.0.1:1","state":"NAPPING"}]`
	for _, test := range []struct{ old, new, key, want string }{
		{`"127.0.0.1:3000"`, `"here"`, "listen", `listen address "here" is not IP:PORT`},
		{`"127.0.0.1:8500"`, `""`, "discovery", `discovery address "" is not IP:PORT`},
		{`"127.0.0.1:9000"`, `"9000"`, "mgmt", `mgmt address "9000" is not IP:PORT`},
		{
			`"sockets":384`, `"sockets":-1`, "limits",
			"limits: sockets is -1 and memory_mb 64, both must be 0 (unknown) or greater",
		},
		{
			`"sendCap":4`, `"sendCap":0`, "settings",
			"settings: setup: policyLimits.sendCap is 0: 1 attempt or more is wanted",
		},
		{`"servers":[]`, known, "known", `known: entry "s" has state "NAPPING"`},
		{
			`"memory_mb":64,`, ``, "limits.memory_mb",
			"limits.memory_mb is missing: the configuration in force has it",
		},
	} {
		path := writeConfig(t, strings.Replace(completeConfig, test.old, test.new, 1))
		_, err := ReloadNode(path, inForce)
		var fileError *FileError
		if !errors.As(err, &fileError) || fileError.File != path {
			t.Errorf("%s: the error is %#v, wanted a FileError of %s", test.new, err, path)
		}
		var keyError *KeyError
		if !errors.As(err, &keyError) || keyError.Key != test.key {
			t.Errorf("%s: the error is %#v, wanted a KeyError of %s", test.new, err, test.key)
		}
		if want := path + ": " + test.want; err == nil || err.Error() != want {
			t.Errorf("%s: the error is %v, wanted %s", test.new, err, want)
		}
	}
	for text, want := range map[string]error{"": ErrEmptyFile, " \n": ErrEmptyFile, "[]": ErrNoObject} {
		if _, err := ReloadNode(writeConfig(t, text), inForce); !errors.Is(err, want) {
			t.Errorf("%q: the error is %v, wanted %v", text, err, want)
		}
	}
	if _, err := ReadNode(func(string) string { return "" }); !errors.Is(err, ErrNoConfigFile) {
		t.Errorf("without variables: the error is %v, wanted %v", err, ErrNoConfigFile)
	}
}

// settingsWith are settings with classes of these names, each with another deadline, put behind those in force.
func settingsWith(t *testing.T, inForce simwire.Settings, names ...string) simwire.Settings {
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
	return settings.WithIndicesOf(inForce)
}

// TestClassesKeepTheirPlace follows classes that appear, vanish and come back with another deadline.
func TestClassesKeepTheirPlace(t *testing.T) {
	settings := settingsWith(t, simwire.Settings{}, "a", "b")
	settings = settingsWith(t, settings, "c", "b")
	if len(settings.Classes) != 3 || len(settings.ClassByName) != 2 {
		t.Fatalf("%+v and %v, wanted 3 classes and 2 names", settings.Classes, settings.ClassByName)
	}
	if first := settings.Classes[0]; first.Name != "a" || !first.Removed {
		t.Fatalf("the first class is %+v, wanted the removed class a", first)
	}
	if settings.ClassByName["b"] != 1 || settings.ClassByName["c"] != 2 {
		t.Fatalf("the classes by name are %v, wanted b at 1 and c at 2", settings.ClassByName)
	}
	settings = settingsWith(t, settings, "b", "c", "a")
	first := settings.Classes[0]
	if len(settings.Classes) != 3 || first.Removed || settings.ClassByName["a"] != 0 || first.Deadline.Seconds() != 4 {
		t.Fatalf("%+v and %v, wanted class a in its first place with 4s", settings.Classes, settings.ClassByName)
	}
}

// FuzzDecode checks that whatever is accepted can be served by, and that nothing ends the node.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(completeConfig))
	f.Add([]byte(strings.Replace(completeConfig, `"peers":[]`, `"peers":["127.0.0.1:1","127.0.0.1:2"]`, 1)))
	f.Add([]byte(`{"settings":{"profiles":[{}]},"known":{"servers":[null]}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		node, err := decodeNode(raw, noOverride)
		if err != nil {
			return
		}
		if err := node.Settings.Check(); err != nil {
			t.Errorf("the settings of an accepted file: %v", err)
		}
		for _, class := range node.Settings.WithIndicesOf(node.Settings).Classes {
			if class.Deadline <= 0 || class.Removed {
				t.Errorf("class %+v has no deadline or was removed", class)
			}
		}
		if key := node.keys.firstMissing(node.keys, ""); key != "" {
			t.Errorf("a file lacks the key %s of its own", key)
		}
	})
}
