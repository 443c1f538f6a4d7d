package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"

	"spurwinch/internal/config/tomlfile"
	"spurwinch/internal/simwire"
)

var (
	// ErrNoConfigFile means that the environment doesn't name the node's configuration file.
	ErrNoConfigFile = errors.New("GW_CONFIG is not set")
	// ErrEmptyFile means that a config.json contains nothing but white space.
	ErrEmptyFile = errors.New("the file is empty, it must contain a JSON object")
	// ErrNoObject means that a config.json contains a JSON value that is not an object.
	ErrNoObject = errors.New("the file must contain a JSON object: {\"name\": ..., \"settings\": {...}}")
)

// FileError is the error for an invalid config.json.
type FileError struct {
	File string
	Err  error // a *KeyError if one key is invalid
}

// Error returns the file and the cause in one line.
func (e *FileError) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// KeyError is the error for an invalid or missing key of a config.json.
type KeyError struct {
	Key     string // path, for example "limits.sockets"
	Problem string // the invalid value and what is allowed, for operators
	Err     error  // the error of another package, if that is the cause; its text is part of Problem
}

// Error returns the problem, for operators.
func (e *KeyError) Error() string { return e.Problem }

// Unwrap returns the error of another package that is the cause, or nil.
func (e *KeyError) Unwrap() error { return e.Err }

// InvalidKey returns the path of the key that the error of a configuration file is about, for example "settings.index"
// or "cluster.0.discovery". Of several faults it returns the first. It returns "" if the error is about no key, for
// example for a syntax error.
func InvalidKey(err error) string {
	var keyError *KeyError
	var faults tomlfile.Faults
	switch {
	case errors.As(err, &keyError):
		return keyError.Key
	case errors.As(err, &faults):
		return faults[0].Key
	default:
		return ""
	}
}

// settingsKey is the key of the settings object, which package simwire decodes.
const settingsKey = "settings"

// keyPathError converts an error of a key table to a *KeyError.
func keyPathError(err error) error {
	var invalid *simwire.KeyPathError
	if !errors.As(err, &invalid) {
		return err
	}
	return &KeyError{Key: invalid.Key, Problem: invalid.Error(), Err: err}
}

// valueError converts the JSON decoder's error for a value of a wrong type to a *KeyError.
func valueError(err error) error {
	var invalid *json.UnmarshalTypeError
	if !errors.As(err, &invalid) {
		return err
	}
	problem := fmt.Sprintf("%s must be %s, got a JSON %s", invalid.Field, jsonType(invalid.Type), invalid.Value)
	return &KeyError{Key: invalid.Field, Problem: problem, Err: err}
}

// jsonType returns the JSON type, with its article, that the decoder wants for a Go type.
func jsonType(wanted reflect.Type) string {
	switch wanted.Kind() {
	case reflect.Struct, reflect.Map, reflect.Pointer:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	default:
		return "of type " + wanted.String()
	}
}

// settingsError converts an error of simwire.DecodeSettings to a *KeyError.
func settingsError(err error) error {
	key := settingsKey
	var invalid *simwire.SetupError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &invalid) && invalid.Key != "":
		key += "." + invalid.Key
	case errors.As(err, &wrongType) && wrongType.Field != "":
		key += "." + wrongType.Field
	}
	return &KeyError{Key: key, Problem: settingsKey + ": " + err.Error(), Err: err}
}
