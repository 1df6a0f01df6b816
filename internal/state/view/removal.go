package view

import "time"

// RemovalRule names what was decided about the removal of a document.
type RemovalRule string

// The decisions about a removal.
const (
	// RemovalApplied means that the removal is in force: the store reported it, or a
	// listing lacks the key, while the store was available.
	RemovalApplied RemovalRule = "applied"
	// RemovalHeldBack means that the key may be written again, since its lease may have
	// expired while the store was unavailable, or since the store was restored.
	RemovalHeldBack RemovalRule = "heldBack"
	// RemovalLost means that the store was restored from a copy without a document of
	// the configuration, which stays in force.
	RemovalLost RemovalRule = "lostByStore"
)

// HeldBackRemoval is a removal that is not in force yet.
type HeldBackRemoval struct {
	Key string `json:"key"`
	// Replicas names the instances of the document.
	Replicas []string `json:"replicas,omitempty"`
	// DueAt is when the removal is in force unless the key is written again.
	DueAt time.Time `json:"dueAt"`
}
