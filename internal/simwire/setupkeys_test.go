package simwire

import "testing"

// TestSetupKeysHaveAllUsedKeys checks that each key that this program uses is a required key of the table of the
// settings, with a value of the same form.
func TestSetupKeysHaveAllUsedKeys(t *testing.T) {
	requireKeys(t, usedKeys, SetupKeys, "")
}

func requireKeys(t *testing.T, used, table KeyTable, path string) {
	t.Helper()
	for name, key := range used {
		listed, ok := table[name]
		keyPath := joinPath(path, name)
		if !ok || listed.Optional {
			t.Errorf("%s: got listed %v and optional %v, want a required key", keyPath, ok, listed.Optional)
		}
		if (key.Object != nil) != (listed.Object != nil) || (key.List != nil) != (listed.List != nil) {
			t.Errorf("%s: got another form of value, want the one that the program decodes", keyPath)
		}
		requireKeys(t, key.Object, listed.Object, keyPath)
		requireKeys(t, key.List, listed.List, keyPath+"[]")
	}
}
