package fakeserver

import (
	"encoding/json"

	"spurwinch/internal/simwire"
)

// EncodeSettings returns a settings object as the platform writes it: with all keys that a settings object must have.
// Keys that the given settings lack, which nodes don't use, are set to 0. The settings are changed.
func EncodeSettings(settings map[string]any) json.RawMessage {
	fillMissing(settings, simwire.SetupKeys)
	raw, err := json.Marshal(settings)
	if err != nil {
		panic(err) // impossible: settings contain only values that JSON can encode
	}
	return raw
}

// fillMissing sets the required keys that an object lacks, also in its inner objects and in the elements of its lists.
func fillMissing(object map[string]any, table simwire.KeyTable) {
	for name, key := range table {
		value, present := object[name]
		switch {
		case !present && key.Optional:
			continue
		case !present && key.Object == nil:
			object[name] = 0
		case !present:
			value = map[string]any{}
			object[name] = value
		}
		if inner, ok := value.(map[string]any); ok && key.Object != nil {
			fillMissing(inner, key.Object)
		}
		elements, _ := value.([]map[string]any)
		for _, element := range elements {
			fillMissing(element, key.List)
		}
	}
}
