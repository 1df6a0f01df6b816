// Package operator serves the read-only endpoints for operators: status, the
// documents in force, the shards that a scope covers, metrics and health.
package operator

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// Handler serves the operator endpoints over HTTP.
type Handler struct {
	CurrentView *view.PublishedView
	Metrics     *metrics.Metrics
	Version     string
}

// Status is the state of one instance, the response to GET /v1/status.
type Status struct {
	Name        string `json:"name"`
	Version     string `json:"version"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	// UnreadyReason states why the instance does not serve requests yet; empty if it
	// does.
	UnreadyReason string `json:"unreadyReason"`
	// IsReader is true if this instance reads the platform for the others.
	IsReader bool `json:"isReader"`
	// ViewNumber is the number of the instance's current ViewNumber.
	ViewNumber uint64 `json:"view"`
	// PlatformAgeMillis is the time since the platform last answered this
	// instance or a peer, in milliseconds; -1 before the first answer.
	PlatformAgeMillis int64 `json:"platformAgeMillis"`
	// StaleAnswers counts the platform's answers with an old version.
	StaleAnswers int64 `json:"staleAnswers"`
	// Era is the highest known era of the platform's store, and PendingDocuments the
	// number of documents that are held back until their keys may be written again.
	Era              uint64 `json:"era,omitempty"`
	PendingDocuments int    `json:"pendingDocuments,omitempty"`
	// PlatformSteadyMillis is for how long the platform is known to have been available
	// without an interruption; -1 if it is not known to have answered.
	PlatformSteadyMillis int64 `json:"platformSteadyMillis"`
	// HeldBackRemovals describes the removals among the pending documents.
	HeldBackRemovals []view.HeldBackRemoval `json:"heldBackRemovals,omitempty"`
	// Superseded describes the keys of which the store states an older document than the
	// one in force.
	Superseded []SupersededStatus `json:"superseded,omitempty"`
	// Unused describes the documents of the platform that are of no use.
	Unused  *UnusedStatus    `json:"unused,omitempty"`
	Keys    []view.KeyStatus `json:"keys"`
	Members []MemberStatus   `json:"members"`
	Indexes []IndexStatus    `json:"indexes"`
	// LeavingReplicas names the replicas that are known to be draining.
	LeavingReplicas []string `json:"leavingReplicas,omitempty"`
	// EvacuatedDomains names the failure domains whose replicas are not used.
	EvacuatedDomains []string `json:"evacuatedDomains,omitempty"`
	// PacedReplicas describes the replicas that are cold or paced.
	PacedReplicas []PacedReplica `json:"pacedReplicas,omitempty"`
}

// SupersededStatus is a key of which the store states an older document than the one in
// force, with what an operator can do about it.
type SupersededStatus struct {
	view.SupersededKey
	// AgeMillis is the time since the instance learned of it, in milliseconds.
	AgeMillis int64  `json:"ageMillis"`
	Remedy    string `json:"remedy"`
}

// maxUnusedKeys is the number of keys in an UnusedStatus.
const maxUnusedKeys = 64

// UnusedStatus describes the documents of the platform that are of no use.
type UnusedStatus struct {
	// RefusedCount is the number of invalid documents, IgnoredCount that of documents under
	// keys that are not used, and Bytes the sum of their lengths.
	RefusedCount int   `json:"refused"`
	IgnoredCount int   `json:"ignored"`
	Bytes        int64 `json:"bytes"`
	// UnnamedCount is the number of valid entries of instances whose upstream is not
	// configured.
	UnnamedCount int `json:"unnamed"`
	// OmittedCount counts the documents that are not kept because there are too many.
	OmittedCount int64 `json:"omitted,omitempty"`
	// Keys holds the largest of the refused and ignored documents, at most maxUnusedKeys.
	Keys []view.UnusedKey `json:"keys"`
}

// PacedReplica is a replica that is cold or whose use is limited by its pace.
type PacedReplica struct {
	Name string `json:"name"`
	// ColdMillis is how much longer the replica is expected to be cold.
	ColdMillis int64 `json:"coldMillis"`
	// Limit is the number of attempts of this instance that may be in flight; 0 if its
	// pace does not limit them.
	Limit float64 `json:"limit"`
	// WaitMillis is how long this instance may send nothing because the replica is
	// cold.
	WaitMillis int64 `json:"waitMillis"`
}

// MemberStatus is the state of a member as this instance knows it.
type MemberStatus struct {
	Name          string `json:"name"`
	State         string `json:"state"`
	FailureDomain string `json:"failureDomain"`
	Incarnation   uint64 `json:"incarnation"`
	Load          int    `json:"load"`
	// CapacityMillicores is the processor time that the member states, in thousandths of
	// a core.
	CapacityMillicores int `json:"capacityMillicores,omitempty"`
	// IsServing is true if callers are given the member's address.
	IsServing    bool `json:"serving"`
	IsOverloaded bool `json:"overloaded,omitempty"`
}

// IndexStatus is the state of one index.
type IndexStatus struct {
	Name              string `json:"name"`
	PublishedSnapshot uint64 `json:"publishedSnapshot"`
	// Snapshot is the snapshot that new queries read.
	Snapshot uint64 `json:"snapshot"`
	// ShardCount is the number of shards.
	ShardCount int `json:"shards"`
	// ShardsWithoutReplica names the shards that have no replica.
	ShardsWithoutReplica []string `json:"withoutReplica,omitempty"`
}

// Register adds the handler's routes to mux.
func (handler *Handler) Register(mux chi.Router) {
	mux.Get("/v1/status", handler.getStatus)
	mux.Get("/v1/explain", handler.getExplain)
	mux.Get("/v1/documents", handler.getDocuments)
	mux.Get("/v1/health", handler.getHealth)
	mux.Get("/debug/vars", handler.getVars)
}

func (handler *Handler) getStatus(writer http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(writer, http.StatusOK, StatusOf(handler.CurrentView.Load(), handler.Version, time.Now()))
}

// StatusOf returns the status of the instance that published current, at the time
// now. Members, indexes and replicas are sorted by name.
func StatusOf(current *view.View, version string, now time.Time) Status {
	status := Status{
		Name:              current.Self.Instance.Name,
		Version:           version,
		State:             current.Self.State.String(),
		Incarnation:       current.Self.Incarnation,
		UnreadyReason:     current.UnreadyReason(),
		IsReader:          current.IsReader,
		ViewNumber:        current.Number,
		PlatformAgeMillis: -1,

		PlatformSteadyMillis: -1,
		StaleAnswers:         current.StaleAnswers,
		Era:                  current.Era,
		PendingDocuments:     current.PendingCount,
		Keys:                 current.KeyStatuses,
	}
	if !current.PlatformAnsweredAt.IsZero() {
		status.PlatformAgeMillis = now.Sub(current.PlatformAnsweredAt).Milliseconds()
		status.PlatformSteadyMillis = now.Sub(current.PlatformSteadySince()).Milliseconds()
	}
	for _, member := range current.Members {
		memberstatus := memberStatus(member)
		memberstatus.IsServing = member.State == api.MemberAlive && current.IsServing(member.Instance.Name)
		status.Members = append(status.Members, memberstatus)
	}
	slices.SortFunc(status.Members, func(a, b MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	for _, index := range current.Indexes {
		status.Indexes = append(status.Indexes, indexStatus(index))
	}
	slices.SortFunc(status.Indexes, func(a, b IndexStatus) int { return strings.Compare(a.Name, b.Name) })
	for name, replica := range current.Replicas {
		if replica.Stats.IsLeaving.Load() {
			status.LeavingReplicas = append(status.LeavingReplicas, name)
		}
	}
	slices.Sort(status.LeavingReplicas)
	status.EvacuatedDomains = current.EvacuatedDomains
	status.HeldBackRemovals = current.HeldBackRemovals
	status.Superseded = supersededStatuses(current.SupersededKeys, now)
	status.PacedReplicas = pacedReplicas(current, view.MonotonicNow())
	status.Unused = unusedStatus(current.UnusedKeys)
	return status
}

// unusedStatus returns the status of the documents of no use, or nil if there are none.
func unusedStatus(unused view.UnusedKeys) *UnusedStatus {
	if len(unused.Keys) == 0 && unused.UnnamedCount == 0 && unused.OmittedCount == 0 {
		return nil
	}
	return &UnusedStatus{
		RefusedCount: unused.Count(view.UnusedRefused),
		IgnoredCount: unused.Count(view.UnusedIgnored),
		Bytes:        unused.Bytes,
		UnnamedCount: unused.UnnamedCount,
		OmittedCount: unused.OmittedCount,
		Keys:         unused.Keys[:min(len(unused.Keys), maxUnusedKeys)],
	}
}

func supersededStatuses(keys []view.SupersededKey, now time.Time) []SupersededStatus {
	var statuses []SupersededStatus
	for _, supersededkey := range keys {
		statuses = append(statuses, SupersededStatus{SupersededKey: supersededkey, AgeMillis: now.Sub(supersededkey.Since).Milliseconds(), Remedy: supersededkey.Remedy()})
	}
	return statuses
}

// pacedReplicas returns the replicas that are cold or paced, sorted by name. The
// parameter now is the time since view.MonotonicOrigin.
func pacedReplicas(current *view.View, now time.Duration) []PacedReplica {
	var paced []PacedReplica
	for name, replica := range current.Replicas {
		pace := replica.Stats.Pace()
		if !replica.Stats.IsCold(now) && !pace.IsActive() {
			continue
		}
		paced = append(paced, PacedReplica{Name: name, ColdMillis: replica.Stats.ColdLeft(now).Milliseconds(), Limit: pace.Limit, WaitMillis: replica.Stats.ColdWait(now).Milliseconds()})
	}
	slices.SortFunc(paced, func(a, b PacedReplica) int { return strings.Compare(a.Name, b.Name) })
	return paced
}

func memberStatus(member api.Member) MemberStatus {
	return MemberStatus{
		Name:          member.Instance.Name,
		State:         member.State.String(),
		FailureDomain: member.Instance.FailureDomain,
		Incarnation:   member.Incarnation,
		Load:          member.Load,

		CapacityMillicores: member.CapacityMillicores,
		IsOverloaded:       member.IsOverloaded,
	}
}

func indexStatus(index view.Index) IndexStatus {
	status := IndexStatus{
		Name:              index.Name,
		PublishedSnapshot: index.PublishedSnapshot,
		Snapshot:          index.Snapshot,
		ShardCount:        len(index.Shards),
	}
	for _, shard := range index.Shards {
		if len(shard.Replicas) == 0 {
			status.ShardsWithoutReplica = append(status.ShardsWithoutReplica, shard.Name)
		}
	}
	return status
}

// Explanation lists the shards that one request kind of a scope covers, the
// response to GET /v1/explain.
type Explanation struct {
	Scope string `json:"scope"`
	Kind  string `json:"kind"`
	// IsCommand is true if the kind is for commands, and false if it is for queries.
	IsCommand bool               `json:"command"`
	Snapshot  uint64             `json:"snapshot"`
	Shards    []ShardExplanation `json:"shards"`
	// Superseded describes the configurations of which the store states an older one than
	// that from which this follows.
	Superseded []SupersededStatus `json:"superseded,omitempty"`
	// Unused describes the documents of the platform from which nothing of this follows.
	Unused *UnusedStatus `json:"unused,omitempty"`
}

// ShardExplanation is a covered shard and the names of its replicas.
type ShardExplanation struct {
	Name     string   `json:"name"`
	Epoch    uint64   `json:"epoch"`
	Upstream string   `json:"upstream"`
	Replicas []string `json:"replicas"`
	// Evacuated names the replicas that are not used because their failure domain is
	// evacuated.
	Evacuated []string `json:"evacuated,omitempty"`
	// HeldBack names the replicas that are used although the store lacks their entries,
	// which may be written again.
	HeldBack []string `json:"heldBack,omitempty"`
}

func (handler *Handler) getExplain(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	explanation, err := Explain(handler.CurrentView.Load(), query.Get("scope"), query.Get("kind"))
	if err != nil {
		wire.WriteInvalid(writer, err)
		return
	}
	wire.WriteJSON(writer, http.StatusOK, explanation)
}

// Explain lists the shards that a request kind of a scope covers in current. It
// returns an *api.InvalidError if the scope or the kind does not exist.
func Explain(current *view.View, scopeName, kind string) (Explanation, error) {
	scope, isKnown := current.Scopes[scopeName]
	if !isKnown {
		return Explanation{}, &api.InvalidError{Field: "scope", Value: scopeName, Allowed: "a configured scope"}
	}
	selection, isKnown := selectionOf(scope, kind)
	if !isKnown {
		return Explanation{}, &api.InvalidError{Field: "kind", Value: kind, Allowed: "a kind of the scope"}
	}
	explanation := Explanation{
		Scope:     scopeName,
		Kind:      kind,
		IsCommand: selection.IsCommand,
		Snapshot:  current.Indexes[scope.Scope.Index].Snapshot,
		Shards:    []ShardExplanation{},

		Superseded: supersededStatuses(current.SupersededConfigurations(), time.Now()),
		Unused:     unusedStatus(current.UnusedKeys),
	}
	heldBack := make(map[string]bool)
	for _, removal := range current.HeldBackRemovals {
		for _, replica := range removal.Replicas {
			heldBack[replica] = true
		}
	}
	for _, shard := range selection.Shards {
		explanation.Shards = append(explanation.Shards, explainShard(shard, heldBack))
	}
	return explanation, nil
}

// selectionOf returns what a request kind of a scope covers. A scope whose requests are
// passed to one upstream covers those of its split.
func selectionOf(scope view.Scope, kind string) (view.Selection, bool) {
	if scope.Scope.Form != api.FormRelayed {
		selection, isKnown := scope.Selections[kind]
		return selection, isKnown
	}
	selection := view.Selection{Kind: kind, IsCommand: scope.Scope.IsCommand}
	for _, weightedupstream := range scope.WeightedUpstreams {
		selection.Shards = append(selection.Shards, weightedupstream.Shard)
	}
	isKnown := slices.ContainsFunc(scope.Scope.Routes, func(route api.Route) bool { return route.Kind == kind })
	return selection, isKnown
}

func explainShard(shard view.Shard, heldBack map[string]bool) ShardExplanation {
	explanation := ShardExplanation{Name: shard.Name, Epoch: shard.Epoch, Upstream: shard.Upstream.Name, Replicas: []string{}}
	for _, replica := range shard.Replicas {
		explanation.Replicas = append(explanation.Replicas, replica.Instance.Name)
		if replica.Stats.IsEvacuated.Load() {
			explanation.Evacuated = append(explanation.Evacuated, replica.Instance.Name)
		}
		if heldBack[replica.Instance.Name] {
			explanation.HeldBack = append(explanation.HeldBack, replica.Instance.Name)
		}
	}
	return explanation
}

// getDocuments responds with the documents in force, sorted by key. It leaves out what
// the store holds for others, which may be secret. It writes them one by one, so that a
// caller that reads slowly does not make the instance hold a copy of all of them.
func (handler *Handler) getDocuments(writer http.ResponseWriter, _ *http.Request) {
	current := handler.CurrentView.Load()
	writer.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(writer)
	separator := "["
	for _, keystatus := range current.KeyStatuses {
		document, isInForce := current.DocumentsInForce[keystatus.Key]
		if !isInForce || document.IsDeleted || keystatus.IsIgnored {
			continue
		}
		if _, err := io.WriteString(writer, separator); err != nil {
			return
		}
		if err := encoder.Encode(document); err != nil {
			return
		}
		separator = ","
	}
	if separator == "[" {
		_, _ = io.WriteString(writer, separator)
	}
	_, _ = io.WriteString(writer, "]")
}

// getHealth responds with 503 until a scope is configured.
func (handler *Handler) getHealth(writer http.ResponseWriter, _ *http.Request) {
	current := handler.CurrentView.Load()
	if len(current.Scopes) == 0 {
		wire.WriteRefusal(writer, http.StatusServiceUnavailable, "no scope is configured yet", time.Second)
		return
	}
	wire.WriteJSON(writer, http.StatusOK, map[string]string{"state": current.Self.State.String()})
}

func (handler *Handler) getVars(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write([]byte(handler.Metrics.Vars.String()))
}
