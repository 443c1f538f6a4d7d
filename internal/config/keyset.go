package config

import (
	"maps"
	"slices"
	"strings"
)

// keySet holds the keys of a JSON value. For an object it maps each name to the keys of the inner value. For a list it
// holds the keys that all elements have.
type keySet map[string]keySet

// listElementKey represents the elements of a list in a keySet and in a path.
const listElementKey = "[]"

// keysOf returns the keys of a value that encoding/json has decoded, or nil if it has none.
func keysOf(value any) keySet {
	switch value := value.(type) {
	case map[string]any:
		keys := keySet{}
		for name, inner := range value {
			keys[name] = keysOf(inner)
		}
		return keys
	case []any:
		if common := commonKeys(value); len(common) > 0 {
			return keySet{listElementKey: common}
		}
	}
	return nil
}

// commonKeys returns the keys that all elements of a list have.
func commonKeys(list []any) keySet {
	var common keySet
	for i, inner := range list {
		keys := keysOf(inner)
		if i == 0 {
			common = keys
		} else {
			common = common.intersect(keys)
		}
	}
	return common
}

func (s keySet) intersect(other keySet) keySet {
	common := keySet{}
	for name, inner := range s {
		if otherInner, ok := other[name]; ok {
			common[name] = inner.intersect(otherInner)
		}
	}
	return common
}

// firstMissing returns the path of the first key, sorted by name, that other lacks, or "" if other has all keys. An
// empty list in other lacks no key. path is the path of the object that the keys belong to, "" at the top level.
func (s keySet) firstMissing(other keySet, path string) string {
	for _, name := range slices.Sorted(maps.Keys(s)) {
		inner, ok := other[name]
		if !ok && name == listElementKey {
			continue
		}
		keyPath := strings.TrimPrefix(path+"."+name, ".")
		if !ok {
			return keyPath
		}
		if missing := s[name].firstMissing(inner, keyPath); missing != "" {
			return missing
		}
	}
	return ""
}
