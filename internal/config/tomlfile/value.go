package tomlfile

import (
	"fmt"
	"time"
)

// Duration is a duration with the text form of settings, for example "1.5s" or "250ms".
type Duration time.Duration

// UnmarshalText parses a duration of 0 or more.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil || value < 0 {
		return fmt.Errorf("%q is not a duration of 0 or more, for example \"1.5s\" or \"250ms\"", text)
	}
	*d = Duration(value)
	return nil
}

// MarshalText formats a duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Seconds returns the duration in seconds.
func (d Duration) Seconds() float64 { return time.Duration(d).Seconds() }

// Fill sets a value to its default if it is zero, which means that the file omits it.
func Fill[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}
