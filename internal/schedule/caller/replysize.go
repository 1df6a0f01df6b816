package caller

import "sync/atomic"

// replySize is a moving estimate of the memory that a whole answer of a replica takes of
// PartReplies. It rises faster than it falls. It is safe for concurrent use.
type replySize struct{ bytes atomic.Int64 }

const (
	// initialReplyBytes is the estimate before the first answer.
	initialReplyBytes = 16 << 10
	// The weight of a new answer in the estimate is 1/2^replyRiseShift if it is above
	// the estimate, and 1/2^replyFallShift if it is below.
	replyRiseShift = 2
	replyFallShift = 5
)

func (replysize *replySize) get() int64 { return replysize.bytes.Load() }

// observe updates the estimate with a whole answer. One of two concurrent observations may
// be lost.
func (replysize *replySize) observe(bytes int64) {
	previous := replysize.get()
	difference := bytes - previous
	shift := replyRiseShift
	if difference < 0 {
		shift = replyFallShift
	}
	if step := difference >> shift; step != 0 {
		replysize.bytes.Store(max(previous+step, 0))
	}
}
