package upstream

import (
	"bytes"
	"slices"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// RecordBytes is the size of one record in a merged scope, in bytes. Trailing
// bytes of a part that do not fill a record are ignored.
const RecordBytes = 16

// fillAnswer copies the collected parts into the answer in the form that the
// scope requires.
func fillAnswer(answer *api.Answer, scope api.Scope, collector *Collector) {
	parts := collector.Parts()
	switch scope.Form {
	case api.FormMerged:
		for _, part := range parts {
			answer.Signatures = append(answer.Signatures, part.Signature)
		}
		answer.Records = collector.TopRecords(scope.TopK)
	case api.FormRelayed:
		if len(parts) > 0 {
			answer.Response = parts[0].Response
		}
	default:
		answer.Parts = parts
	}
}

// TopRecords returns the greatest records of all bodies in descending order, at
// most limit of them. Equal records are all kept.
func TopRecords(bodies [][]byte, limit int) []byte {
	var records [][]byte
	for _, body := range bodies {
		for ; len(body) >= RecordBytes; body = body[RecordBytes:] {
			records = append(records, body[:RecordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(len(records), limit)]
	return slices.Concat(records...)
}
