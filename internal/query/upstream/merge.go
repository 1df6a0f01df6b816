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
	if limit <= 0 {
		return nil
	}
	var records [][]byte
	// lowest is the last of the records once there are limit of them: records that are
	// not greater cannot be among the greatest.
	var lowest []byte
	for _, body := range bodies {
		for ; len(body) >= RecordBytes; body = body[RecordBytes:] {
			if lowest != nil && bytes.Compare(body[:RecordBytes], lowest) <= 0 {
				continue
			}
			records = append(records, body[:RecordBytes])
			if len(records)/2 >= limit {
				records = sortAndCut(records, limit)
				lowest = records[limit-1]
			}
		}
	}
	return slices.Concat(sortAndCut(records, limit)...)
}

// sortAndCut sorts the records in descending order and returns the first limit of
// them.
func sortAndCut(records [][]byte, limit int) [][]byte {
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return records[:min(len(records), limit)]
}
