// Package estimate holds moving estimates that several goroutines update.
package estimate

import "sync/atomic"

// The weight of a new value in an Upper is 1/2^riseShift if it is above the estimate, and
// 1/2^fallShift if it is below.
const (
	riseShift = 2
	fallShift = 5
)

// Upper is a moving estimate that rises faster than it falls, so that it stays near the
// greater of the values that it observes. The zero value estimates 0. An Upper is safe for
// concurrent use.
type Upper[T ~int64] struct{ value atomic.Int64 }

// Get returns the estimate.
func (upper *Upper[T]) Get() T { return T(upper.value.Load()) }

// Set replaces the estimate.
func (upper *Upper[T]) Set(value T) { upper.value.Store(int64(value)) }

// Observe updates the estimate with a value. One of two concurrent observations may be
// lost.
func (upper *Upper[T]) Observe(value T) {
	previous := upper.Get()
	difference := value - previous
	shift := riseShift
	if difference < 0 {
		shift = fallShift
	}
	if step := difference >> shift; step != 0 {
		upper.Set(previous + step)
	}
}
