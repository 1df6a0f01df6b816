package message

import (
	"slices"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/mailbox"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// ReportLeaving marks a replica as leaving, so that no goroutine sends it
// further requests, and reports it to control. Only the first call for a replica
// has an effect.
func ReportLeaving(mailbox *mailbox.Mailbox[Message], replica *view.Replica) {
	replica.Stats.IsLeaving.Store(true)
	if replica.Stats.IsLeavingReported.Swap(true) {
		return
	}
	leavingreplica := api.LeavingReplica{Replica: replica.Instance.Name, Incarnation: replica.Instance.Incarnation}
	mailbox.TrySend(ReplicaLeaving{LeavingReplica: leavingreplica})
}

// ReportSnapshots reports the snapshots that a replica holds to control if the
// newest of them has changed since the last report. If the mailbox is full, a
// later call reports them.
func ReportSnapshots(mailbox *mailbox.Mailbox[Message], replica *view.Replica, heldSnapshots []uint64) {
	if len(heldSnapshots) == 0 {
		return
	}
	newest := slices.Max(heldSnapshots)
	previous := replica.Stats.NewestSnapshot.Load()
	if previous == newest || !replica.Stats.NewestSnapshot.CompareAndSwap(previous, newest) {
		return
	}
	message := ReplicaSnapshotsReported{Replica: replica.Instance.Name, Incarnation: replica.Instance.Incarnation, HeldSnapshots: heldSnapshots}
	if !mailbox.TrySend(message) {
		replica.Stats.NewestSnapshot.Store(previous)
	}
}
