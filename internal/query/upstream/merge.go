package upstream

import (
	"bytes"
	"slices"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// RecordBytes is the size of one record of a merged scope. A shorter rest of a
// part is no record.
const RecordBytes = 16

// merge puts together what a merged or relayed answer holds beside its
// coverage.
func merge(scope api.Scope, answer *api.Answer) {
	switch scope.Form {
	case api.FormMerged:
		bodies := make([][]byte, 0, len(answer.Parts))
		for _, part := range answer.Parts {
			bodies = append(bodies, part.Body)
			answer.Signatures = append(answer.Signatures, part.Signature)
		}
		answer.Records = Greatest(bodies, scope.TopK)
		answer.Parts = nil
	case api.FormRelayed:
		answer.Response = answer.Parts[0].Response
		answer.Parts = nil
	}
}

// Greatest returns the greatest records of all bodies, greatest first, at most
// so many. Equal records all count.
func Greatest(bodies [][]byte, most int) []byte {
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
