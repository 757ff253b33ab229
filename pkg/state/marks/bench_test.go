package marks_test

import (
	"fmt"
	"runtime"
	"testing"

	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
)

const benchMarks = 100_000

func benchHome() (*marks.Home, []marks.Key) {
	home := marks.NewHome(marks.HomeConfig{Self: "i1", MaxMarks: benchMarks, MaxLost: 8})
	head := &model.Head{
		Version: 1, MembersVersion: 1, Members: []model.Member{{ID: "i1"}},
		Groups: []model.GroupHead{{ID: testGroup, Generation: 1}},
	}
	home.ApplyHead(0, head, marks.NewMemberSet(1, head.Members))
	home.HandedOver(0, "i1", 1)
	home.SetFloor(0, testGroup, model.Mark{Generation: 1, LSN: 1})
	keys := make([]marks.Key, benchMarks)
	for i := range keys {
		keys[i] = marks.Key{Session: model.SessionID(fmt.Sprintf("caller-%06d", i)), Group: testGroup}
	}
	return home, keys
}

func BenchmarkStore(b *testing.B) {
	home, keys := benchHome()
	for i := range b.N {
		home.Store(keys[i%benchMarks], model.Mark{Generation: 1, LSN: model.LSN(i)}, 1)
	}
}

func BenchmarkAsk(b *testing.B) {
	home, keys := benchHome()
	for i, key := range keys {
		home.Store(key, model.Mark{Generation: 1, LSN: model.LSN(i)}, 1)
	}
	for i := 0; b.Loop(); i++ {
		home.Ask(keys[i%benchMarks], 1)
	}
}

func BenchmarkMemoryPerMark(b *testing.B) {
	home, keys := benchHome()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i, key := range keys {
		home.Store(key, model.Mark{Generation: 1, LSN: model.LSN(i)}, 1)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchMarks, "B/mark")
	b.ReportMetric(float64(home.Size().Marks), "marks")
	runtime.KeepAlive(keys)
}

func BenchmarkHomeOf1000(b *testing.B) {
	var members []model.Member
	for i := range 1000 {
		members = append(members, model.Member{ID: model.InstanceID(fmt.Sprintf("i%d", i))})
	}
	set := marks.NewMemberSet(1, members)
	for b.Loop() {
		set.Home("caller-000001")
	}
}
