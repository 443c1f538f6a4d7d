package simwire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// KeyTable lists the keys of a JSON object by name. A key that is not in the table is unknown: it may be present or
// not, and its value is ignored.
type KeyTable map[string]Key

// Key describes a key of a KeyTable. The zero value is a required key whose value has no keys of its own.
type Key struct {
	Optional bool     // the key may be missing; null counts as missing
	Object   KeyTable // the value is an object with these keys; nil: it is no object
	List     KeyTable // the value is a list of objects with these keys; nil: it is no list of objects
}

// CheckKeys returns a *KeyPathError if a value that encoding/json has decoded is not an object with all required keys
// of the table, in its inner objects and in each element of its lists, too. Of several it names the first, sorted by
// name. path is the path of the value, "" for the whole document.
func (t KeyTable) CheckKeys(value any, path string) error {
	object, ok := value.(map[string]any)
	if !ok {
		return &KeyPathError{Key: path, Problem: "must be an object"}
	}
	for _, name := range slices.Sorted(maps.Keys(t)) {
		if err := t[name].check(object[name], joinPath(path, name)); err != nil {
			return err
		}
	}
	return nil
}

// check checks the value of a key, which is nil if the object doesn't have the key.
func (k Key) check(value any, path string) error {
	switch {
	case value == nil && k.Optional:
		return nil
	case value == nil:
		return &KeyPathError{Key: path, Problem: "is missing: a value other than null is required"}
	case k.Object != nil:
		return k.Object.CheckKeys(value, path)
	case k.List != nil:
		return k.checkList(value, path)
	default:
		return nil
	}
}

func (k Key) checkList(value any, path string) error {
	list, ok := value.([]any)
	if !ok {
		return &KeyPathError{Key: path, Problem: "must be a list"}
	}
	for i, element := range list {
		if err := k.List.CheckKeys(element, fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return nil
}

// Decode decodes the keys of a JSON document that the table lists into target, a pointer to a struct, and returns the
// whole document as encoding/json decodes it to any, with numbers as json.Number. Names of keys are case-sensitive,
// unlike those of json.Unmarshal, which would take an unknown key for a known one in other case. Decode doesn't check
// that the document has all keys. The error is one of encoding/json.
func (t KeyTable) Decode(raw []byte, target any) (document any, err error) {
	var syntaxCheck json.RawMessage
	if err := json.Unmarshal(raw, &syntaxCheck); err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber() // so that no number is changed or out of range before its key is known
	if err := decoder.Decode(&document); err != nil {
		return nil, err
	}
	known, err := json.Marshal(t.prune(document))
	if err != nil {
		return nil, err
	}
	return document, json.Unmarshal(known, target)
}

// prune returns a value without the keys that the table doesn't list. It returns a value that is no object as it is.
func (t KeyTable) prune(value any) any {
	object, ok := value.(map[string]any)
	if !ok {
		return value
	}
	known := map[string]any{}
	for name, key := range t {
		if inner, ok := object[name]; ok {
			known[name] = key.prune(inner)
		}
	}
	return known
}

func (k Key) prune(value any) any {
	list, isList := value.([]any)
	switch {
	case k.Object != nil:
		return k.Object.prune(value)
	case k.List == nil || !isList:
		return value
	}
	known := make([]any, len(list))
	for i, element := range list {
		known[i] = k.List.prune(element)
	}
	return known
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// KeyPathError means that a key of a JSON document is missing or has a value of the wrong kind.
type KeyPathError struct {
	Key     string // path, for example "profiles[1].giveUpS"; empty: the whole document
	Problem string // what is wrong, without the key
}

// Error returns the key and the problem.
func (e *KeyPathError) Error() string {
	if e.Key == "" {
		return e.Problem
	}
	return e.Key + " " + e.Problem
}
