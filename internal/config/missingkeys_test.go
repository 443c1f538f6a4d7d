package config

import (
	"bytes"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// requiredOperatorKeys are the keys that an operator's file must have in each entry of a table that it has. All other
// keys of testdata/operator.toml may be left out.
var requiredOperatorKeys = []string{
	"capture.path", "capture.key",
	"fleet.self", "fleet.listen", "fleet.nodes", "fleet.key_file", "fleet.dir",
	"listener", "listener.addr", "listener.protocol",
	"certificate", "certificate.cert", "certificate.key", // since testdata/operator.toml has listeners with TLS
	"domain", "domain.name", "domain.cluster",
	"class", "class.name", // since domains of testdata/operator.toml name a class
	"cluster", "cluster.name", "cluster.host", "cluster.host.addr", "cluster.discovery",
}

// requiredListKeys are the keys that a list of nodes must have. testdata/nodes.toml has one voter.
var requiredListKeys = []string{"node", "node.name", "node.addr", "node.zone", "node.voter", "far.between", "far.cost"}

// requiredPolicyKeys are the keys that a policy document must have.
var requiredPolicyKeys = []string{
	"class", "class.name", "class.aim", "class.patience", "tenant.name", "plan", "far.between", "far.cost",
	"ground", "ground.attempts", "ground.patience", // since testdata/policy.toml has a class with a base policy
}

// namedInstead maps keys to those that a fault names in their place: what refers to the missing entry, or what could
// stand in its place.
var namedInstead = map[string]string{
	"certificate":  "listener.tls",
	"class":        "domain.class",
	"class.name":   "domain.class",
	"cluster":      "domain.cluster",
	"cluster.name": "domain.cluster",
	"cluster.host": "cluster.discovery",
	"node.voter":   "node",
	"plan":         "far",
}

// TestMissingKeysAreNamed removes each key of an operator's file, of a list of nodes and of a policy document, in each
// entry of each table. The file must be rejected with a fault that names the key if the key is required, and accepted
// otherwise.
func TestMissingKeysAreNamed(t *testing.T) {
	files := map[string][]byte{}
	for _, name := range []string{"operator.toml", "nodes.toml", "policy.toml"} {
		raw, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		files[name] = raw
	}
	operatorFiles(t)
	path := filepath.Join(t.TempDir(), "file.toml")
	for name, test := range map[string]struct {
		required []string
		read     func(text []byte) error
	}{
		"operator.toml": {requiredOperatorKeys, func(text []byte) error {
			writeText(t, path, text)
			_, err := ReadOperator(path)
			return err
		}},
		"nodes.toml": {requiredListKeys, func(text []byte) error {
			writeText(t, path, text)
			_, err := ReadFleetList(path)
			return err
		}},
		"policy.toml": {requiredPolicyKeys, func(text []byte) error {
			_, err := ReadPolicy("policy", text, 0)
			return err
		}},
	} {
		removed := map[string]bool{}
		withoutEachTOMLKey(t, files[name], func(keyPath string, text []byte) {
			key := withoutIndices(keyPath)
			removed[key] = true
			checkMissingKey(t, keyPath, slices.Contains(test.required, key), test.read(text))
		})
		for _, key := range test.required {
			if !removed[key] {
				t.Errorf("testdata/%s: got no %s, want one to remove", name, key)
			}
		}
	}
}

func writeText(t *testing.T, path string, text []byte) {
	t.Helper()
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// checkMissingKey checks the result of reading a file without the key at a path.
func checkMissingKey(t *testing.T, path string, required bool, err error) {
	t.Helper()
	got := InvalidKey(err)
	key := withoutIndices(path)
	switch instead := namedInstead[key]; {
	case !required && err != nil:
		t.Errorf("file without %s: got error %v, want none", path, err)
	case required && err == nil:
		t.Errorf("file without %s: got no error, want one that names the key", path)
	case required && got != path && (instead == "" || withoutIndices(got) != instead && got != path):
		t.Errorf("file without %s: got a fault of %q, want one of %s: %v", path, got, path, err)
	case required && strings.Contains(err.Error(), "\n"):
		t.Errorf("file without %s: got more than one line, want one: %v", path, err)
	}
}

// withoutEachTOMLKey calls try for each key of each table of a file, with the key's path, which contains the indices of
// array tables, and the file without the key.
func withoutEachTOMLKey(t *testing.T, source []byte, try func(path string, text []byte)) {
	t.Helper()
	root := map[string]any{}
	if err := toml.Unmarshal(source, &root); err != nil {
		t.Fatal(err)
	}
	var walk func(value any, path string)
	walk = func(value any, path string) {
		switch value := value.(type) {
		case []map[string]any:
			for i, entry := range value {
				walk(entry, path+"."+strconv.Itoa(i))
			}
		case map[string]any:
			for _, name := range slices.Sorted(maps.Keys(value)) {
				inner := value[name]
				keyPath := strings.TrimPrefix(path+"."+name, ".")
				delete(value, name)
				try(keyPath, encodeTOML(t, root))
				value[name] = inner
				walk(inner, keyPath)
			}
		}
	}
	walk(root, "")
}

func encodeTOML(t *testing.T, root map[string]any) []byte {
	t.Helper()
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(root); err != nil {
		t.Fatal(err)
	}
	return text.Bytes()
}

// withoutIndices returns a path without the indices of array tables.
func withoutIndices(path string) string {
	var names []string
	for part := range strings.SplitSeq(path, ".") {
		if _, err := strconv.Atoi(part); err != nil {
			names = append(names, part)
		}
	}
	return strings.Join(names, ".")
}
