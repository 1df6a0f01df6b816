package http

import "io"

// minBodyBuffer is the first size of the buffer for a body.
const minBodyBuffer = 512

// readGrowing reads a body to its end, or to the first byte beyond maxBytes. The buffer
// doubles as bytes arrive, up to the announced length, which is negative if it is not
// known: an announcement alone takes no memory.
func readGrowing(body io.Reader, announced, maxBytes int64) ([]byte, error) {
	if announced == 0 {
		return nil, nil
	}
	// One byte more than can be read, so that the read that meets the end has room.
	largest := maxBytes + 2
	if announced > 0 {
		largest = announced + 1
	}
	reader := io.LimitReader(body, maxBytes+1)
	content := make([]byte, 0, min(largest, minBodyBuffer))
	for {
		if len(content) == cap(content) {
			content = append(make([]byte, 0, min(largest, 2*int64(cap(content)))), content...)
		}
		count, err := reader.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		if int64(len(content)) > maxBytes || err == io.EOF {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
