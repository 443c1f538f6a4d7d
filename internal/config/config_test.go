package config

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"spurwinch/internal/exchange"
	"spurwinch/internal/wire"
)

// whole is a configuration with every key that the platform writes.
var whole = fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500","mgmt":"127.0.0.1:9000","seed":"1f",
 "limits":{"cores":1,"memory_mb":64,"sockets":384},"peer_listen":"127.0.0.1:7000","peers":[],"peers_all":"127.0.0.1:7001",
 "known":{"version":1,"full":true,"servers":[]},"settings":%s}`,
	strings.NewReplacer("REPORTS", "on_probe", `"tariffs"`, `"goal":{"whole":1},"tariffs"`).Replace(exchange.Settings))

func write(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// without calls fn with the configuration less each of its keys in turn.
func without(t *testing.T, fn func(path, key, text string)) {
	var walk func(v any, path string)
	var root any
	if err := json.Unmarshal([]byte(whole), &root); err != nil {
		t.Fatal(err)
	}
	walk = func(v any, path string) {
		switch v := v.(type) {
		case []any:
			for _, in := range v {
				walk(in, path+"[]")
			}
		case map[string]any:
			for k, in := range v {
				delete(v, k)
				text, _ := json.Marshal(root)
				fn(path+"."+k, k, string(text))
				v[k] = in
				walk(in, path+"."+k)
			}
		}
	}
	walk(root, "")
}

// TestAgainTakesWholeFilesOnly has each key missing in turn, the file cut off at each byte, and values that no node can
// serve by: all are turned down with the key at fault.
func TestAgainTakesWholeFilesOnly(t *testing.T) {
	inForce, err := decode([]byte(whole), func(*file) {})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Again(write(t, whole), inForce); err != nil {
		t.Error("the same file: ", err)
	}
	keys := 0
	without(t, func(path, key, text string) {
		keys++
		if _, err := Again(write(t, text), inForce); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("without %s: %v", path, err)
		}
	})
	if keys < 60 {
		t.Errorf("only %d keys were tried", keys)
	}
	for n := range len(whole) {
		if _, err := decode([]byte(whole[:n]), func(*file) {}); err == nil {
			t.Errorf("taken when cut off after %d bytes", n)
		}
	}
	for _, c := range []struct{ old, new, want string }{
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
		{whole, "", "empty"},
		{whole, "[]", "object"},
		{whole, "listen: here", "invalid"},
	} {
		if _, err := Again(write(t, strings.Replace(whole, c.old, c.new, 1)), inForce); err == nil || !strings.Contains(err.Error(), c.want) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", c.new, err)
		}
	}
	if _, err := Again(filepath.Join(t.TempDir(), "none"), inForce); err == nil {
		t.Error("a file that is not there was taken")
	}
}

// TestClassesKeepTheirPlace follows classes that appear, vanish and come back with another deadline.
func TestClassesKeepTheirPlace(t *testing.T) {
	next := func(s wire.Settings, names ...string) wire.Settings {
		one := exchange.Settings[strings.Index(exchange.Settings, `{"name":"chat"`):]
		one = one[:strings.Index(one, "}")+1]
		var all []string
		for i, n := range names {
			all = append(all, strings.NewReplacer(`"chat"`, `"`+n+`"`, `"giveUpS":4`, fmt.Sprintf(`"giveUpS":%d`, i+2)).Replace(one))
		}
		got, err := wire.DecodeSettings([]byte(strings.NewReplacer("REPORTS", "off", one, strings.Join(all, ",")).Replace(exchange.Settings)))
		if err != nil {
			t.Fatal(err)
		}
		return got.After(s)
	}
	s := next(wire.Settings{}, "a", "b")
	s = next(s, "c", "b")
	if len(s.Classes) != 3 || s.Classes[0].Name != "a" || !s.Classes[0].Removed || s.ClassByName["b"] != 1 || s.ClassByName["c"] != 2 || len(s.ClassByName) != 2 {
		t.Fatalf("%+v %v", s.Classes, s.ClassByName)
	}
	s = next(s, "b", "c", "a")
	if a := s.Classes[0]; len(s.Classes) != 3 || a.Removed || s.ClassByName["a"] != 0 || a.Deadline.Seconds() != 4 {
		t.Fatalf("%+v %v", s.Classes, s.ClassByName)
	}
}

// FuzzDecode checks that whatever is taken can be served by, and that nothing ends the node.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(whole))
	f.Add([]byte(strings.Replace(whole, `"peers":[]`, `"peers":["127.0.0.1:1","127.0.0.1:2"]`, 1)))
	f.Add([]byte(`{"settings":{"profiles":[{}]},"known":{"servers":[null]}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		n, err := decode(raw, func(*file) {})
		if err != nil {
			return
		}
		if err := n.Settings.Settings.Check(); err != nil {
			t.Error(err)
		}
		for _, c := range n.Settings.After(n.Settings).Classes {
			if c.Deadline <= 0 || c.Removed {
				t.Errorf("class %+v", c)
			}
		}
		if key := n.shape.lacks(n.shape, ""); key != "" {
			t.Errorf("lacks %s of its own", key)
		}
	})
}
