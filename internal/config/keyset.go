package config

import (
	"maps"
	"slices"
	"strings"
)

// keySet is the keys of a JSON value: of an object, by name; of a list, those that all its elements have.
type keySet map[string]keySet

// element stands for the elements of a list in a keySet and in a path.
const element = "[]"

// keysOf returns the keys of a value that encoding/json has decoded; nil: it has none.
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
			return keySet{element: common}
		}
	}
	return nil
}

// commonKeys are the keys that all elements of a list have.
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

// firstMissing is the path of the first key, by name, that other has not; empty: it has all. A list without elements
// lacks none. path is that of the keys themselves, empty at the top.
func (s keySet) firstMissing(other keySet, path string) string {
	for _, name := range slices.Sorted(maps.Keys(s)) {
		inner, ok := other[name]
		if !ok && name == element {
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
