package control_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
)

// TestDigestsOfVersions checks that the digests of documents without use are those of
// earlier instances, which kept them whole. If they differed, instances of both
// versions would sync all the time in a rolling upgrade.
func TestDigestsOfVersions(t *testing.T) {
	refused := written("instances/odd", 0, 7, "broken")
	refused.RefusalReason = "broken"
	ignored := written("notes/a", 0, 8, "a note")
	ignored.IgnoredReason = "its key is not used"
	removed := written("instances/odd", 0, 9, "")
	removed.Document.IsDeleted = true
	tests := map[string]struct {
		documents []api.DecodedDocument
		want      uint64
	}{
		"a refused document":      {documents: []api.DecodedDocument{refused}, want: 8332123699436470060},
		"an ignored document":     {documents: []api.DecodedDocument{ignored}, want: 1290382462018187692},
		"a refused one, removed":  {documents: []api.DecodedDocument{refused, removed}, want: 3074629573198157856},
		"refused beside an entry": {documents: []api.DecodedDocument{written("instances/odd", 0, 6, "x"), refused}, want: 9114367130514980884},
		"all":                     {documents: []api.DecodedDocument{numbered(0, 5, 3), ignored, refused}, want: 8762783719238414991},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := newState("a")
			for _, decoded := range test.documents {
				control.Apply(state, message.DocumentReceived{Decoded: decoded}, start)
			}
			assert.Equal(t, control.Build(state, control.RebuildAll).ConfigDigest, test.want)
		})
	}
}
