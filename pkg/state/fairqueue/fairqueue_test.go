package fairqueue_test

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gypsumdock/pkg/state/fairqueue"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "53")
	os.Exit(m.Run())
}

func TestFairQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fairqueue")
}

type queue = fairqueue.Queue[string, int, int]

func newQueue(lanes int) *queue {
	return fairqueue.New[string, int](lanes, cmp.Compare[int])
}

// takeNext takes the next item of lane 0 and runs it for the given cost.
func takeNext(q *queue, cost time.Duration) int {
	item := q.Next(0)
	q.Take(item)
	q.End(q.Start(item.Flow(), cost), cost)
	return item.Value
}

var _ = Describe("Queue", func() {
	// Guards against a choice among some flows that does not follow the start tags.
	It("returns the next item of the flows that are accepted", func() {
		q := newQueue(1)
		for i, key := range []string{"first", "second", "third"} {
			q.Push(q.Flow(key, 1), 0, 0, i)
			q.Push(q.Flow(key, 1), 0, 0, i)
		}
		Expect(takeNext(q, 2*time.Millisecond)).To(Equal(0))
		Expect(takeNext(q, time.Millisecond)).To(Equal(1))
		of := func(keys ...string) *fairqueue.Item[string, int, int] {
			return q.NextOf(0, func(key string) bool { return slices.Contains(keys, key) })
		}
		Expect(of("first", "second", "third")).To(BeIdenticalTo(q.Next(0)))
		Expect(of("first", "second").Value).To(Equal(1))
		Expect(of("first").Value).To(Equal(0))
		Expect(of()).To(BeNil())
	})

	// Guards against shares that follow the number of items instead of weights.
	It("shares the slot time by weight among flows with items", func() {
		q := newQueue(1)
		for i := range 700 {
			q.Push(q.Flow("four", 4), 0, 0, i)
			q.Push(q.Flow("two", 2), 0, 0, 1000+i)
			q.Push(q.Flow("one", 1), 0, 0, 2000+i)
		}
		served := map[int]int{}
		for range 700 {
			served[takeNext(q, time.Millisecond)/1000]++
		}
		Expect(served[0]).To(BeNumerically("~", 400, 4))
		Expect(served[1]).To(BeNumerically("~", 200, 4))
		Expect(served[2]).To(BeNumerically("~", 100, 4))
	})

	// Guards against a flow that gains by items that run longer than expected.
	It("corrects the expected cost by the actual one", func() {
		q := newQueue(1)
		for i := range 300 {
			q.Push(q.Flow("long", 1), 0, 0, i)
			q.Push(q.Flow("short", 1), 0, 0, 1000+i)
		}
		served := map[int]int{}
		for range 200 {
			item := q.Next(0)
			q.Take(item)
			actual := time.Millisecond
			if item.Value < 1000 {
				actual = 3 * time.Millisecond
			}
			q.End(q.Start(item.Flow(), time.Millisecond), actual)
			served[item.Value/1000]++
		}
		Expect(served[1]).To(BeNumerically("~", 3*served[0], 4))
	})

	// Guards against a larger share within a flow for a session with more items.
	It("gives the sessions of a flow turns", func() {
		q := newQueue(1)
		for i := range 3 {
			q.Push(q.Flow("a", 1), 1, 0, i)
		}
		q.Push(q.Flow("a", 1), 2, 0, 10)
		q.Push(q.Flow("a", 1), 3, 0, 20)
		order := []int{}
		for range 5 {
			order = append(order, takeNext(q, time.Millisecond))
		}
		Expect(order).To(Equal([]int{0, 10, 20, 1, 2}))
	})

	It("restores items that were taken, with their turns", func() {
		q := newQueue(1)
		for i := range 6 {
			q.Push(q.Flow("a", 1), i%3, 0, i)
		}
		var taken []*fairqueue.Item[string, int, int]
		for range 4 {
			taken = append(taken, q.Next(0))
			q.Take(q.Next(0))
		}
		for i := len(taken) - 1; i >= 0; i-- {
			q.Restore(taken[i])
		}
		for i := range 6 {
			Expect(takeNext(q, time.Millisecond)).To(Equal(i))
		}
	})

	// Guards against credit for the time in which a flow had no items.
	It("gives no credit for an idle time", func() {
		q := newQueue(1)
		for i := range 100 {
			q.Push(q.Flow("busy", 1), 0, 0, i)
		}
		for range 50 {
			takeNext(q, time.Millisecond)
		}
		for i := range 50 {
			q.Push(q.Flow("new", 1), 0, 0, 1000+i)
		}
		served := 0
		for range 20 {
			served += takeNext(q, time.Millisecond) / 1000
		}
		Expect(served).To(BeNumerically("~", 10, 1))
	})

	It("keeps the state of a bounded number of flows", func() {
		q := newQueue(1)
		for i := range 10000 {
			q.End(q.StartUnqueued(q.Flow(fmt.Sprint(i), 1), time.Millisecond), time.Second)
		}
		Expect(q.Flows()).To(BeNumerically("<=", 66))
	})

	// Compares with a list that is sorted on each step.
	It("counts and orders its items for any sequence of events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			q := newQueue(3)
			items := map[int]*fairqueue.Item[string, int, int]{}
			for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
				lane := rapid.IntRange(0, 2).Draw(t, "lane")
				picked := rapid.IntRange(0, 80).Draw(t, "picked")
				switch rapid.IntRange(0, 4).Draw(t, "event") {
				case 0, 1:
					flow := q.Flow(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "flow"), lane+1)
					items[i] = q.Push(flow, picked%3, lane, i)
				case 2:
					if item := items[picked]; item != nil {
						q.Remove(item)
						delete(items, picked)
					}
				case 3:
					if item := items[picked]; item != nil {
						q.Move(item, lane)
					}
				case 4:
					if item := q.Next(lane); item != nil {
						q.Take(item)
						delete(items, item.Value)
						q.End(q.Start(item.Flow(), time.Millisecond), time.Duration(picked)*time.Millisecond)
					}
				}
				counts := map[int]int{}
				weights := map[*fairqueue.Flow[string, int, int]]int{}
				for _, item := range items {
					counts[item.Lane()]++
					weights[item.Flow()] = item.Flow().Weight()
				}
				total := 0
				for _, weight := range weights {
					total += weight
				}
				if q.Queued() != len(items) || q.WaitingWeight() != total {
					t.Fatalf("queued %d, weight %d; expected %d and %d", q.Queued(), q.WaitingWeight(), len(items), total)
				}
				for lane := range 3 {
					if q.QueuedIn(lane) != counts[lane] || (q.Next(lane) == nil) != (counts[lane] == 0) {
						t.Fatalf("lane %d: queued %d, expected %d", lane, q.QueuedIn(lane), counts[lane])
					}
				}
			}
		})
	})
})

// newBenchmarkQueue returns a queue with the given number of items of 100 flows.
func newBenchmarkQueue(waiting int) (*queue, []*fairqueue.Flow[string, int, int]) {
	q := newQueue(1)
	flows := make([]*fairqueue.Flow[string, int, int], 100)
	for i := range flows {
		flows[i] = q.Flow(fmt.Sprint(i), 1+i%4)
	}
	for i := range waiting {
		q.Push(flows[i%100], i/100%10, 0, i)
	}
	return q, flows
}

// BenchmarkDecision measures the choice of an item and its start.
func BenchmarkDecision(b *testing.B) {
	for _, waiting := range []int{100, 1000, 100000} {
		b.Run(fmt.Sprintf("100 flows, %d waiting", waiting), func(b *testing.B) {
			q, _ := newBenchmarkQueue(waiting)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				item := q.Next(0)
				q.Take(item)
				q.Start(item.Flow(), time.Duration(i%3)*time.Millisecond)
				q.Restore(item)
			}
		})
	}
}

// BenchmarkItem measures an item from its arrival to its end.
func BenchmarkItem(b *testing.B) {
	for _, waiting := range []int{100, 1000, 100000} {
		b.Run(fmt.Sprintf("100 flows, %d waiting", waiting), func(b *testing.B) {
			q, flows := newBenchmarkQueue(waiting)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Push(flows[i%100], i%10, 0, i)
				item := q.Next(0)
				q.Take(item)
				q.End(q.Start(item.Flow(), time.Millisecond), time.Duration(i%3)*time.Millisecond)
			}
		})
	}
}
