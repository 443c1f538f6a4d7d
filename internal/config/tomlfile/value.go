package tomlfile

import (
	"fmt"
	"time"
)

// Duration is a time as settings write it: "1.5s", "250ms".
type Duration time.Duration

// UnmarshalText reads a duration of 0 or more.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil || value < 0 {
		return fmt.Errorf("%q is no time such as \"1.5s\" or \"250ms\"", text)
	}
	*d = Duration(value)
	return nil
}

// MarshalText writes a duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Seconds is the duration in seconds.
func (d Duration) Seconds() float64 { return time.Duration(d).Seconds() }

// Fill sets a value that the file left out.
func Fill[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}
