package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumdock/pkg/state/dispatch"
	"gypsumdock/pkg/state/model"
)

// benchmarkTime is the time of all events of a benchmark, so that no unit is
// overdue.
const benchmarkTime = time.Second

// newLoadedGroup returns a group whose primary is full, with the given number of
// units of 100 callers that wait for it.
func newLoadedGroup(waiting int) (*dispatch.Group, *dispatch.Placement) {
	group := newBusyGroup()
	samplePrimary(group, benchmarkTime)
	var held *dispatch.Placement
	for i := range 5 + waiting {
		if placement, _ := group.Submit(benchmarkTime, newBenchmarkUnit(urgent, i)); placement != nil {
			held = placement
		}
	}
	return group, held
}

var benchmarkCallers = func() (names [100]model.CallerName) {
	for i := range names {
		names[i] = callerName(i)
	}
	return names
}()

func newBenchmarkUnit(route, i int) *dispatch.Unit {
	unit := newRouteUnit(route, benchmarkTime, benchmarkCallers[i%100], uint64(i/100%10))
	unit.Target, unit.Deadline, unit.Weight = 0, forever, 1+i%4
	return unit
}

var waitingCounts = []int{10, 1000, 100000}

// BenchmarkSlotFreed measures a unit that ends, the decision on the next one, and
// a unit that is queued in its place.
func BenchmarkSlotFreed(b *testing.B) {
	for _, waiting := range waitingCounts {
		b.Run(fmt.Sprint(waiting, " waiting"), func(b *testing.B) {
			group, held := newLoadedGroup(waiting)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				group.Release(benchmarkTime, held)
				held = group.DecideWaiting(benchmarkTime)[0].Placement
				group.Submit(benchmarkTime, newBenchmarkUnit(urgent, i))
			}
		})
	}
}

// BenchmarkNoRoom measures an event that frees no slot that a queued unit needs.
func BenchmarkNoRoom(b *testing.B) {
	for _, waiting := range waitingCounts {
		b.Run(fmt.Sprint(waiting, " waiting"), func(b *testing.B) {
			group, _ := newLoadedGroup(waiting)
			b.ReportAllocs()
			for b.Loop() {
				group.DecideWaiting(benchmarkTime)
			}
		})
	}
}

// BenchmarkQueueAndCancel measures a unit that is queued and then removed.
func BenchmarkQueueAndCancel(b *testing.B) {
	for _, waiting := range waitingCounts {
		b.Run(fmt.Sprint(waiting, " waiting"), func(b *testing.B) {
			group, _ := newLoadedGroup(waiting)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				unit := newBenchmarkUnit(urgent, i)
				group.Submit(benchmarkTime, unit)
				group.Cancel(unit)
			}
		})
	}
}

// BenchmarkLagging measures an event while all queued reads wait for replicas
// that lag, and are due to be checked again.
func BenchmarkLagging(b *testing.B) {
	for _, waiting := range waitingCounts {
		b.Run(fmt.Sprint(waiting, " waiting"), func(b *testing.B) {
			group, _ := newLoadedGroup(10)
			now := benchmarkTime
			for _, id := range []model.UpstreamID{localReplica, remoteReplica} {
				group.Freshness().AddReplicaSample(id, now, model.Position{Term: 1, LSN: 1})
			}
			for i := range waiting {
				unit := newBenchmarkUnit(normal, i)
				unit.Mark, unit.MarkAt = model.Position{Term: 1, LSN: 1 << 30}, forever/2
				group.Submit(now, unit)
			}
			if group.Waiting() != 10+waiting {
				b.Fatal("units are not queued")
			}
			b.ReportAllocs()
			for b.Loop() {
				now += 10 * time.Microsecond
				group.DecideWaiting(now)
			}
		})
	}
}
