package table

import "github.com/pkg/errors"

// ErrFull is returned when a table already holds its maximum number of entries.
var ErrFull = errors.New("table is full")
