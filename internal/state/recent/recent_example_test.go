package recent_test

import (
	"fmt"

	"github.com/mimosaspring/mimosaspring/internal/state/recent"
)

func ExampleLatest() {
	limits := recent.New[string, int](2)
	limits.Put("a", 1)
	limits.Put("b", 2)
	limits.Get("a")
	evicted, _ := limits.Put("c", 3)
	_, isStored := limits.Get("b")
	fmt.Println(evicted, isStored, limits.Len())
	// Output: 2 false 2
}
