package trial

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/standin/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// CheckAnswer returns an error if an answer is inconsistent: if its parts come
// from more than one snapshot, its coverage does not match the parts, or a part
// answers another request. It accepts every answer that is not done.
func CheckAnswer(query api.Query, answer api.Answer) error {
	if answer.Outcome != api.OutcomeDone {
		return nil
	}
	coverage := answer.Coverage
	if coverage.IncludedCount != len(answer.Parts) || coverage.IncludedCount+len(coverage.MissingShards) != coverage.SelectedCount {
		return errors.Errorf("coverage %d of %d with %d parts and %d missing", coverage.IncludedCount, coverage.SelectedCount, len(answer.Parts), len(coverage.MissingShards))
	}
	shards := make(map[string]bool)
	for _, part := range answer.Parts {
		if shards[part.Shard] {
			return errors.Errorf("the answer has two parts of shard %s", part.Shard)
		}
		shards[part.Shard] = true
		if err := checkPart(query, answer, part); err != nil {
			return err
		}
	}
	return nil
}

// checkPart returns an error if part does not belong to answer or does not answer
// query.
func checkPart(query api.Query, answer api.Answer, part api.Part) error {
	var body upstream.AnswerBody
	if err := json.Unmarshal(part.Body, &body); err != nil {
		return errors.Wrapf(err, "decode the part of shard %s", part.Shard)
	}
	var echo struct{ Text string }
	if err := json.Unmarshal(body.Echo, &echo); err != nil {
		return errors.Wrapf(err, "decode the echo of shard %s", part.Shard)
	}
	switch {
	case body.Shard != part.Shard:
		return errors.Errorf("a part of shard %s is marked as shard %s", body.Shard, part.Shard)
	case body.Snapshot != answer.Snapshot:
		return errors.Errorf("a part of shard %s has snapshot %d, the answer has %d", part.Shard, body.Snapshot, answer.Snapshot)
	case echo.Text != query.Text:
		return errors.Errorf("a part of shard %s answers the text %q, the query has %q", part.Shard, echo.Text, query.Text)
	}
	return nil
}
