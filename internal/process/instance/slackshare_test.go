package instance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
)

// TestSlackShareAtStart checks that an instance that may not know the others yet, such
// as one of many that start at once, or whose earlier process may have spent its share
// (review/10), takes no share of the retry budget's slack.
func TestSlackShareAtStart(t *testing.T) {
	tests := map[string]struct {
		isSettled, bySender bool
		// age is the time since the start; 0 stands for one that is long past.
		age          time.Duration
		isFirstStart bool
		// isAdded is set if another member has been running for a minute.
		isAdded bool
		seeds   []string
		want    float64
	}{
		"unsettled":                     {bySender: true},
		"settled":                       {bySender: true, isSettled: true, want: 1},
		"unsettled without the setting": {want: 1},
		"just started":                  {bySender: true, isSettled: true, age: time.Millisecond},
		"just started, the first time":  {bySender: true, isSettled: true, age: time.Millisecond, isFirstStart: true, want: 1},
		"within the window":             {isSettled: true, age: 9 * time.Second},
		"others may not know it yet":    {isSettled: true, isAdded: true, age: 14 * time.Second},
		"after a whole window":          {bySender: true, isSettled: true, age: 10 * time.Second, want: 1},
		"added, after a whole window":   {isSettled: true, isAdded: true, age: 16 * time.Second, want: 0.5},
		"alone, another one is a seed":  {bySender: true, isSettled: true, seeds: []string{"127.0.0.1:1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := control.NewState(api.Member{Instance: api.Instance{Name: "a"}}, time.Second, time.Now())
			state.IsSettled = test.isSettled
			instance := &Instance{settings: settings.Settings{Name: "a", Seeds: test.seeds}}
			instance.settings.Retries.Window.Duration = 10 * time.Second
			instance.settings.Retries.IsFirstStart = test.isFirstStart
			if test.age > 0 {
				instance.startedAt = time.Now().Add(-test.age)
			}
			instance.settings.Schedule.SlackBySender = test.bySender
			state.Self.Incarnation = uint64(time.Hour)
			if test.isAdded {
				state.Members["b"] = control.Member{Member: api.Member{Instance: api.Instance{Name: "b"}, Incarnation: uint64(time.Hour - time.Minute)}}
			}
			instance.control = control.New(state, instance.logger)
			instance.control.CurrentView.Publish(control.Build(state, control.RebuildAll))
			assert.Equal(t, instance.slackShare(), test.want)
		})
	}
}
