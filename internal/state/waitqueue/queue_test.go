package waitqueue_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/waitqueue"
)

// TestQueueOrder checks whose turn it is in queues of different length and age.
func TestQueueOrder(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		// targets holds the time until each waiting request's target, in
		// milliseconds, in the order in which they came; 0 stands for none.
		targets []int
		ranks   []uint32
		want    []int
	}{
		"of one rank":             {targets: []int{10, 20, 30}, want: []int{0, 1, 2}},
		"by rank":                 {targets: []int{10, 20, 30, 40, 50, 60}, ranks: []uint32{3, 1, 2, 6, 5, 4}, want: []int{1, 2, 0, 5, 4, 3}},
		"late ones":               {targets: []int{-10, -20, 30}, want: []int{2, 0, 1}},
		"late ones of first rank": {targets: []int{-10, -20, 30, 40, 50}, ranks: []uint32{0, 1, 9, 8, 7}, want: []int{4, 3, 2, 0, 1}},
		"no targets":              {targets: []int{0, 0}, want: []int{0, 1}},
		"all late":                {targets: []int{-10, -20}, want: []int{0, 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			queue := &waitqueue.Queue[int]{}
			numbers := make(map[*waitqueue.Waiter[int]]int)
			for number, left := range test.targets {
				target := now.Add(time.Duration(left) * time.Millisecond)
				if left == 0 {
					target = time.Time{}
				}
				claim := waitqueue.Priority{Target: target}
				if len(test.ranks) > 0 {
					claim.Rank = test.ranks[number]
				}
				numbers[queue.Add(claim)] = number
			}
			var got []int
			for queue.Len() > 0 {
				got = append(got, numbers[queue.Next(now)])
			}
			assert.DeepEqual(t, got, test.want)
			assert.Assert(t, queue.Next(now) == nil)
		})
	}
}

func TestQueueRemove(t *testing.T) {
	queue := &waitqueue.Queue[int]{}
	first, second := queue.Add(waitqueue.Priority{}), queue.Add(waitqueue.Priority{})
	assert.Assert(t, queue.Remove(first))
	assert.Assert(t, !queue.Remove(first))
	assert.Equal(t, queue.Next(time.Now()), second)
	assert.Assert(t, !queue.Remove(second), "it has had its turn")
}
