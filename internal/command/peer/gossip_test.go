package peer

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// TestBeginRead checks which announcements of a document start a read: each revision
// is read from one of the neighbours that announce it, and the others are kept in
// case that the read fails.
func TestBeginRead(t *testing.T) {
	type announcement struct {
		after    time.Duration
		era      uint64
		revision uint64
		address  string
	}
	tests := map[string]struct {
		announcements []announcement
		// wantReads holds the addresses from which the document is read;
		// wantOther is the other source of the first read.
		wantReads []string
		wantOther string
	}{
		"one neighbour":               {announcements: []announcement{{revision: 7, address: "b"}}, wantReads: []string{"b"}},
		"the same from three":         {announcements: []announcement{{revision: 7, address: "b"}, {revision: 7, address: "c"}, {revision: 7, address: "d"}}, wantReads: []string{"b"}, wantOther: "d"},
		"an older one in between":     {announcements: []announcement{{revision: 7, address: "b"}, {revision: 6, address: "c"}}, wantReads: []string{"b"}, wantOther: "c"},
		"a newer one":                 {announcements: []announcement{{revision: 7, address: "b"}, {revision: 8, address: "c"}}, wantReads: []string{"b", "c"}},
		"a lower one of a higher era": {announcements: []announcement{{era: 1, revision: 7, address: "b"}, {era: 2, revision: 6, address: "c"}}, wantReads: []string{"b", "c"}},
		"a higher one of a lower era": {announcements: []announcement{{era: 2, revision: 7, address: "b"}, {era: 1, revision: 8, address: "c"}}, wantReads: []string{"b"}, wantOther: "c"},
		"again after the read's time": {announcements: []announcement{{revision: 7, address: "b"}, {after: callTimeout, revision: 7, address: "c"}}, wantReads: []string{"b", "c"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := &Peers{}
				documentreader := &documentReader{peers: peers}
				var reads []string
				for _, announcement := range test.announcements {
					time.Sleep(announcement.after)
					pendingread := peers.beginRead(api.KeyRevision{Key: "instances/i-1", Era: announcement.era, Revision: announcement.revision}, announcement.address)
					if pendingread != nil {
						reads = append(reads, announcement.address)
						documentreader.pendingReads = append(documentreader.pendingReads, pendingread)
					}
				}
				assert.DeepEqual(t, reads, test.wantReads)
				assert.Equal(t, documentreader.otherSource(), test.wantOther)
				time.Sleep(callTimeout + time.Millisecond)
				peers.deleteOldReads()
				_, isKept := peers.pendingReads.Load("instances/i-1")
				assert.Assert(t, !isKept)
			})
		})
	}
}

// TestNewerDocuments checks which documents of a restored store a peer is sent, by what
// it holds, and that the compressed form of an earlier era is not sent in their place.
func TestNewerDocuments(t *testing.T) {
	value := []byte(strings.Repeat("x", 4_000))
	inForce := api.Document{Key: "k", Era: 2, Revision: 850, Value: value}
	refused := api.Document{Key: "k", Era: 2, Revision: 860, Value: []byte("broken")}
	current := &view.View{DocumentsInForce: map[string]api.Document{"k": inForce}, RefusedDocuments: map[string]api.Document{"k": refused}}
	tests := map[string]struct {
		inForce, refused api.Version
		// want holds the versions that are sent.
		want []api.Version
	}{
		"nothing":                          {want: []api.Version{inForce.Version(), refused.Version()}},
		"a higher revision of a lower era": {inForce: api.Version{Era: 1, Revision: 900}, want: []api.Version{inForce.Version(), refused.Version()}},
		"the same":                         {inForce: inForce.Version(), refused: refused.Version()},
		"a higher era":                     {inForce: api.Version{Era: 3, Revision: 1}, want: []api.Version{refused.Version()}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			peers := &Peers{}
			earlier := api.Document{Key: "k", Era: 1, Revision: 850, Value: []byte(strings.Repeat("w", 4_000))}
			peers.compressDocuments([]api.Document{earlier})
			var sent []api.Version
			held := view.HeldVersions{InForce: api.Precedence{Stored: test.inForce}, Refused: test.refused}
			for _, document := range peers.compressDocuments(current.DocumentsLacked("k", held)) {
				sent = append(sent, document.Version())
			}
			assert.DeepEqual(t, sent, test.want)
		})
	}
}
