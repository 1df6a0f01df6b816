package caller

import "io"

// Reading accounts for one answer of a replica or a peer from its first byte on. It is not
// safe for concurrent use. Without a guard it accounts for nothing.
type Reading struct {
	Guard *Guard
	// FreeBytes is held without being accounted for. Usual answers are not larger.
	FreeBytes int64

	used, held int64
}

// readingStepBytes is the least by which a Reading grows.
const readingStepBytes = 4 << 10

// Grow adds bytes. It returns ErrNoMemory if they may not be held.
func (reading *Reading) Grow(bytes int64) error {
	reading.used += bytes
	missing := reading.used - reading.FreeBytes - reading.held
	if missing <= 0 || reading.Guard == nil {
		return nil
	}
	missing = max(missing, readingStepBytes)
	if !reading.Guard.Hold(PartReplies, reading.held, missing) {
		return ErrNoMemory
	}
	reading.held += missing
	return nil
}

// Release ends the account of an answer that is dropped.
func (reading *Reading) Release() {
	reading.Guard.Release(PartReplies, reading.held)
	reading.used, reading.held = 0, 0
}

// MoveTo passes what is held on to the request that gets the answer, or releases it if work
// is nil.
func (reading *Reading) MoveTo(work *Work) {
	if work == nil {
		reading.Release()
		return
	}
	if reading.held > 0 {
		work.Adopt(PartReplies, reading.held)
	}
	reading.used, reading.held = 0, 0
}

// Reader returns a reader that adds bytesFactor bytes for each byte that it reads.
func (reading *Reading) Reader(reader io.Reader, bytesFactor int64) io.Reader {
	return &accountedReader{reader: reader, reading: reading, bytesFactor: bytesFactor}
}

// accountedReader is a reader with an account.
type accountedReader struct {
	reader      io.Reader
	reading     *Reading
	bytesFactor int64
}

// Read reads into buffer. It returns ErrNoMemory if there is no memory left for the answer.
func (accountedreader *accountedReader) Read(buffer []byte) (int, error) {
	count, err := accountedreader.reader.Read(buffer)
	if count > 0 {
		if err := accountedreader.reading.Grow(int64(count) * accountedreader.bytesFactor); err != nil {
			return 0, err
		}
	}
	return count, err
}
