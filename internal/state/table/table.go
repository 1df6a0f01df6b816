// Package table provides a map with a maximum size whose entries expire.
package table

import (
	"sync"
	"time"
)

// Table is a map with a maximum size whose entries expire. It is safe for
// concurrent use. Expired entries are removed by calls to GetOrAdd, at most once
// per sweepInterval; until then they count towards the size and Get returns them.
type Table[K comparable, V any] struct {
	// mutex guards entries and sweptAt.
	mutex      sync.Mutex
	entries    map[K]entry[V]
	maxEntries int
	// sweptAt is when expired entries were last removed.
	sweptAt time.Time
}

type entry[V any] struct {
	value     V
	expiresAt time.Time
}

// sweepInterval is the minimum time between two removals of expired entries.
const sweepInterval = time.Second

// New returns an empty table that holds at most maxEntries entries.
func New[K comparable, V any](maxEntries int) *Table[K, V] {
	return &Table[K, V]{entries: make(map[K]entry[V]), maxEntries: maxEntries}
}

// GetOrAdd returns the value stored under key and false. If there is none it
// stores value until expiresAt, and returns it and true. It returns ErrFull if
// the table holds its maximum number of entries.
func (table *Table[K, V]) GetOrAdd(key K, value V, expiresAt, now time.Time) (V, bool, error) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.sweep(now)
	if stored, isStored := table.entries[key]; isStored {
		return stored.value, false, nil
	}
	if len(table.entries) >= table.maxEntries {
		return value, false, ErrFull
	}
	table.entries[key] = entry[V]{value: value, expiresAt: expiresAt}
	return value, true, nil
}

// Get returns the value stored under key, and whether there is one.
func (table *Table[K, V]) Get(key K) (V, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	stored, isStored := table.entries[key]
	return stored.value, isStored
}

// Delete removes the entry with the given key, if there is one.
func (table *Table[K, V]) Delete(key K) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	delete(table.entries, key)
}

// Each calls visit for every entry that has not expired at now, in no particular
// order. The table is locked meanwhile, so visit must not call its methods.
func (table *Table[K, V]) Each(now time.Time, visit func(key K, value V, expiresAt time.Time)) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for key, entry := range table.entries {
		if now.Before(entry.expiresAt) {
			visit(key, entry.value, entry.expiresAt)
		}
	}
}

// sweep removes the entries that have expired at now, unless it did so within the
// last sweepInterval. The caller holds mutex.
func (table *Table[K, V]) sweep(now time.Time) {
	if now.Sub(table.sweptAt) < sweepInterval {
		return
	}
	table.sweptAt = now
	for key, entry := range table.entries {
		if now.After(entry.expiresAt) {
			delete(table.entries, key)
		}
	}
}
