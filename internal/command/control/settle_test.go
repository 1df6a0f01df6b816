package control_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

// TestPreferredDomains checks that members prefer their own failure domain, and that
// those of a domain without homes prefer the others in equal shares.
func TestPreferredDomains(t *testing.T) {
	members := fleet(30, 5)
	homes := map[view.ShardKey]view.DomainHomes{
		{Shard: "s1"}: {"domain-0": {"entry-0"}, "domain-1": {"entry-1"}},
		{Shard: "s2"}: {"domain-1": {"entry-6"}},
	}
	tests := map[string]struct {
		domain string
		// want counts the members of the domain by their first preferred domain.
		want map[string]int
	}{
		"homes in the own domain":    {domain: "domain-1", want: map[string]int{"domain-1": 6}},
		"no homes in the own domain": {domain: "domain-3", want: map[string]int{"domain-0": 3, "domain-1": 3}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			counts := make(map[string]int)
			for name, member := range members {
				if member.Instance.FailureDomain == test.domain {
					preferred := control.PreferredDomains(members, homes, name)
					assert.Equal(t, len(preferred), 2)
					counts[preferred[0]]++
				}
			}
			assert.DeepEqual(t, counts, test.want)
		})
	}
}

// TestSettles checks when an instance of a fleet that starts together counts as
// knowing the others. Before that it must not be a home: it would be the home of all
// shards, and each of many instances would open connections to all replicas.
func TestSettles(t *testing.T) {
	joinAt := func(after time.Duration, name string) timedMessage {
		return timedMessage{after: after, message: message.GossipReceived{Gossip: api.Gossip{Members: []api.Member{member(name)}}}}
	}
	tests := map[string]struct {
		messages []timedMessage
		// wantAfter is when the instance settles, in steps of 100 ms.
		wantAfter time.Duration
	}{
		"no other instance":              {wantAfter: 1500 * time.Millisecond},
		"one other instance":             {messages: []timedMessage{joinAt(0, "b")}, wantAfter: 300 * time.Millisecond},
		"others in two waves":            {messages: []timedMessage{joinAt(0, "b"), joinAt(200*time.Millisecond, "c")}, wantAfter: 500 * time.Millisecond},
		"the same one again":             {messages: []timedMessage{joinAt(0, "b"), joinAt(200*time.Millisecond, "b")}, wantAfter: 300 * time.Millisecond},
		"all members of a settled peer":  {messages: []timedMessage{joinAt(100*time.Millisecond, "b"), {after: 100 * time.Millisecond, message: message.MembersReceived{}}}, wantAfter: 100 * time.Millisecond},
		"others that join without pause": {messages: manyJoins(joinAt), wantAfter: 1500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := newState("a")
			for after := time.Duration(0); ; after += 100 * time.Millisecond {
				for _, timedmessage := range test.messages {
					if timedmessage.after == after {
						control.Apply(state, timedmessage.message, start.Add(after))
					}
				}
				control.Apply(state, message.Ticked{}, start.Add(after))
				if control.Build(state, control.RebuildAll).IsSettled {
					assert.Equal(t, after, test.wantAfter)
					return
				}
				assert.Assert(t, control.Build(state, control.RebuildAll).Homes == nil)
				assert.Assert(t, after < 5*time.Second)
			}
		})
	}
}

// timedMessage is a message that control gets the given time after the start.
type timedMessage struct {
	after   time.Duration
	message message.Message
}

// manyJoins returns a join of another instance every 100 ms for 3 s.
func manyJoins(joinAt func(after time.Duration, name string) timedMessage) []timedMessage {
	var joins []timedMessage
	for number := range 30 {
		joins = append(joins, joinAt(time.Duration(number)*100*time.Millisecond, fmt.Sprintf("entry-%d", number)))
	}
	return joins
}
