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

var update = flag.Bool("update", false, "overwrite the golden files with the results")

// golden returns the content of a golden file. With -update it first writes got to the file.
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

// requireSet fails for each key of a file type that none of the values sets, because a test would not notice if such a
// key were renamed. For a list it is enough that one of the elements sets the key.
func requireSet(t *testing.T, path string, values ...reflect.Value) {
	t.Helper()
	if len(values) == 0 {
		t.Errorf("%s: got an empty list, want the golden file to set every key", path)
		return
	}
	switch values[0].Kind() {
	case reflect.Pointer:
		if values[0].IsNil() {
			t.Errorf("%s: got nil, want the golden file to set every key", path)
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
			t.Errorf("%s: got zero, want the golden file to set every key", path)
		}
	}
}

// requireFieldsSet is requireSet for structs of one type. It also fails for fields without a toml tag.
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
			t.Errorf("%s.%s: got no toml tag, want one because the key would follow the field's name", path, field.Name)
		}
		var all []reflect.Value
		for _, value := range values {
			all = append(all, value.Field(i))
		}
		requireSet(t, path+"."+field.Name, all...)
	}
}

// encode encodes a value as TOML in the same way as the converter of nginx configurations.
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

// requireEqual compares two structs field by field, so that a failure message names the field that differs.
func requireEqual(t *testing.T, path string, got, want any) {
	t.Helper()
	gotValue, wantValue := reflect.ValueOf(got), reflect.ValueOf(want)
	if gotValue.Kind() != reflect.Struct {
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v", path, got, want)
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
			t.Errorf("%s.%s: got %+v, want %+v", path, field.Name, gotField, wantField)
		}
	}
}
