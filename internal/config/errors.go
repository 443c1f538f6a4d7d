package config

import "errors"

var (
	// ErrNoConfigFile says that the environment doesn't name the file of the node's configuration.
	ErrNoConfigFile = errors.New("GW_CONFIG is not set")
	// ErrEmptyFile says that a config.json has nothing in it.
	ErrEmptyFile = errors.New("the file is empty: a JSON object is wanted")
	// ErrNoObject says that a config.json holds another JSON value than an object.
	ErrNoObject = errors.New("no JSON object: {\"name\": ..., \"settings\": {...}} is wanted")
)

// FileError says that a config.json can't be used.
type FileError struct {
	File string
	Err  error // a *KeyError where one key is at fault
}

// Error is the file and what is wrong with it, in one line.
func (e *FileError) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap is the cause.
func (e *FileError) Unwrap() error { return e.Err }

// KeyError says which key of a config.json is at fault.
type KeyError struct {
	Key     string // path, as in "limits.sockets"
	Problem string // what was found and what is wanted, as operators read it
	Err     error  // the cause, where another package found it; its text is part of Problem
}

// Error is the problem, as operators read it.
func (e *KeyError) Error() string { return e.Problem }

// Unwrap is the cause, where another package found it.
func (e *KeyError) Unwrap() error { return e.Err }
