package control

import (
	"cmp"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// defaultOutageAfter is the default of State.OutageAfter, which fits the default settings
// of the reader.
const defaultOutageAfter = 43200 * time.Millisecond

// applyPlatformAnswered merges what this instance and the sender know of the times at
// which the platform answered. Each knows of a span, from its first known answer to the
// latest one. If the spans lie further apart than OutageAfter, or in two eras, the platform
// may have been unavailable in between. What was before the first answer to this instance
// is taken from a peer that knows of earlier answers.
func applyPlatformAnswered(state *State, answered message.PlatformAnswered, now time.Time) Effects {
	mine := message.PlatformAnswered{AnsweredAt: state.PlatformAnsweredAt, Era: state.Era, KnownSince: state.PlatformKnownSince}
	effects := learnEra(state, answered.Era, now)
	if answered.AnsweredAt.IsZero() {
		return effects
	}
	if answered.KnownSince.IsZero() {
		answered.KnownSince = answered.AnsweredAt
	}
	isFirst := mine.AnsweredAt.IsZero()
	if !isFirst {
		earlier, later := mine, answered
		if cmp.Or(cmp.Compare(later.Era, earlier.Era), later.AnsweredAt.Compare(earlier.AnsweredAt)) < 0 {
			earlier, later = later, earlier
		}
		if later.Era > earlier.Era || later.KnownSince.Sub(earlier.AnsweredAt) > state.OutageAfter {
			raiseReturnedAt(state, later.KnownSince)
		}
	}
	if isFirst || answered.KnownSince.Before(mine.KnownSince) {
		state.PlatformKnownSince = answered.KnownSince
		raiseReturnedAt(state, answered.ReturnedAt)
	}
	if answered.IsAfterFailure {
		raiseReturnedAt(state, answered.AnsweredAt)
	}
	if answered.AnsweredAt.After(state.PlatformAnsweredAt) {
		state.PlatformAnsweredAt = answered.AnsweredAt
		effects.PublishStats = true
	}
	return effects
}

// raiseReturnedAt records the end of an outage if it is the latest one known.
func raiseReturnedAt(state *State, returnedAt time.Time) {
	if returnedAt.After(state.PlatformReturnedAt) {
		state.PlatformReturnedAt = returnedAt
	}
}

// mayHaveLapsed reports whether a key may be missing only because its lease expired while
// the store was unavailable, so that its owner is about to write it again.
func mayHaveLapsed(state *State, now time.Time) bool {
	return now.Before(lapseEnd(state, now))
}

// lapseEnd returns when a lease that may have expired while the store was unavailable no
// longer explains that a key is missing.
func lapseEnd(state *State, now time.Time) time.Time {
	steadySince := steadySince(state)
	if steadySince.IsZero() {
		steadySince = now
	}
	return steadySince.Add(registrationTime)
}

// steadySince returns view.SteadySince of what the state knows of the platform.
func steadySince(state *State) time.Time {
	return view.SteadySince(state.PlatformKnownSince, state.PlatformReturnedAt)
}
