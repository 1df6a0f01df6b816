package upstream

import (
	"bytes"
	"slices"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// RecordBytes is the size of one record of a merged scope. A shorter rest of a
// part is no record.
const RecordBytes = 16

// fill puts what gather holds into answer, in the form of the scope.
func fill(answer *api.Answer, scope api.Scope, gather *Collector) {
	parts := gather.Parts()
	switch scope.Form {
	case api.FormMerged:
		for _, part := range parts {
			answer.Signatures = append(answer.Signatures, part.Signature)
		}
		answer.Records = gather.TopRecords(scope.TopK)
	case api.FormRelayed:
		if len(parts) > 0 {
			answer.Response = parts[0].Response
		}
	default:
		answer.Parts = parts
	}
}

// TopRecords returns the greatest records of all bodies, greatest first, at most
// so many. Equal records all count.
func TopRecords(bodies [][]byte, most int) []byte {
	var records [][]byte
	for _, body := range bodies {
		for ; len(body) >= RecordBytes; body = body[RecordBytes:] {
			records = append(records, body[:RecordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(len(records), most)]
	return slices.Concat(records...)
}
