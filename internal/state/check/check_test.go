package check_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/check"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/toml"
)

// documents returns a configuration without findings, in which each replacement, an old
// and a new text, is made in all documents.
func documents(replacements ...string) map[string]string {
	texts := map[string]string{
		"index/trials":    `name = "trials"` + "\n" + `shards = [{name = "a", upstream = "desk-a", labels = {season = "2026"}}, {name = "b", upstream = "desk-b", labels = {season = "2026"}}]`,
		"scope/ledger":    `name = "ledger"` + "\n" + scopeText + `form = "relayed"` + "\n" + `timeout = "6s"` + "\n" + `split = [{upstream = "desk-a", weight = 3.0}, {upstream = "desk-b", weight = 1.0}]` + "\n" + `routes = [{host = "h", prefix = "/ledger/"}]`,
		"scope/lookup":    `name = "lookup"` + "\n" + scopeText + "minCoverage = 0.9\nmaxAttempts = 1\n" + `selectors = [{kind = "all", shards = {season = ["2026"]}}]` + "\n" + `routes = [{host = "h", prefix = "/", kind = "all"}]`,
		"upstreams/desks": `upstreams = [{name = "desk-a", slots = 2, connectionLimit = 25, protocol = "relay"}, {name = "desk-b", slots = 2, connectionLimit = 26, protocol = "relay"}]`,
		"instances/1":     `instances = [{name = "a1", upstream = "desk-a", address = "10.0.0.1:1", failureDomain = "muscat-a", state = "live"}, {name = "b1", upstream = "desk-b", address = "10.0.0.2:1", failureDomain = "sohar-b", state = "live"}]`,
	}
	replacer := strings.NewReplacer(replacements...)
	for key, text := range texts {
		texts[key] = replacer.Replace(text)
	}
	return texts
}

const scopeText = `tenant = "batinah"
class = "supervisor"
index = "trials"
aim = "latency"
`

// with returns texts with one more document.
func with(texts map[string]string, key, text string) map[string]string {
	texts[key] = text
	return texts
}

func decode(texts map[string]string) []api.DecodedDocument {
	decodedDocuments := []api.DecodedDocument{}
	for _, key := range slices.Sorted(maps.Keys(texts)) {
		decodedDocuments = append(decodedDocuments, toml.Parse(api.Document{Key: key, Revision: 1, Value: []byte(texts[key])}))
	}
	return decodedDocuments
}

func buildView(decodedDocuments []api.DecodedDocument) *view.View {
	state := control.NewState(api.Member{}, 0, time.Time{})
	for _, decodeddocument := range decodedDocuments {
		control.Apply(state, message.DocumentReceived{Decoded: decodeddocument}, time.Time{})
	}
	return control.Build(state, control.RebuildAll)
}

func lines[T fmt.Stringer](items []T) []string {
	text := []string{}
	for _, item := range items {
		text = append(text, item.String())
	}
	return text
}

// TestFindings checks what is found in a configuration with one mistake.
func TestFindings(t *testing.T) {
	second := strings.ReplaceAll(documents()["scope/lookup"], `"lookup"`, `"second"`)
	tests := map[string]struct {
		documents map[string]string
		want      []string
	}{
		"nothing":             {documents: documents(), want: []string{}},
		"two refused":         {documents: documents(`"latency"`, `"speed"`), want: []string{`error scope/ledger: scope/ledger: aim is "speed"; allowed: latency or coverage`, `error scope/lookup: scope/lookup: aim is "speed"; allowed: latency or coverage`, "warning upstreams/desks: upstream desk-a: no scope sends requests to it", "warning upstreams/desks: upstream desk-b: no scope sends requests to it"}},
		"equal routes":        {documents: with(documents(), "scope/second", second), want: []string{"warning scope/second: scope second: route h/ is hidden by the same one of scope lookup"}},
		"a route twice":       {documents: documents(`kind = "all"}]`, `kind = "all"}, {host = "h", prefix = "/", kind = "none"}]`), want: []string{"warning scope/lookup: scope lookup: route h/ is hidden by the same one with the kind none", `warning scope/lookup: scope lookup: route h/ has the kind "none", which no selector has`}},
		"a question mark":     {documents: documents(`"/ledger/"`, `"/ledger/?a/"`), want: []string{"warning scope/ledger: scope ledger: route h/ledger/?a/ matches no path"}},
		"a scope twice":       {documents: with(documents(), "scope/m", documents()["scope/lookup"]), want: []string{"warning scope/lookup: scope lookup: is not used: scope/m defines it too"}},
		"no index":            {documents: documents(`index = "trials"`, `index = "trial"`), want: []string{"warning scope/lookup: scope lookup: index trial is not defined"}},
		"no such label":       {documents: documents(`["2026"]`, `["2026", "1999"]`), want: []string{`warning scope/lookup: scope lookup: kind all: no shard of index trials has season = "1999"`}},
		"no such upstream":    {documents: documents(`{upstream = "desk-b"`, `{upstream = "desk-c"`), want: []string{"warning scope/ledger: scope ledger: upstream desk-c is not defined"}},
		"no weight":           {documents: documents("3.0", "0.0", "1.0", "0.0"), want: []string{"warning scope/ledger: scope ledger: no upstream has a weight above 0; its requests are not run"}},
		"no route":            {documents: documents(`routes = [{host = "h", prefix = "/ledger/"}]`, ""), want: []string{"warning scope/ledger: scope ledger: has no route, so that no request reaches it"}},
		"an unused upstream":  {documents: documents(`{name = "b", upstream = "desk-b"`, `{name = "b", upstream = "desk-a"`, "1.0", "0.0"), want: []string{"warning upstreams/desks: upstream desk-b: no scope sends requests to it"}},
		"a shard's upstream":  {documents: documents(`{name = "b", upstream = "desk-b"`, `{name = "b", upstream = "desk-c"`), want: []string{"warning index/trials: shard trials/b: upstream desk-c is not defined"}},
		"no replica":          {documents: documents(`{name = "b1", upstream = "desk-b"`, `{name = "b1", upstream = "desk-c"`), want: []string{"warning upstreams/desks: upstream desk-b: has no replica, and so have the shards trials/b"}},
		"evacuated":           {documents: with(documents(), "evacuation/sohar-b", ""), want: []string{"warning upstreams/desks: upstream desk-b: all its replicas are in evacuated failure domains"}},
		"an empty domain":     {documents: with(documents(), "evacuation/nizwa-c", ""), want: []string{"warning evacuation/nizwa-c: evacuation nizwa-c: no instance is in the failure domain"}},
		"long timeout":        {documents: documents(`"6s"`, `"61s"`), want: []string{"warning scope/ledger: scope ledger: timeout 1m1s exceeds the longest deadline of a caller, 1m0s"}},
		"target over timeout": {documents: documents(`"6s"`, `"6s"`+"\n"+`targetLatency = "7s"`), want: []string{"warning scope/ledger: scope ledger: targetLatency 7s exceeds timeout 6s"}},
		"too few connections": {documents: documents("connectionLimit = 25", "connectionLimit = 1"), want: []string{"warning upstreams/desks: upstream desk-a: connectionLimit 1 is less than the slots of a replica, 2"}},
		"HTTP/2 needs fewer":  {documents: documents("connectionLimit = 25", "connectionLimit = 1", `"relay"`, `"http2"`), want: []string{}},
		"without instances":   {documents: with(documents(), "instances/1", ""), want: []string{}},
		"an unknown prefix":   {documents: with(documents(), "other/x", ""), want: []string{"error other/x: key has an unknown prefix; allowed: index/, upstreams/, scope/, instances/, evacuation/"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			report := check.Run(check.Input{Proposed: decode(test.documents), BuildView: buildView})
			assert.DeepEqual(t, lines(report.Findings), test.want)
			assert.Equal(t, report.ErrorCount(), strings.Count(strings.Join(test.want, "\n"), "error "))
		})
	}
}

// TestFindingsWithSettings checks the limits of documents against those of an instance.
func TestFindingsWithSettings(t *testing.T) {
	tests := map[string]struct {
		documents map[string]string
		change    func(settings *settings.Settings)
		limits    *api.CallerLimits
		want      []string
	}{
		"nothing":       {documents: documents(), want: []string{}},
		"margin":        {documents: documents(`"6s"`, `"6s"`+"\n"+`targetLatency = "18ms"`), want: []string{"warning scope/ledger: scope ledger: targetLatency 18ms does not exceed callers.targetMargin 18ms"}},
		"drain":         {documents: documents(`"6s"`, `"31s"`+"\ncommand = true"), want: []string{"warning scope/ledger: scope ledger: timeout 31s of a command exceeds stop.drainTimeout 30s; a stopping instance refuses it"}},
		"cold":          {documents: documents("connectionLimit = 25", "connectionLimit = 25, coldRate = 7.0"), want: []string{}},
		"cold for ever": {documents: documents("connectionLimit = 25", "connectionLimit = 25, coldRate = 7.0"), change: func(settings *settings.Settings) { settings.Schedule.ColdOvershoot = 0 }, want: []string{"warning upstreams/desks: upstream desk-a: coldRate 7 with schedule.coldOvershoot 0 and schedule.coldSlack 0 lets nothing through to a cold replica"}},
		"body":          {documents: documents(), limits: &api.CallerLimits{MaxBodyBytes: 900}, want: []string{}},
		"large body":    {documents: documents(), limits: &api.CallerLimits{MaxBodyBytes: 901}, want: []string{"warning scope/lookup: limits: a body of 901 bytes does not fit the memory for callers, 1000 bytes for large requests"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			settings := settings.Default()
			if test.change != nil {
				test.change(&settings)
			}
			proposed := decode(test.documents)
			for index := range proposed {
				if proposed[index].Document.Key == "scope/lookup" {
					proposed[index].Limits = test.limits
				}
			}
			memory := caller.MemoryLimits{TotalBytes: 2000, LargeBytes: 1000, SmallBytes: 200, ConnectionBytes: 100}
			report := check.Run(check.Input{Proposed: proposed, BuildView: buildView, Settings: &settings, CallerMemory: memory})
			assert.DeepEqual(t, lines(report.Findings), test.want)
		})
	}
}

// TestChanges checks what is reported to differ from the documents in force.
func TestChanges(t *testing.T) {
	tests := map[string]struct {
		proposed map[string]string
		isWhole  bool
		want     []string
	}{
		"nothing":         {proposed: documents(), want: []string{}},
		"one document":    {proposed: map[string]string{"evacuation/muscat-a": ""}, want: []string{"added evacuation/muscat-a"}},
		"a whole folder":  {proposed: map[string]string{"index/trials": documents()["index/trials"]}, isWhole: true, want: []string{"removed scope/ledger", "removed scope/lookup", "removed upstreams/desks"}},
		"refused":         {proposed: documents(`"latency"`, `"speed"`), isWhole: true, want: []string{}},
		"a comment":       {proposed: documents("minCoverage", "# more\nminCoverage"), want: []string{"changed scope/lookup: no field that instances read"}},
		"a weight":        {proposed: documents("3.0", "2.0"), want: []string{"changed scope/ledger: scope ledger: split[desk-a]: 3 -> 2"}},
		"a split":         {proposed: documents(`, {upstream = "desk-b", weight = 1.0}`, `, {upstream = "desk-c", weight = 1.0}`), want: []string{"removed scope/ledger: scope ledger: split[desk-b]: 1", "added scope/ledger: scope ledger: split[desk-c]: 1"}},
		"a route":         {proposed: documents(`"/ledger/"`, `"/books/"`), want: []string{`added scope/ledger: scope ledger: routes[h/books/]: ""`, `removed scope/ledger: scope ledger: routes[h/ledger/]: ""`}},
		"a time":          {proposed: documents(`"6s"`, `"7s"`), want: []string{"changed scope/ledger: scope ledger: timeout: 6s -> 7s"}},
		"a label's value": {proposed: documents(`["2026"]`, `["2026", "2027"]`), want: []string{"changed scope/lookup: scope lookup: selectors[all].shards.season: 2026 -> 2026, 2027"}},
		"an upstream":     {proposed: documents(`name = "desk-b", slots = 2`, `name = "desk-c", slots = 2`, "connectionLimit = 25", "connectionLimit = 30"), want: []string{"changed upstreams/desks: upstream desk-a: connectionLimit: 25 -> 30", "removed upstreams/desks: upstream desk-b", "added upstreams/desks: upstream desk-c"}},
		"a shard":         {proposed: documents(`{name = "b", upstream = "desk-b", labels = {season = "2026"}}`, `{name = "b", upstream = "desk-a", epoch = 2}`), want: []string{"changed index/trials: shard trials/b: epoch: 0 -> 2", "removed index/trials: shard trials/b: labels.season: 2026", "changed index/trials: shard trials/b: upstream: desk-b -> desk-a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			report := check.Run(check.Input{Proposed: decode(test.proposed), InForce: decode(documents()), IsWhole: test.isWhole, BuildView: buildView})
			assert.DeepEqual(t, lines(report.Changes), test.want)
		})
	}
}

// TestNumber checks that a numbered document must exceed the one in force.
func TestNumber(t *testing.T) {
	number := func(sequence uint64, text string) []api.DecodedDocument {
		return []api.DecodedDocument{{Document: api.Document{Key: "k", Revision: 1, Value: []byte(text), Number: api.Number{Sequence: sequence}}}}
	}
	tests := map[string]struct {
		proposed []api.DecodedDocument
		want     []string
	}{
		"higher":      {proposed: number(8, "new"), want: []string{}},
		"the same":    {proposed: number(7, "old"), want: []string{}},
		"not higher":  {proposed: number(7, "new"), want: []string{"warning k: its number 7 does not exceed 7, which is in force"}},
		"not counted": {proposed: number(0, "new"), want: []string{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			report := check.Run(check.Input{Proposed: test.proposed, InForce: number(7, "old"), BuildView: buildView})
			assert.DeepEqual(t, lines(report.Findings), test.want)
		})
	}
}

// A weight of 0 for all upstreams of a scope leaves its requests without an upstream.
func ExampleRun() {
	report := check.Run(check.Input{
		Proposed:  decode(documents("3.0", "0.0", "1.0", "0.0")),
		InForce:   decode(documents()),
		BuildView: buildView,
	})
	for _, finding := range report.Findings {
		fmt.Println(finding)
	}
	for _, change := range report.Changes {
		fmt.Println(change)
	}
	// Output:
	// warning scope/ledger: scope ledger: no upstream has a weight above 0; its requests are not run
	// changed scope/ledger: scope ledger: split[desk-a]: 3 -> 0
	// changed scope/ledger: scope ledger: split[desk-b]: 1 -> 0
}
