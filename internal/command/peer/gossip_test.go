package peer

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// TestBeginRead checks which announcements of a document start a read: each revision
// is read from one of the neighbours that announce it, and the others are kept in
// case that the read fails.
func TestBeginRead(t *testing.T) {
	type announcement struct {
		after    time.Duration
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
					pendingread := peers.beginRead(api.KeyRevision{Key: "instances/i-1", Revision: announcement.revision}, announcement.address)
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
