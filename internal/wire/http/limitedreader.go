package http

import (
	"io"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
)

// errTooManyBytes reports that a peer sent more bytes than a limitedReader allows.
var errTooManyBytes = errors.New("the peer sent too many bytes")

// limitedReader reads at most a number of bytes that can be renewed. Unlike the end
// that io.LimitedReader reports, going beyond it is an error: the bytes read so far
// are not a complete message.
type limitedReader struct {
	reader io.Reader
	// remaining is the number of bytes that may still be read.
	remaining int
	// account counts what is read beyond the next free bytes, and bytesFactor is the
	// memory that a byte takes.
	account     caller.ReplyAccount
	bytesFactor int64
	free        int
}

// Read reads up to the remaining bytes. It returns errTooManyBytes if none remain, and
// caller.ErrNoMemory if there is no memory left for them.
func (limitedreader *limitedReader) Read(buffer []byte) (int, error) {
	if limitedreader.remaining <= 0 {
		return 0, errTooManyBytes
	}
	count, err := limitedreader.reader.Read(buffer[:min(len(buffer), limitedreader.remaining)])
	limitedreader.remaining -= count
	accounted := max(count-limitedreader.free, 0)
	limitedreader.free -= count - accounted
	if growErr := limitedreader.account.Grow(int64(accounted) * limitedreader.bytesFactor); growErr != nil {
		return 0, growErr
	}
	return count, err
}
