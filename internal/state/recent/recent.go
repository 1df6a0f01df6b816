// Package recent provides a map with a maximum size that holds the entries used last.
package recent

import "container/list"

// Latest is a map with a maximum size. Of more entries it holds those used last. It is not
// safe for concurrent use.
type Latest[K comparable, V any] struct {
	maxEntries int
	// elements holds the elements of order, of type entry[K, V], by key.
	elements map[K]*list.Element
	// order begins with the entry used last.
	order *list.List
}

type entry[K comparable, V any] struct {
	key   K
	value V
}

// New returns an empty map that holds at most maxEntries entries.
func New[K comparable, V any](maxEntries int) *Latest[K, V] {
	return &Latest[K, V]{maxEntries: maxEntries, elements: make(map[K]*list.Element), order: list.New()}
}

// Get returns the value stored under key, and whether there is one. The entry counts as
// used.
func (latest *Latest[K, V]) Get(key K) (V, bool) {
	element, isStored := latest.elements[key]
	if !isStored {
		var zero V
		return zero, false
	}
	latest.order.MoveToFront(element)
	return element.Value.(entry[K, V]).value, true
}

// Put stores value under key, which must not be stored. It returns the value that gives
// way, and whether there is one.
func (latest *Latest[K, V]) Put(key K, value V) (evicted V, isEvicted bool) {
	if latest.IsFull() {
		oldest := latest.order.Back()
		removed := latest.order.Remove(oldest).(entry[K, V])
		delete(latest.elements, removed.key)
		evicted, isEvicted = removed.value, true
	}
	latest.elements[key] = latest.order.PushFront(entry[K, V]{key: key, value: value})
	return evicted, isEvicted
}

// Oldest returns the value that was used longest ago, and whether there is one.
func (latest *Latest[K, V]) Oldest() (V, bool) {
	oldest := latest.order.Back()
	if oldest == nil {
		var zero V
		return zero, false
	}
	return oldest.Value.(entry[K, V]).value, true
}

// IsFull reports whether the next Put makes an entry give way.
func (latest *Latest[K, V]) IsFull() bool { return len(latest.elements) >= latest.maxEntries }

// Len returns the number of entries.
func (latest *Latest[K, V]) Len() int { return len(latest.elements) }
