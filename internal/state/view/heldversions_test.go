package view_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// TestDocumentsLacked checks what a peer is sent by an instance on which version 9 is in
// force although the restored store states version 7 and then a broken one, and which of it
// the peer reads when it is announced.
func TestDocumentsLacked(t *testing.T) {
	document := func(era, revision, sequence uint64) api.Document {
		return api.Document{Key: "k", Era: era, Revision: revision, Number: api.Number{Sequence: sequence}}
	}
	inForce, superseded, refused := document(1, 900, 9), document(2, 850, 7), document(2, 860, 0)
	current := &view.View{
		DocumentsInForce:    map[string]api.Document{"k": inForce},
		SupersededDocuments: map[string]api.Document{"k": superseded},
		RefusedDocuments:    map[string]api.Document{"k": refused},
	}
	tests := map[string]struct {
		held view.HeldVersions
		// want is what is sent, and wantRead what is read of three announcements.
		want, wantRead []api.Document
	}{
		"nothing":              {want: []api.Document{inForce, superseded, refused}, wantRead: []api.Document{inForce, superseded, refused}},
		"all":                  {held: current.HeldVersions("k")},
		"the one in force":     {held: view.HeldVersions{InForce: inForce.Precedence()}, want: []api.Document{superseded, refused}, wantRead: []api.Document{superseded, refused}},
		"the copy's in force":  {held: view.HeldVersions{InForce: superseded.Precedence()}, want: []api.Document{inForce, refused}, wantRead: []api.Document{inForce, refused}},
		"all but the refused":  {held: view.HeldVersions{InForce: inForce.Precedence(), Superseded: superseded.Version()}, want: []api.Document{refused}, wantRead: []api.Document{refused}},
		"a higher version":     {held: view.HeldVersions{InForce: document(2, 870, 11).Precedence()}, want: []api.Document{refused}},
		"a later one between":  {held: view.HeldVersions{InForce: inForce.Precedence(), Superseded: document(2, 870, 8).Version()}, want: []api.Document{refused}},
		"an earlier era alone": {held: view.HeldVersions{InForce: document(1, 850, 7).Precedence()}, want: []api.Document{inForce, superseded, refused}, wantRead: []api.Document{inForce, superseded, refused}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, current.DocumentsLacked("k", test.held), test.want)
			var read []api.Document
			for _, announced := range []api.Document{inForce, superseded, refused} {
				if test.held.Lacks(announced.KeyRevision()) {
					read = append(read, announced)
				}
			}
			assert.DeepEqual(t, read, test.wantRead)
		})
	}
}
