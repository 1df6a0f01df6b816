package view

import (
	"fmt"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// SupersededReason states why a document that the store states is not in force.
type SupersededReason string

// The reasons why a document is superseded.
const (
	// SupersededByRestore is the reason if the store was restored from a copy of before
	// the document in force.
	SupersededByRestore SupersededReason = "the store was restored from a copy that is older than the document in force"
	// SupersededByNumber is the reason if a document with a lower number was written
	// after the one in force.
	SupersededByNumber SupersededReason = "it was written after the document in force, with a lower number or none"
	// SupersededByLoss is the reason if the store states no document of the key.
	SupersededByLoss SupersededReason = "the store was restored from a copy that lacks the document in force"
)

// SupersededKey describes a key whose document in the store is older than the one in
// force, or that the restored store lacks.
type SupersededKey struct {
	Key string `json:"key"`
	// StatedNumber, StatedEra and StatedRevision are those of the document in the store;
	// 0 if it lacks the key.
	StatedNumber   api.Number `json:"statedNumber"`
	StatedEra      uint64     `json:"statedEra,omitempty"`
	StatedRevision uint64     `json:"statedRevision"`
	// NumberInForce, EraInForce and RevisionInForce are those of the document in force.
	NumberInForce   api.Number `json:"numberInForce"`
	EraInForce      uint64     `json:"eraInForce,omitempty"`
	RevisionInForce uint64     `json:"revisionInForce"`
	// IsRemoved is set if the document in force is a removal.
	IsRemoved bool `json:"removed,omitempty"`
	// IsConfiguration is set if the key defines what requests are sent where.
	IsConfiguration bool             `json:"configuration"`
	Reason          SupersededReason `json:"reason"`
	// Since is when the instance learned of the document in the store.
	Since time.Time `json:"since"`
}

// Remedy returns what an operator can do about the difference.
func (supersededkey SupersededKey) Remedy() string {
	if !supersededkey.IsConfiguration {
		return "none is needed: the replica writes its entry again, or the entry is removed"
	}
	if supersededkey.NumberInForce.IsZero() {
		return "write it again, and then remove it if it is no longer wanted"
	}
	return fmt.Sprintf("write a version above %d", supersededkey.NumberInForce.Sequence)
}

// SupersededConfigurations returns the superseded keys that define what requests are sent
// where.
func (view *View) SupersededConfigurations() []SupersededKey {
	var configurations []SupersededKey
	for _, supersededkey := range view.SupersededKeys {
		if supersededkey.IsConfiguration {
			configurations = append(configurations, supersededkey)
		}
	}
	return configurations
}
