package api_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// A store that was restored from a copy states version 7 of a document in a later era than
// that in which version 9 was written.
func ExamplePrecedence_After() {
	written := api.Document{Key: "config", Era: 1, Revision: 900, Number: api.Number{Sequence: 9}}
	copied := api.Document{Key: "config", Era: 2, Revision: 850, Number: api.Number{Sequence: 7}}
	fmt.Println(copied.Version().After(written.Version()), copied.Precedence().After(written.Precedence()))
	// Output: true false
}

// TestPrecedence checks which of two documents of one key is newer.
func TestPrecedence(t *testing.T) {
	document := func(incarnation, sequence, era, revision uint64) api.Document {
		return api.Document{Era: era, Revision: revision, Number: api.Number{Incarnation: incarnation, Sequence: sequence}}
	}
	removal := document(0, 9, 1, 900)
	removal.IsDeleted = true
	tests := map[string]struct{ newer, older api.Document }{
		"a higher number in an earlier era":   {newer: document(0, 9, 1, 900), older: document(0, 7, 2, 850)},
		"a higher number at a lower revision": {newer: document(0, 9, 1, 800), older: document(0, 8, 1, 801)},
		"the same number in a later era":      {newer: document(0, 9, 2, 850), older: document(0, 9, 1, 900)},
		"the same number, written later":      {newer: document(0, 9, 1, 901), older: document(0, 9, 1, 900)},
		"no numbers":                          {newer: document(0, 0, 2, 850), older: document(0, 0, 1, 900)},
		"a number and none":                   {newer: document(0, 1, 1, 900), older: document(0, 0, 1, 901)},
		"a newer process counts anew":         {newer: document(4, 0, 1, 900), older: document(3, 20, 2, 850)},
		"a removal and what it removes":       {newer: removal, older: document(0, 9, 1, 900)},
		"what is written after a removal":     {newer: document(0, 9, 1, 901), older: removal},
		"a removal and a lower number":        {newer: removal, older: document(0, 8, 1, 901)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, test.newer.Precedence().After(test.older.Precedence()))
			assert.Assert(t, !test.older.Precedence().After(test.newer.Precedence()))
			assert.Assert(t, !test.newer.Precedence().After(test.newer.Precedence()))
		})
	}
}
