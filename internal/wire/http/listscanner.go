package http

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

const (
	// scannerBufferBytes is the size of the buffer for what is read ahead.
	scannerBufferBytes = 16 << 10
	// maxBlankBytes bounds the white space between two tokens.
	maxBlankBytes = 64 << 10
	// maxSkippedBytes bounds one value that is read and dropped.
	maxSkippedBytes = 64 << 20
	// maxNameBytes bounds the name of a member that is kept.
	maxNameBytes = 256
)

// ListItem is one element of the list of a ListScanner.
type ListItem struct {
	// Members holds the members that the scanner keeps, in their encoded form. It is nil if
	// the element is not an object.
	Members map[string]json.RawMessage
	// OmittedBytes is the encoded length of the longest member that exceeded MaxValueBytes,
	// and is not in Members.
	OmittedBytes int64
}

// ListScanner decodes a JSON object with one member that is a long list. It holds one
// element of the list at a time, and drops what it does not keep without holding it.
type ListScanner struct {
	// List is the name of the member that is the list.
	List string
	// Keep holds the names of the members of elements to keep.
	Keep map[string]bool
	// MaxValueBytes is the longest encoded member that is kept.
	MaxValueBytes int
	// Receive is called with each element. The scan ends early if it returns false.
	Receive func(item ListItem) bool

	reader *bufio.Reader
	isDone bool
}

// Scan reads one object from reader and returns its members other than the list. After
// an early end they may be incomplete.
func (listscanner *ListScanner) Scan(reader io.Reader) (map[string]json.RawMessage, error) {
	listscanner.reader = bufio.NewReaderSize(reader, scannerBufferBytes)
	members := make(map[string]json.RawMessage)
	err := listscanner.scanObject(func(name string) error {
		next, err := listscanner.peekToken()
		switch {
		case err != nil:
			return err
		case name == listscanner.List && next == '[':
			return listscanner.scanList()
		case name == listscanner.List && next != 'n':
			return errors.Errorf("%s begins with %q in place of a list", name, next)
		}
		encoded, length, err := listscanner.scanValue(listscanner.MaxValueBytes)
		if err == nil && length <= int64(listscanner.MaxValueBytes) {
			members[name] = encoded
		}
		return err
	})
	return members, err
}

// IsCut reports whether Receive ended the last scan before the end of the object.
func (listscanner *ListScanner) IsCut() bool { return listscanner.isDone }

// scanObject reads an object. It calls scanMember at the value of each member, which
// must read the value.
func (listscanner *ListScanner) scanObject(scanMember func(name string) error) error {
	if err := listscanner.expect('{'); err != nil {
		return err
	}
	for count := 0; ; count++ {
		next, err := listscanner.peekToken()
		if err != nil {
			return err
		}
		if next == '}' && count == 0 {
			return listscanner.expect('}')
		}
		encoded, _, err := listscanner.scanValue(maxNameBytes)
		if err != nil {
			return err
		}
		var name string
		if err := json.Unmarshal(encoded, &name); err != nil && encoded != nil {
			return errors.Wrap(err, "decode name of a member")
		}
		if err := listscanner.expect(':'); err != nil {
			return err
		}
		if err := scanMember(name); err != nil || listscanner.isDone {
			return err
		}
		if isLast, err := listscanner.endsWith('}'); err != nil || isLast {
			return err
		}
	}
}

// scanList reads the list, and passes each of its elements to Receive.
func (listscanner *ListScanner) scanList() error {
	if err := listscanner.expect('['); err != nil {
		return err
	}
	if next, err := listscanner.peekToken(); err != nil {
		return err
	} else if next == ']' {
		return listscanner.expect(']')
	}
	for {
		item, err := listscanner.scanItem()
		if err != nil {
			return err
		}
		if !listscanner.Receive(item) {
			listscanner.isDone = true
			return nil
		}
		if isLast, err := listscanner.endsWith(']'); err != nil || isLast {
			return err
		}
	}
}

// scanItem reads one element of the list.
func (listscanner *ListScanner) scanItem() (ListItem, error) {
	next, err := listscanner.peekToken()
	if err != nil {
		return ListItem{}, err
	}
	if next != '{' {
		_, _, err := listscanner.scanValue(0)
		return ListItem{}, err
	}
	item := ListItem{Members: make(map[string]json.RawMessage, len(listscanner.Keep))}
	err = listscanner.scanObject(func(name string) error {
		limit := 0
		if listscanner.Keep[name] {
			limit = listscanner.MaxValueBytes
		}
		encoded, length, err := listscanner.scanValue(limit)
		switch {
		case err != nil || limit == 0:
		case length > int64(limit):
			item.OmittedBytes = max(item.OmittedBytes, length)
		default:
			item.Members[name] = encoded
		}
		return err
	})
	return item, err
}

// scanValue reads one value. It returns the value, or nil if it has more than limit
// bytes, and its length.
func (listscanner *ListScanner) scanValue(limit int) ([]byte, int64, error) {
	if _, err := listscanner.peekToken(); err != nil {
		return nil, 0, err
	}
	var kept []byte
	length := int64(0)
	var extent valueExtent
	for {
		if extent.isText && !extent.isEscaped {
			plain := listscanner.peekPlainText()
			length += int64(len(plain))
			kept = appendWithin(kept, plain, length, limit)
			_, _ = listscanner.reader.Discard(len(plain))
		}
		next, err := listscanner.reader.ReadByte()
		if err != nil {
			return nil, length, unexpectedEnd(err)
		}
		position := extent.observe(next)
		if position == afterValue {
			return kept, length, listscanner.reader.UnreadByte()
		}
		length++
		kept = appendWithin(kept, []byte{next}, length, limit)
		if position == endOfValue {
			return kept, length, nil
		}
		if length > maxSkippedBytes {
			return nil, length, errors.Errorf("a value of over %d bytes", maxSkippedBytes)
		}
	}
}

// peekPlainText returns what has been read ahead of a text up to the next quotation mark
// or backslash.
func (listscanner *ListScanner) peekPlainText() []byte {
	plain, _ := listscanner.reader.Peek(listscanner.reader.Buffered())
	if end := bytes.IndexByte(plain, '"'); end >= 0 {
		plain = plain[:end]
	}
	if end := bytes.IndexByte(plain, '\\'); end >= 0 {
		plain = plain[:end]
	}
	return plain
}

// appendWithin returns kept with next, or nil if a value of length bytes is not kept.
func appendWithin(kept, next []byte, length int64, limit int) []byte {
	if length > int64(limit) {
		return nil
	}
	return append(kept, next...)
}

// endsWith reads a comma, or the end of an object or list, and reports which it was.
func (listscanner *ListScanner) endsWith(end byte) (bool, error) {
	next, err := listscanner.peekToken()
	if err != nil {
		return false, err
	}
	if next == end {
		return true, listscanner.expect(end)
	}
	return false, listscanner.expect(',')
}

// expect reads the token wanted.
func (listscanner *ListScanner) expect(wanted byte) error {
	next, err := listscanner.peekToken()
	if err != nil {
		return err
	}
	if next != wanted {
		return errors.Errorf("%q in place of %q", next, wanted)
	}
	_, err = listscanner.reader.Discard(1)
	return err
}

// peekToken skips white space and returns the byte after it.
func (listscanner *ListScanner) peekToken() (byte, error) {
	for range maxBlankBytes {
		next, err := listscanner.reader.ReadByte()
		if err != nil {
			return 0, unexpectedEnd(err)
		}
		if !isBlank(next) {
			return next, listscanner.reader.UnreadByte()
		}
	}
	return 0, errors.Errorf("over %d bytes of white space", maxBlankBytes)
}

// unexpectedEnd returns the error of a read inside a value.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func isBlank(next byte) bool {
	return next == ' ' || next == '\t' || next == '\n' || next == '\r'
}

// valuePosition is where a byte lies with regard to a value.
type valuePosition int

const (
	insideValue valuePosition = iota
	endOfValue
	// afterValue is the position of the byte that follows a number or a literal.
	afterValue
)

// valueExtent finds the end of a JSON value without decoding it.
type valueExtent struct {
	depth     int
	isText    bool
	isEscaped bool
	// isBare is set in a number or a literal, which the next token ends.
	isBare bool
}

// observe returns the position of the next byte.
func (valueextent *valueExtent) observe(next byte) valuePosition {
	switch {
	case valueextent.isEscaped:
		valueextent.isEscaped = false
	case valueextent.isText:
		valueextent.isEscaped = next == '\\'
		valueextent.isText = next != '"'
		if !valueextent.isText && valueextent.depth == 0 {
			return endOfValue
		}
	case valueextent.isBare:
		if isBlank(next) || next == ',' || next == ']' || next == '}' || next == ':' {
			return afterValue
		}
	case next == '"':
		valueextent.isText = true
	case next == '{' || next == '[':
		valueextent.depth++
	case next == '}' || next == ']':
		valueextent.depth--
		if valueextent.depth <= 0 {
			return endOfValue
		}
	case valueextent.depth == 0:
		valueextent.isBare = true
	}
	return insideValue
}
