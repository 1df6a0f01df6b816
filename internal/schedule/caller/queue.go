package caller

import "container/list"

// queue holds values in the order in which they were added, and removes any of them in
// constant time.
type queue[V comparable] struct {
	values   list.List
	elements map[V]*list.Element
}

func newQueue[V comparable]() *queue[V] {
	return &queue[V]{elements: make(map[V]*list.Element)}
}

// add adds a value that the queue does not hold.
func (queue *queue[V]) add(value V) { queue.elements[value] = queue.values.PushBack(value) }

// remove removes a value that the queue holds.
func (queue *queue[V]) remove(value V) {
	queue.values.Remove(queue.elements[value])
	delete(queue.elements, value)
}

// first returns the value that was added first, and whether there is one.
func (queue *queue[V]) first() (V, bool) {
	element := queue.values.Front()
	if element == nil {
		var none V
		return none, false
	}
	return element.Value.(V), true
}
