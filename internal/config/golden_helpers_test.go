package config

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
)

var update = flag.Bool("update", false, "write the golden files anew")

// golden reads a golden file. With -update it is written first.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return want
}

// requireSet fails where a key of a file type is set by none of some values: such a key could get another name unseen.
// Elements of a list may set it between them.
func requireSet(t *testing.T, path string, values ...reflect.Value) {
	t.Helper()
	if len(values) == 0 {
		t.Errorf("%s is empty: the golden file has to set every key", path)
		return
	}
	switch values[0].Kind() {
	case reflect.Pointer:
		if values[0].IsNil() {
			t.Errorf("%s is nil: the golden file has to set every key", path)
			return
		}
		requireSet(t, path, values[0].Elem())
	case reflect.Struct:
		requireFieldsSet(t, path, values)
	case reflect.Slice:
		var elements []reflect.Value
		for _, list := range values {
			for i := range list.Len() {
				elements = append(elements, list.Index(i))
			}
		}
		requireSet(t, path, elements...)
	default:
		if !slices.ContainsFunc(values, func(v reflect.Value) bool { return !v.IsZero() }) {
			t.Errorf("%s is zero: the golden file has to set every key", path)
		}
	}
}

// requireFieldsSet is requireSet for structs of one type. Each field needs a tag.
func requireFieldsSet(t *testing.T, path string, values []reflect.Value) {
	t.Helper()
	structure := values[0].Type()
	if structure == reflect.TypeFor[time.Time]() {
		return
	}
	for i := range structure.NumField() {
		field := structure.Field(i)
		key := field.Tag.Get("toml")
		if key == "-" {
			continue
		}
		if key == "" && !field.Anonymous {
			t.Errorf("%s.%s has no toml tag: its key would follow the field's name", path, field.Name)
		}
		var all []reflect.Value
		for _, value := range values {
			all = append(all, value.Field(i))
		}
		requireSet(t, path+"."+field.Name, all...)
	}
}

// encode writes a value as TOML, as the converter of nginx configurations does.
func encode(t *testing.T, v any) []byte {
	t.Helper()
	var b bytes.Buffer
	enc := toml.NewEncoder(&b)
	enc.Indent = ""
	if err := enc.Encode(v); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// requireEqual compares two structs field by field, so that a message names the field at fault.
func requireEqual(t *testing.T, path string, got, want any) {
	t.Helper()
	gotValue, wantValue := reflect.ValueOf(got), reflect.ValueOf(want)
	if gotValue.Kind() != reflect.Struct {
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s is %+v, wanted %+v", path, got, want)
		}
		return
	}
	for i := range gotValue.NumField() {
		field := gotValue.Type().Field(i)
		if !field.IsExported() {
			continue
		}
		gotField, wantField := gotValue.Field(i).Interface(), wantValue.Field(i).Interface()
		if !reflect.DeepEqual(gotField, wantField) {
			t.Errorf("%s.%s is %+v, wanted %+v", path, field.Name, gotField, wantField)
		}
	}
}
