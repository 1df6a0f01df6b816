package peer

import (
	"context"
	crand "crypto/rand"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
)

// TestSyncsFitTheirReader guards against a peer whose documents do not fit into one reply,
// which the reader then asks for again and again, while each peer builds all of it
// (review/12). With each sync the reader must get further, until it has all, also if the
// documents are valid; of those that cannot be used, peers must send no content.
func TestSyncsFitTheirReader(t *testing.T) {
	const megabyte = 1 << 20
	tests := map[string]struct {
		count, bytes int
		isRefused    bool
		// maxHeldBytes bounds what the reader then holds.
		maxHeldBytes int
	}{
		"refused documents of 1 MB":  {count: 30, bytes: megabyte, isRefused: true, maxHeldBytes: 64 << 10},
		"valid documents of 1 MB":    {count: 30, bytes: megabyte, maxHeldBytes: 31 * megabyte},
		"valid documents of 100 KB":  {count: 200, bytes: 100 << 10, maxHeldBytes: 21 * megabyte},
		"many small valid documents": {count: 6_000, bytes: 600, maxHeldBytes: 8 * megabyte},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			holder, holderControl := listen(t, "holder")
			reader, readerControl := listen(t, "reader")
			for number := range test.count {
				value := make([]byte, test.bytes)
				_, _ = crand.Read(value)
				decoded := api.DecodedDocument{Document: api.Document{Key: fmt.Sprintf("key-%04d", number), Revision: uint64(number + 1), Value: value}}
				if test.isRefused {
					decoded.RefusalReason = "broken"
				}
				assert.NilError(t, holderControl.Mailbox.Send(t.Context(), message.DocumentReceived{Decoded: decoded}))
			}
			knownCount := func(peers *Peers) int { return len(peers.currentView.Load().KeyStatuses) }
			await(t, func() bool { return knownCount(holder) == test.count })
			for last := 0; last < test.count; {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				// On a busy machine the time may end between two replies.
				err := reader.Sync(ctx, holder.Address())
				cancel()
				for wait := 0; knownCount(reader) == last; wait++ {
					assert.Assert(t, wait < 2_000, "nothing came: %v", err)
					time.Sleep(5 * time.Millisecond)
				}
				last = knownCount(reader)
			}
			heldBytes := 0
			current := readerControl.CurrentView.Load()
			for _, documents := range []map[string]api.Document{current.DocumentsInForce, current.RefusedDocuments} {
				for _, document := range documents {
					heldBytes += len(document.Value)
				}
			}
			assert.Assert(t, heldBytes <= test.maxHeldBytes, "%d bytes", heldBytes)
			await(t, func() bool {
				return readerControl.CurrentView.Load().ConfigDigest == holderControl.CurrentView.Load().ConfigDigest
			})
		})
	}
}
