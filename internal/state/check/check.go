// Package check examines documents before they are sent to the platform. It finds what
// instances would refuse, entries that can never match and limits that contradict each
// other, and lists what differs from the documents in force.
package check

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// Input holds what is checked and what it is checked against.
type Input struct {
	// Proposed holds the documents that are to be sent.
	Proposed []api.DecodedDocument
	// InForce holds the documents that are in force; nil if nothing is compared.
	InForce []api.DecodedDocument
	// IsWhole is set if the documents in force that Proposed lacks are to be removed,
	// except for those that list instances, which operators do not write.
	IsWhole bool
	// Settings are those of an instance that receives the documents; nil if they are
	// not known.
	Settings *settings.Settings
	// CallerMemory bounds what an instance with these settings holds for its callers.
	CallerMemory caller.MemoryLimits
	// BuildView returns the View of an instance that has received only the documents.
	BuildView func(documents []api.DecodedDocument) *view.View
}

// Report is the result of a check.
type Report struct {
	Findings []Finding `json:"findings"`
	// Changes lists what differs from the documents in force.
	Changes []Change `json:"changes,omitempty"`
	// View is that of an instance which has received the documents.
	View *view.View `json:"-"`
}

// ErrorCount returns the number of findings that are errors.
func (report Report) ErrorCount() int {
	count := 0
	for _, finding := range report.Findings {
		if finding.Severity == SeverityError {
			count++
		}
	}
	return count
}

// Severity is how bad a finding is.
type Severity string

// The severities of findings. A document with an error would be refused.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Finding is a mistake or a probable mistake in a document.
type Finding struct {
	Severity Severity `json:"severity"`
	// Document is the key of the document.
	Document string `json:"document"`
	// Entry is the part of the document that the finding is about; empty if it is
	// about all of it.
	Entry  string `json:"entry,omitempty"`
	Reason string `json:"reason"`
}

// String returns the finding as one line.
func (finding Finding) String() string {
	return string(finding.Severity) + " " + joinNonEmpty(finding.Document, finding.Entry, finding.Reason)
}

// Run checks the documents of input. The findings are sorted by document and entry.
func Run(input Input) Report {
	inForce := slices.DeleteFunc(slices.Clone(input.InForce), IsUnused)
	documents := merge(inForce, input.Proposed, input.IsWhole)
	checker := &checker{
		input:     input,
		documents: documents,
		current:   input.BuildView(documents),
		definedIn: make(map[string]string),
		upstreams: make(map[string]api.Upstream),
		findings:  []Finding{},
	}
	checker.checkDocuments()
	checker.checkDefinitions()
	checker.checkRoutes()
	checker.checkScopes()
	checker.checkUpstreams()
	checker.checkEvacuations()
	checker.checkLimits()
	slices.SortStableFunc(checker.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Document, b.Document), cmp.Compare(a.Entry, b.Entry))
	})
	report := Report{Findings: checker.findings, View: checker.current}
	if input.InForce != nil {
		report.Changes = Compare(inForce, documents)
	}
	return report
}

// IsUnused reports whether instances use nothing of a document.
func IsUnused(decoded api.DecodedDocument) bool {
	return decoded.Document.IsDeleted || decoded.RefusalReason != "" || decoded.IgnoredReason != ""
}

// merge returns the documents that are in force once the proposed ones are sent, sorted
// by key. A refused document leaves the one in force as it is.
func merge(inForce, proposed []api.DecodedDocument, isWhole bool) []api.DecodedDocument {
	isProposed := make(map[string]bool, len(proposed))
	var merged []api.DecodedDocument
	for _, decoded := range proposed {
		isProposed[decoded.Document.Key] = decoded.RefusalReason == ""
		if !IsUnused(decoded) {
			merged = append(merged, decoded)
		}
	}
	for _, decoded := range inForce {
		isReplaced, isListed := isProposed[decoded.Document.Key]
		isRemoved := isWhole && !isListed && decoded.Instances == nil
		if !isReplaced && !isRemoved {
			merged = append(merged, decoded)
		}
	}
	slices.SortFunc(merged, func(a, b api.DecodedDocument) int { return cmp.Compare(a.Document.Key, b.Document.Key) })
	return merged
}

// checker collects the findings of one check.
type checker struct {
	input     Input
	documents []api.DecodedDocument
	// current is the View of an instance that has received documents.
	current *view.View
	// definedIn maps each entry to the key of the document whose definition is used.
	definedIn map[string]string
	upstreams map[string]api.Upstream
	// instances holds the instances of all documents.
	instances []api.Instance
	findings  []Finding
}

// report adds a finding about an entry.
func (checker *checker) report(severity Severity, document, entry, format string, arguments ...any) {
	checker.findings = append(checker.findings, Finding{Severity: severity, Document: document, Entry: entry, Reason: fmt.Sprintf(format, arguments...)})
}

// warn adds a warning about an entry, in the document that defines it.
func (checker *checker) warn(entry, format string, arguments ...any) {
	checker.report(SeverityWarning, checker.definedIn[entry], entry, format, arguments...)
}

// checkDocuments reports the proposed documents that instances would refuse or not use.
func (checker *checker) checkDocuments() {
	inForce := byKey(checker.input.InForce)
	for _, decoded := range checker.input.Proposed {
		key := decoded.Document.Key
		previous := inForce[key]
		isSame := bytes.Equal(previous.Document.Value, decoded.Document.Value)
		number, numberInForce := decoded.Document.Number, previous.Document.Number
		switch {
		case decoded.RefusalReason != "":
			checker.report(SeverityError, key, "", "%s", decoded.RefusalReason)
		case decoded.IgnoredReason != "":
			checker.report(SeverityWarning, key, "", "%s", decoded.IgnoredReason)
		case previous.RefusalReason != "":
			checker.report(SeverityWarning, key, "", "what it is compared with is refused: %s", previous.RefusalReason)
		case !number.IsZero() && number.Compare(numberInForce) <= 0 && !isSame:
			checker.report(SeverityWarning, key, "", "its number %d does not exceed %d, which is in force", number.Sequence, numberInForce.Sequence)
		}
	}
}

// checkDefinitions records which document defines each entry, and reports the
// definitions that are not used because a later document has the same entry.
func (checker *checker) checkDefinitions() {
	for _, decoded := range checker.documents {
		key := decoded.Document.Key
		forEachEntry(decoded, func(entry string, content any) {
			previous, isDefined := checker.definedIn[entry]
			if _, isShard := content.(api.Shard); isDefined && !isShard {
				checker.report(SeverityWarning, previous, entry, "is not used: %s defines it too", key)
			}
			checker.definedIn[entry] = key
			switch content := content.(type) {
			case api.Upstream:
				checker.upstreams[content.Name] = content
			case api.Instance:
				checker.instances = append(checker.instances, content)
			}
		})
	}
}

// forEachEntry calls visit for each entry of a document, with its name and its content.
func forEachEntry(decoded api.DecodedDocument, visit func(entry string, content any)) {
	if index := decoded.Index; index != nil {
		visit(indexEntry(index.Name), api.Index{Name: index.Name, Snapshot: index.Snapshot})
		for _, shard := range index.Shards {
			visit(shardEntry(index.Name, shard.Name), shard)
		}
	}
	if decoded.Upstreams != nil {
		for _, upstream := range decoded.Upstreams.Upstreams {
			visit(upstreamEntry(upstream.Name), upstream)
		}
	}
	if decoded.Scope != nil {
		visit(scopeEntry(decoded.Scope.Name), *decoded.Scope)
	}
	for _, scope := range decoded.Scopes {
		visit(scopeEntry(scope.Name), scope)
	}
	if decoded.Instances != nil {
		for _, instance := range decoded.Instances.Instances {
			visit(instanceEntry(instance.Name), instance)
		}
	}
	if decoded.Limits != nil {
		visit(limitsEntry, *decoded.Limits)
	}
	if decoded.Evacuation != nil {
		visit(evacuationEntry(decoded.Evacuation.FailureDomain), *decoded.Evacuation)
	}
}

// limitsEntry is the entry of the limits of what callers may send.
const limitsEntry = "limits"

func indexEntry(name string) string        { return "index " + name }
func shardEntry(index, name string) string { return "shard " + index + "/" + name }
func upstreamEntry(name string) string     { return "upstream " + name }
func scopeEntry(name string) string        { return "scope " + name }
func instanceEntry(name string) string     { return "instance " + name }
func evacuationEntry(domain string) string { return "evacuation " + domain }
