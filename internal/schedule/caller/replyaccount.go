package caller

import "io"

// ReplyAccount accounts for one answer of a replica or a peer from its first byte on. It is not
// safe for concurrent use. Without a guard it accounts for nothing.
type ReplyAccount struct {
	Guard *Guard
	// FreeBytes is held without being accounted for. Usual answers are not larger.
	FreeBytes int64

	used, held int64
}

// replyStepBytes is the least by which a ReplyAccount grows.
const replyStepBytes = 4 << 10

// Grow adds bytes. It returns ErrNoMemory if they may not be held.
func (replyaccount *ReplyAccount) Grow(bytes int64) error {
	replyaccount.used += bytes
	missing := replyaccount.used - replyaccount.FreeBytes - replyaccount.held
	if missing <= 0 || replyaccount.Guard == nil {
		return nil
	}
	missing = max(missing, replyStepBytes)
	if !replyaccount.Guard.Hold(PartReplies, replyaccount.held, missing) {
		return ErrNoMemory
	}
	replyaccount.held += missing
	return nil
}

// Release ends the account of an answer that is dropped.
func (replyaccount *ReplyAccount) Release() {
	replyaccount.Guard.Release(PartReplies, replyaccount.held)
	replyaccount.used, replyaccount.held = 0, 0
}

// MoveTo passes what is held on to the request that gets the answer, or releases it if
// requestaccount is nil.
func (replyaccount *ReplyAccount) MoveTo(requestaccount *RequestAccount) {
	if requestaccount == nil {
		replyaccount.Release()
		return
	}
	if replyaccount.Guard != nil {
		replyaccount.Guard.replySize.Observe(replyaccount.held)
	}
	if replyaccount.held > 0 {
		requestaccount.Adopt(PartReplies, replyaccount.held)
	}
	replyaccount.used, replyaccount.held = 0, 0
}

// Reader returns a reader that adds bytesFactor bytes for each byte that it reads.
func (replyaccount *ReplyAccount) Reader(reader io.Reader, bytesFactor int64) io.Reader {
	return &accountedReader{reader: reader, account: replyaccount, bytesFactor: bytesFactor}
}

// accountedReader is a reader with an account.
type accountedReader struct {
	reader      io.Reader
	account     *ReplyAccount
	bytesFactor int64
}

// Read reads into buffer. It returns ErrNoMemory if there is no memory left for the answer.
func (accountedreader *accountedReader) Read(buffer []byte) (int, error) {
	count, err := accountedreader.reader.Read(buffer)
	if count > 0 {
		if err := accountedreader.account.Grow(int64(count) * accountedreader.bytesFactor); err != nil {
			return 0, err
		}
	}
	return count, err
}
