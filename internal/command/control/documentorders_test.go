package control_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// orderFleet is a few instances that exchange what they lack as peers do.
type orderFleet struct {
	t      *testing.T
	states map[string]*control.State
	now    time.Time
	// cutOff holds the instances that no other one reaches.
	cutOff map[string]bool
	// sentCount is the number of documents that instances have sent each other.
	sentCount int
}

// orderStep is one event of an order.
type orderStep func(orderfleet *orderFleet)

// apply applies a message to the named instance. It checks that the number of the
// configuration in force does not decrease in the lifetime of an instance.
func (orderfleet *orderFleet) apply(name string, received message.Message) {
	state := orderfleet.states[name]
	before := state.DocumentsInForce["config"].Document
	control.Apply(state, received, orderfleet.now)
	after := state.DocumentsInForce["config"].Document
	assert.Assert(orderfleet.t, after.Number.Compare(before.Number) >= 0, "%s went from number %d to %d", name, before.Number.Sequence, after.Number.Sequence)
}

// exchange lets all instances that reach each other exchange documents, as far as their
// digests differ, and announce their configurations.
func (orderfleet *orderFleet) exchange() {
	for range len(orderfleet.states) {
		for _, from := range slices.Sorted(maps.Keys(orderfleet.states)) {
			for _, to := range slices.Sorted(maps.Keys(orderfleet.states)) {
				if from != to && !orderfleet.cutOff[from] && !orderfleet.cutOff[to] {
					orderfleet.send(from, to)
				}
			}
		}
	}
}

// send sends one instance what it lacks of what the other has.
func (orderfleet *orderFleet) send(from, to string) {
	sender, receiver := control.Build(orderfleet.states[from], control.RebuildAll), control.Build(orderfleet.states[to], control.RebuildAll)
	if sender.Era > receiver.Era {
		orderfleet.apply(to, message.PlatformAnswered{Era: sender.Era})
	}
	if sender.ConfigurationVersion.After(receiver.CoveredVersion) {
		orderfleet.apply(to, message.ConfigurationAnnounced{Version: sender.ConfigurationVersion})
	}
	if sender.ConfigDigest == receiver.ConfigDigest {
		return
	}
	for _, status := range sender.KeyStatuses {
		for _, document := range sender.DocumentsLacked(status.Key, receiver.HeldVersions(status.Key)) {
			orderfleet.sentCount++
			orderfleet.apply(to, message.DocumentReceived{Decoded: api.Decode(document, orderDecode)})
		}
	}
	orderfleet.apply(to, message.ConfigurationReceived{Version: sender.ConfigurationVersion})
}

// orderDecode decodes the documents of the orders: what they define follows from the key,
// and their number is already set.
func orderDecode(document api.Document) api.DecodedDocument {
	decoded := api.DecodedDocument{Document: document}
	switch {
	case document.IsDeleted:
	case string(document.Value) == "broken":
		decoded.RefusalReason = "broken"
	case document.Key == "config":
		decoded.Scopes = []api.Scope{{Name: "all"}}
	case document.Key == "evacuation":
		decoded.Evacuation = &api.Evacuation{FailureDomain: "north"}
	default:
		instance := api.Instance{Name: document.Key, Upstream: "upstream", Incarnation: document.Number.Incarnation, Sequence: document.Number.Sequence}
		decoded.Instances = &api.InstanceList{Instances: []api.Instance{instance}}
	}
	return decoded
}

// Steps of the orders.

// stepRead is the receipt of documents from the store by an instance.
func stepRead(name string, documents ...api.Document) orderStep {
	return func(orderfleet *orderFleet) {
		for _, document := range documents {
			orderfleet.apply(name, message.DocumentReceived{Decoded: orderDecode(document), IsFromPlatform: true})
		}
	}
}

// stepList is the receipt of a listing of all documents.
func stepList(name string, era, revision uint64, documents ...api.Document) orderStep {
	return func(orderfleet *orderFleet) {
		stepRead(name, documents...)(orderfleet)
		received := listed(era, revision)
		for _, document := range documents {
			received.Keys[document.Key] = true
		}
		orderfleet.apply(name, received)
		orderfleet.apply(name, message.ConfigurationReceived{Version: received.Version})
	}
}

// stepWait passes time, in which the instances exchange what they lack.
func stepWait(duration time.Duration) orderStep {
	return func(orderfleet *orderFleet) {
		orderfleet.exchange()
		orderfleet.now = orderfleet.now.Add(duration)
		for _, name := range slices.Sorted(maps.Keys(orderfleet.states)) {
			orderfleet.apply(name, message.Ticked{})
		}
		orderfleet.exchange()
	}
}

// stepRestart replaces instances by ones that know nothing.
func stepRestart(names ...string) orderStep {
	return func(orderfleet *orderFleet) {
		for _, name := range names {
			orderfleet.states[name] = newState(name)
		}
	}
}

// stepCut cuts instances off from the others, or joins all with none.
func stepCut(names ...string) orderStep {
	return func(orderfleet *orderFleet) {
		clear(orderfleet.cutOff)
		for _, name := range names {
			orderfleet.cutOff[name] = true
		}
	}
}

func orderDocument(key string, era, revision uint64, number api.Number, value string) api.Document {
	return api.Document{Key: key, Era: era, Revision: revision, Number: number, Value: []byte(value)}
}

func orderRemoval(key string, era, revision uint64) api.Document {
	return api.Document{Key: key, Era: era, Revision: revision, IsDeleted: true}
}

// documentOrder is one order of events around one key, and what all instances must hold
// in the end.
type documentOrder struct {
	// before is in force on all instances before the store is restored.
	before []api.Document
	steps  []orderStep
	key    string
	// want is in force in the end. Its Value and Number count.
	want api.Document
	// wantRemoved is set if the key must be removed in the end.
	wantRemoved bool
	// wantStated is the sequence number that is reported as stated by the store; 0 if
	// the store states what is in force or lacks it.
	wantStated uint64
	// wantLost is set if the store is reported to lack the key.
	wantLost bool
}

// documentOrders returns the orders of docs/design/store-era.md. The store is restored
// from a copy of revision 850 while revision 900 is in force.
func documentOrders() map[string]documentOrder {
	const soon, late, long = time.Second, 10 * time.Second, 5 * time.Second
	config := func(era, revision, number uint64, value string) api.Document {
		return orderDocument("config", era, revision, api.Number{Sequence: number}, value)
	}
	entry := func(era, revision, incarnation, sequence uint64, value string) api.Document {
		return orderDocument("replica", era, revision, api.Number{Incarnation: incarnation, Sequence: sequence}, value)
	}
	evacuation := func(era, revision uint64) api.Document {
		return orderDocument("evacuation", era, revision, api.Number{}, "")
	}
	newer, older, broken := config(1, 900, 9, "moved"), config(2, 850, 7, "unmoved"), config(2, 850, 0, "broken")
	live, outdated := entry(1, 900, 3, 20, "leaving"), entry(2, 850, 3, 19, "ready")
	order := func(key string, before, want api.Document, wantStated uint64, steps ...orderStep) documentOrder {
		return documentOrder{key: key, before: []api.Document{before}, want: want, wantStated: wantStated, steps: steps}
	}
	lost := func(key string, before api.Document, steps ...orderStep) documentOrder {
		return documentOrder{key: key, before: []api.Document{before}, want: before, wantLost: true, steps: steps}
	}
	removed := func(key string, before api.Document, wantStated uint64, steps ...orderStep) documentOrder {
		return documentOrder{key: key, before: []api.Document{before}, wantRemoved: true, wantStated: wantStated, steps: steps}
	}
	return map[string]documentOrder{
		"the copy is older, never written again":   order("config", newer, newer, 7, stepList("a", 2, 850, older), stepWait(late)),
		"the copy lacks it, never written again":   lost("config", newer, stepList("a", 2, 850), stepWait(late)),
		"the copy is older, written again soon":    order("config", newer, newer, 0, stepList("a", 2, 850, older), stepWait(soon), stepRead("a", config(2, 860, 9, "moved")), stepWait(late)),
		"the copy is older, written again late":    order("config", newer, newer, 0, stepList("a", 2, 850, older), stepWait(late), stepRead("a", config(2, 860, 9, "moved")), stepWait(late)),
		"the copy lacks it, written again late":    order("config", newer, newer, 0, stepList("a", 2, 850), stepWait(late), stepRead("a", config(2, 860, 9, "moved")), stepWait(late)),
		"written again as a higher version":        order("config", newer, config(0, 0, 11, "split"), 0, stepList("a", 2, 850, older), stepWait(late), stepRead("a", config(2, 860, 11, "split")), stepWait(late)),
		"written again as one between":             order("config", newer, newer, 8, stepList("a", 2, 850, older), stepWait(late), stepRead("a", config(2, 860, 8, "between")), stepWait(late)),
		"one between, then the same":               order("config", newer, newer, 0, stepList("a", 2, 850, older), stepWait(late), stepRead("a", config(2, 860, 8, "between"), config(2, 861, 9, "moved")), stepWait(late)),
		"the same version with another content":    order("config", newer, config(0, 0, 9, "other"), 0, stepList("a", 2, 850, older), stepWait(late), stepRead("a", config(2, 860, 9, "other")), stepWait(late)),
		"another content below the known revision": order("config", newer, config(0, 0, 9, "other"), 0, stepList("a", 2, 890, config(2, 880, 9, "other")), stepWait(late)),
		"restored twice, never written again":      order("config", newer, newer, 6, stepList("a", 2, 850, older), stepWait(soon), stepList("a", 3, 840, config(3, 840, 6, "first")), stepWait(late)),
		"restored twice, written again in between": order("config", newer, newer, 7, stepList("a", 2, 850, older), stepRead("a", config(2, 860, 9, "moved")), stepWait(soon), stepList("a", 3, 840, config(3, 840, 7, "unmoved")), stepWait(late)),
		"restored twice, then lacking":             lost("config", newer, stepList("a", 2, 850, older), stepWait(soon), stepList("a", 3, 840), stepWait(late)),
		"a reader restarts, the listing first":     order("config", newer, newer, 7, stepList("a", 2, 850, older), stepWait(late), stepRestart("a"), stepList("a", 2, 850, older), stepWait(late)),
		"a reader restarts, peers first":           order("config", newer, newer, 7, stepList("a", 2, 850, older), stepWait(late), stepRestart("a"), stepWait(soon), stepList("a", 2, 850, older), stepWait(late)),
		"a reader restarts, the copy lacks it":     lost("config", newer, stepList("a", 2, 850), stepWait(late), stepRestart("a"), stepList("a", 2, 850), stepWait(late)),
		"a reader restarts before it is read":      order("config", newer, newer, 7, stepRestart("a"), stepList("a", 2, 850, older), stepWait(late)),
		"another instance restarts":                order("config", newer, newer, 7, stepList("a", 2, 850, older), stepWait(late), stepRestart("c"), stepWait(late)),
		"a domain restarts":                        order("config", newer, newer, 7, stepList("a", 2, 850, older), stepWait(late), stepRestart("a", "b"), stepList("b", 2, 850, older), stepWait(late)),
		"a domain restarts, then a higher version": order("config", newer, config(0, 0, 10, "split"), 0, stepRestart("a", "b"), stepList("b", 2, 850, older), stepWait(late), stepRead("a", config(2, 870, 10, "split")), stepWait(late)),
		"all restart":                                order("config", newer, config(0, 0, 7, "unmoved"), 0, stepList("a", 2, 850, older), stepWait(late), stepRestart("a", "b", "c"), stepList("a", 2, 850, older), stepWait(late)),
		"all restart, then it is written again":      order("config", newer, newer, 0, stepRestart("a", "b", "c"), stepList("a", 2, 850, older), stepWait(late), stepRead("a", config(2, 860, 9, "moved")), stepWait(late)),
		"a part is cut off during the restore":       order("config", newer, newer, 7, stepCut("c"), stepList("a", 2, 850, older), stepWait(late), stepCut(), stepWait(late)),
		"a part is cut off, the others restart":      order("config", newer, newer, 7, stepCut("c"), stepRestart("a", "b"), stepList("a", 2, 850, older), stepWait(late), stepCut(), stepWait(late)),
		"a part is cut off, a higher version":        order("config", newer, config(0, 0, 10, "split"), 0, stepCut("c"), stepRestart("a", "b"), stepList("a", 2, 850, older), stepRead("a", config(2, 860, 10, "split")), stepWait(late), stepCut(), stepWait(late)),
		"a part is cut off, one between":             order("config", newer, newer, 8, stepCut("c"), stepRestart("a", "b"), stepList("a", 2, 850, older), stepRead("a", config(2, 860, 8, "between")), stepWait(late), stepCut(), stepWait(late)),
		"the copy is refused":                        order("config", newer, newer, 0, stepList("a", 2, 850, broken), stepWait(late), stepRestart("b"), stepWait(late)),
		"a refused one after an older one":           order("config", newer, newer, 7, stepList("a", 2, 850, older), stepRead("a", config(2, 860, 0, "broken")), stepWait(late), stepRestart("a"), stepList("a", 2, 860, config(2, 860, 0, "broken")), stepWait(late)),
		"a refused one, then a higher version":       order("config", newer, config(0, 0, 11, "split"), 0, stepList("a", 2, 850, older), stepRead("a", config(2, 860, 0, "broken"), config(2, 861, 11, "split")), stepWait(late)),
		"no era, a late write of a lower version":    order("config", config(0, 900, 9, "moved"), newer, 8, stepRead("a", config(0, 901, 8, "late")), stepWait(late), stepRestart("b"), stepWait(late)),
		"no era, the same version again":             order("config", config(0, 900, 9, "moved"), config(0, 0, 9, "other"), 0, stepRead("a", config(0, 901, 9, "other")), stepWait(late)),
		"no numbers, an older content":               order("config", config(1, 900, 0, "moved"), config(0, 0, 0, "unmoved"), 0, stepList("a", 2, 850, config(2, 850, 0, "unmoved")), stepWait(late), stepWait(long)),
		"no numbers, written again soon":             order("config", config(1, 900, 0, "moved"), config(0, 0, 0, "moved"), 0, stepList("a", 2, 850, config(2, 850, 0, "unmoved")), stepRead("a", config(2, 860, 0, "moved")), stepWait(late)),
		"a number, then one without":                 order("config", newer, newer, 0, stepRead("a", config(1, 910, 0, "none")), stepWait(late), stepRead("a", config(1, 911, 9, "moved")), stepWait(late)),
		"withdrawn after the restore":                removed("config", newer, 0, stepList("a", 2, 850, older), stepWait(late), stepRead("a", orderRemoval("config", 2, 860)), stepWait(late)),
		"withdrawn between two listings":             removed("config", newer, 0, stepList("a", 2, 850, older), stepWait(late), stepList("a", 2, 870), stepWait(late)),
		"withdrawn where only the copy is known":     removed("config", newer, 0, stepCut("c"), stepRestart("a", "b"), stepList("a", 2, 850, older), stepWait(late), stepRead("a", orderRemoval("config", 2, 860)), stepWait(late), stepCut(), stepWait(late)),
		"withdrawn, then a lower version":            removed("config", newer, 8, stepRead("a", orderRemoval("config", 1, 910), config(1, 911, 8, "lower")), stepWait(late)),
		"withdrawn, then a higher version":           order("config", newer, config(0, 0, 10, "split"), 0, stepRead("a", orderRemoval("config", 1, 910), config(1, 911, 10, "split")), stepWait(late)),
		"an evacuation that the store lost":          lost("evacuation", evacuation(1, 900), stepList("a", 2, 850), stepWait(late), stepRestart("a"), stepList("a", 2, 850), stepWait(late)),
		"an evacuation, lost, written and withdrawn": removed("evacuation", evacuation(1, 900), 0, stepList("a", 2, 850), stepWait(late), stepRead("a", evacuation(2, 860), orderRemoval("evacuation", 2, 861)), stepWait(late)),

		"an older entry, within the time":             order("replica", live, live, 19, stepList("a", 2, 850, outdated), stepWait(soon)),
		"an older entry, never written again":         removed("replica", live, 0, stepList("a", 2, 850, outdated), stepWait(long), stepWait(long)),
		"an older entry, written again soon":          order("replica", live, entry(0, 0, 3, 21, "leaving"), 0, stepList("a", 2, 850, outdated), stepWait(soon), stepRead("a", entry(2, 860, 3, 21, "leaving")), stepWait(late)),
		"an older entry, written again late":          order("replica", live, entry(0, 0, 3, 22, "ready"), 0, stepList("a", 2, 850, outdated), stepWait(late), stepRead("a", entry(2, 860, 3, 22, "ready")), stepWait(late)),
		"an older entry whose lease expires":          removed("replica", live, 0, stepList("a", 2, 850, outdated), stepWait(soon), stepRead("a", orderRemoval("replica", 2, 855)), stepWait(long), stepWait(long)),
		"an older entry, a reader restarts":           removed("replica", live, 0, stepRestart("a"), stepList("a", 2, 850, outdated), stepWait(long), stepWait(long)),
		"an older entry, a reader restarts later":     removed("replica", live, 0, stepList("a", 2, 850, outdated), stepWait(late), stepRestart("a"), stepList("a", 2, 850, outdated), stepWait(long), stepWait(long)),
		"an older entry, all restart":                 order("replica", live, entry(0, 0, 3, 19, "ready"), 0, stepRestart("a", "b", "c"), stepList("a", 2, 850, outdated), stepWait(late)),
		"the entry of a replaced process":             removed("replica", entry(1, 900, 4, 2, "ready"), 0, stepList("a", 2, 850, entry(2, 850, 3, 90, "ready")), stepWait(long), stepWait(long)),
		"a replaced process, the new one writes":      order("replica", entry(1, 900, 4, 2, "ready"), entry(0, 0, 4, 3, "ready"), 0, stepList("a", 2, 850, entry(2, 850, 3, 90, "ready")), stepRead("a", entry(2, 860, 4, 3, "ready")), stepWait(late)),
		"a replaced process, a late write":            order("replica", entry(1, 900, 4, 2, "ready"), entry(0, 0, 4, 2, "ready"), 91, stepRead("a", entry(1, 910, 3, 91, "ready")), stepWait(late)),
		"a replica that left, older in the copy":      removed("replica", live, 19, stepRead("a", orderRemoval("replica", 1, 910)), stepWait(late), stepList("a", 2, 850, outdated), stepWait(late)),
		"a replica that left, the same in the copy":   removed("replica", live, 0, stepRead("a", orderRemoval("replica", 1, 910)), stepWait(late), stepList("a", 2, 850, entry(2, 849, 3, 20, "leaving")), stepWait(late)),
		"a replica that left, taken by a restarted":   removed("replica", live, 0, stepRead("a", orderRemoval("replica", 1, 910)), stepWait(late), stepRestart("a"), stepList("a", 2, 850, entry(2, 849, 3, 20, "leaving")), stepWait(late)),
		"a replica that left, and lives after all":    order("replica", live, entry(0, 0, 3, 25, "ready"), 0, stepRead("a", orderRemoval("replica", 1, 910)), stepWait(late), stepList("a", 2, 850, outdated), stepRead("a", entry(2, 860, 3, 25, "ready")), stepWait(late)),
		"a replica that left, its name is used again": order("replica", live, entry(0, 0, 5, 1, "ready"), 0, stepRead("a", orderRemoval("replica", 1, 910)), stepWait(late), stepList("a", 2, 850, outdated), stepRead("a", entry(2, 860, 5, 1, "ready")), stepWait(late)),
		"an entry of the copy, restored twice":        removed("replica", live, 0, stepList("a", 2, 850, outdated), stepWait(soon), stepList("a", 3, 840, entry(3, 840, 3, 18, "ready")), stepWait(long), stepWait(long)),
	}
}

// TestDocumentOrders guards against configurations and entries of a restored copy that
// come into force again: it plays the orders of copies, writes, restarts and cuts. In the
// end all instances must hold the same, and have nothing left to send each other.
func TestDocumentOrders(t *testing.T) {
	for name, order := range documentOrders() {
		t.Run(name, func(t *testing.T) { playDocumentOrder(t, order) })
	}
}

func playDocumentOrder(t *testing.T, order documentOrder) {
	orderfleet := &orderFleet{t: t, states: make(map[string]*control.State), now: start, cutOff: make(map[string]bool)}
	stepRestart("a", "b", "c")(orderfleet)
	first := order.before[0]
	stepList("a", first.Era, first.Revision, order.before...)(orderfleet)
	orderfleet.apply("a", message.PlatformAnswered{AnsweredAt: start, Era: first.Era})
	stepWait(time.Minute)(orderfleet)
	for _, step := range order.steps {
		step(orderfleet)
	}
	sentCount := orderfleet.sentCount
	orderfleet.exchange()
	assert.Equal(t, orderfleet.sentCount, sentCount, "the instances still send each other documents")
	views := make(map[string]*view.View)
	for name, state := range orderfleet.states {
		views[name] = control.Build(state, control.RebuildAll)
	}
	for name, current := range views {
		inForce := current.DocumentsInForce[order.key]
		assert.Equal(t, inForce.IsDeleted, order.wantRemoved, "%s", name)
		if !order.wantRemoved {
			assert.Equal(t, string(inForce.Value), string(order.want.Value), "%s", name)
			assert.Equal(t, inForce.Number, order.want.Number, "%s", name)
		}
		assert.Equal(t, current.ConfigDigest, views["a"].ConfigDigest, "%s", name)
		assert.Assert(t, current.ConfigurationLackedSince.IsZero(), "%s still looks for a configuration", name)
		var stated uint64
		isLost := false
		for _, supersededkey := range current.SupersededKeys {
			stated = supersededkey.StatedNumber.Sequence
			isLost = supersededkey.Reason == view.SupersededByLoss
		}
		assert.Equal(t, stated, order.wantStated, "%s", name)
		assert.Equal(t, isLost, order.wantLost, "%s", name)
	}
}
