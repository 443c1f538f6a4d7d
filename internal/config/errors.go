package config

import "errors"

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
