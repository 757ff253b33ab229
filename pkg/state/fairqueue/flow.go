package fairqueue

import (
	"cmp"
	"container/heap"
	"container/list"
	"time"
)

// Flow is the state of a flow in a queue.
type Flow[K, S comparable, T any] struct {
	key    K
	weight int
	// startTag is the virtual time at which the next item of the flow starts.
	startTag time.Duration
	// enteredAt orders flows of equal start tags by when they got their first
	// item.
	enteredAt uint64
	lanes     []flowLane[K, S, T]
	queued    int
	running   int
}

// flowLane holds the items of a flow in one lane.
type flowLane[K, S comparable, T any] struct {
	// index is the position of the flow in the lane's heap.
	index    int
	queued   int
	sessions map[S]*list.Element
	// turns holds the sessions with items, in the order of their turns. Each
	// element is a *session.
	turns *list.List
}

// session holds the items of a session in one lane.
type session[K, S comparable, T any] struct {
	id    S
	items itemHeap[K, S, T]
}

// Item is a queued item.
type Item[K, S comparable, T any] struct {
	Value   T
	flow    *Flow[K, S, T]
	session S
	// turn is the element of the session in flowLane.turns while the item is
	// queued.
	turn *list.Element
	lane int
	// index is the position in the session's heap plus one; zero if the item is
	// not queued.
	index    int
	sequence uint64
}

// Flow returns the flow of the item.
func (i *Item[K, S, T]) Flow() *Flow[K, S, T] { return i.flow }

// Lane returns the lane of the item.
func (i *Item[K, S, T]) Lane() int { return i.lane }

// Sequence returns a number that increases with each item of the queue.
func (i *Item[K, S, T]) Sequence() uint64 { return i.sequence }

func (i *Item[K, S, T]) queued() bool { return i.index > 0 }

func newFlow[K, S comparable, T any](key K, lanes int) *Flow[K, S, T] {
	f := &Flow[K, S, T]{key: key, weight: 1, lanes: make([]flowLane[K, S, T], lanes)}
	for lane := range f.lanes {
		f.lanes[lane] = flowLane[K, S, T]{sessions: make(map[S]*list.Element), turns: list.New()}
	}
	return f
}

// Queued returns the number of queued items of the flow.
func (f *Flow[K, S, T]) Queued() int { return f.queued }

// QueuedIn returns the number of queued items of the flow in a lane.
func (f *Flow[K, S, T]) QueuedIn(lane int) int { return f.lanes[lane].queued }

// Weight returns the weight of the flow.
func (f *Flow[K, S, T]) Weight() int { return f.weight }

// Newest returns the newest item of the session with the most items, of several
// the one whose turn comes last. It returns nil if the flow has none.
func (f *Flow[K, S, T]) Newest() *Item[K, S, T] {
	var longest *session[K, S, T]
	for i := range f.lanes {
		for element := f.lanes[i].turns.Front(); element != nil; element = element.Next() {
			candidate := element.Value.(*session[K, S, T])
			if longest == nil || len(candidate.items.items) >= len(longest.items.items) {
				longest = candidate
			}
		}
	}
	if longest == nil {
		return nil
	}
	newest := longest.items.items[0]
	for _, item := range longest.items.items {
		if item.sequence > newest.sequence {
			newest = item
		}
	}
	return newest
}

func (f *Flow[K, S, T]) isIdle() bool { return f.queued == 0 && f.running == 0 }

// isHeavier reports whether the flow has more queued items than other in
// proportion to its weight, or as many and entered later.
func (f *Flow[K, S, T]) isHeavier(other *Flow[K, S, T]) bool {
	own, others := f.queued*other.weight, other.queued*f.weight
	return own > others || own == others && f.enteredAt > other.enteredAt
}

func (l *flowLane[K, S, T]) first() *Item[K, S, T] {
	return l.turns.Front().Value.(*session[K, S, T]).items.items[0]
}

func (l *flowLane[K, S, T]) push(item *Item[K, S, T], compare func(a, b T) int, front bool) {
	element := l.sessions[item.session]
	if element == nil {
		added := &session[K, S, T]{id: item.session, items: itemHeap[K, S, T]{compare: compare}}
		element = l.turns.PushBack(added)
		l.sessions[item.session] = element
	}
	if front {
		l.turns.MoveToFront(element)
	}
	item.turn = element
	heap.Push(&element.Value.(*session[K, S, T]).items, item)
	l.queued++
}

func (l *flowLane[K, S, T]) remove(item *Item[K, S, T]) {
	held := item.turn.Value.(*session[K, S, T])
	heap.Remove(&held.items, item.index-1)
	l.queued--
	if len(held.items.items) == 0 {
		l.turns.Remove(item.turn)
		delete(l.sessions, item.session)
	}
	item.turn = nil
}

// flowHeap orders the flows of a lane by start tag.
type flowHeap[K, S comparable, T any] struct {
	lane   int
	queued int
	flows  []*Flow[K, S, T]
}

func (h *flowHeap[K, S, T]) Len() int { return len(h.flows) }

func (h *flowHeap[K, S, T]) Less(i, j int) bool {
	a, b := h.flows[i], h.flows[j]
	return cmp.Or(cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.enteredAt, b.enteredAt)) < 0
}

func (h *flowHeap[K, S, T]) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].lanes[h.lane].index = i
	h.flows[j].lanes[h.lane].index = j
}

func (h *flowHeap[K, S, T]) Push(x any) {
	f := x.(*Flow[K, S, T])
	f.lanes[h.lane].index = len(h.flows)
	h.flows = append(h.flows, f)
}

func (h *flowHeap[K, S, T]) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	return f
}

// itemHeap orders the items of a session.
type itemHeap[K, S comparable, T any] struct {
	compare func(a, b T) int
	items   []*Item[K, S, T]
}

func (h *itemHeap[K, S, T]) Len() int { return len(h.items) }

func (h *itemHeap[K, S, T]) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	return cmp.Or(h.compare(a.Value, b.Value), cmp.Compare(a.sequence, b.sequence)) < 0
}

func (h *itemHeap[K, S, T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index = i + 1
	h.items[j].index = j + 1
}

func (h *itemHeap[K, S, T]) Push(x any) {
	item := x.(*Item[K, S, T])
	h.items = append(h.items, item)
	item.index = len(h.items)
}

func (h *itemHeap[K, S, T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	item.index = 0
	return item
}
