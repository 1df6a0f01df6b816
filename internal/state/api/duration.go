package api

import (
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is written as text, such as "98ms" or "5s".
type Duration struct{ time.Duration }

// UnmarshalText parses the format of time.ParseDuration.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration; allowed: a number and a unit, as 250ms or 5s", text)
	}
	duration.Duration = parsed
	return nil
}

// MarshalText returns the duration in the format that UnmarshalText parses.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(duration.String()), nil
}
