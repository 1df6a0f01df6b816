package message

import (
	"slices"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/mailbox"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// ReportLeaving makes traffic stop using a replica at once and tells control.
func ReportLeaving(mailbox *mailbox.Mailbox[Message], replica *view.Replica) {
	if replica.Stats.IsLeaving.Swap(true) {
		return
	}
	mark := api.LeavingReplica{Replica: replica.Instance.Name, Incarnation: replica.Instance.Incarnation}
	mailbox.TrySend(ReplicaLeaving{LeavingReplica: mark})
}

// ReportSnapshots tells control which snapshots a replica holds, when the newest
// of them changed.
func ReportSnapshots(mailbox *mailbox.Mailbox[Message], replica *view.Replica, held []uint64) {
	if len(held) == 0 {
		return
	}
	newest := slices.Max(held)
	old := replica.Stats.NewestSnapshot.Load()
	if old == newest || !replica.Stats.NewestSnapshot.CompareAndSwap(old, newest) {
		return
	}
	message := ReplicaSnapshotsReported{Replica: replica.Instance.Name, Incarnation: replica.Instance.Incarnation, HeldSnapshots: held}
	if !mailbox.TrySend(message) {
		replica.Stats.NewestSnapshot.Store(old)
	}
}
