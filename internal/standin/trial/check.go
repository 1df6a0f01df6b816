package trial

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/standin/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// Check returns an error where an answer breaks a promise: parts of more than
// one snapshot, a coverage that does not match the parts, or a part that
// answers another request.
func Check(query api.Query, answer api.Answer) error {
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
			return errors.Errorf("shard %s twice", part.Shard)
		}
		shards[part.Shard] = true
		if err := checkPart(query, answer, part); err != nil {
			return err
		}
	}
	return nil
}

func checkPart(query api.Query, answer api.Answer, part api.Part) error {
	var found upstream.Found
	if err := json.Unmarshal(part.Body, &found); err != nil {
		return errors.Wrapf(err, "part of shard %s", part.Shard)
	}
	var echo struct{ Text string }
	if err := json.Unmarshal(found.Echo, &echo); err != nil {
		return errors.Wrapf(err, "echo of shard %s", part.Shard)
	}
	switch {
	case found.Shard != part.Shard:
		return errors.Errorf("part of shard %s under shard %s", found.Shard, part.Shard)
	case found.Snapshot != answer.Snapshot:
		return errors.Errorf("shard %s at snapshot %d in an answer of %d", part.Shard, found.Snapshot, answer.Snapshot)
	case echo.Text != query.Text:
		return errors.Errorf("shard %s answers %q, asked %q", part.Shard, echo.Text, query.Text)
	}
	return nil
}
