package reuse_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/reuse"
)

func TestReuse(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reuse")
}

// used returns the use of a caller with this many units of work a second, over
// the ten seconds before now.
func used(t *reuse.Tracker, now time.Duration, name model.CallerName, perSecond int) *reuse.Use {
	use := t.Caller(now, name)
	for i := range 10 * perSecond {
		t.Record(now-10*time.Second+time.Duration(i)*time.Second/time.Duration(perSecond), name)
	}
	return use
}

var _ = Describe("Least", func() {
	const now = time.Minute
	var t *reuse.Tracker
	BeforeEach(func() { t = reuse.NewTracker() })

	It("finds none among none", func() {
		Expect(t.Least(now, nil)).To(Equal(-1))
	})

	// Guards against closing by age alone: between two units of a frequent caller
	// several rare ones may come, and each would close its connection.
	It("is the connection of the rarest caller, whether or not it was used last", func() {
		rare, frequent := used(t, now, "rare", 1), used(t, now, "frequent", 20)
		Expect(t.Least(now, []*reuse.Use{frequent, rare})).To(Equal(1))
		Expect(t.Least(now, []*reuse.Use{rare, frequent})).To(Equal(0))
	})

	// Guards against a caller that keeps its most connections ever for good.
	It("is a surplus connection of a caller before the only one of a rarer caller", func() {
		rare, frequent := used(t, now, "rare", 1), used(t, now, "frequent", 5)
		Expect(t.Least(now, []*reuse.Use{frequent, rare, frequent, frequent})).To(Equal(0))
		Expect(t.Least(now, []*reuse.Use{rare, frequent, frequent, frequent})).To(Equal(1))
	})

	It("is the longest unused one of a single caller", func() {
		only := used(t, now, "", 7)
		Expect(t.Least(now, []*reuse.Use{only, only, only})).To(Equal(0))
		unused := t.Caller(now, "unused")
		Expect(t.Least(now, []*reuse.Use{unused, unused})).To(Equal(0))
	})

	// Guards against a caller that was frequent once and keeps its connection.
	It("is the connection of a caller that sends no more units", func() {
		ceased := used(t, now, "ceased", 10)
		later := now + 5*time.Minute
		rare := used(t, later, "rare", 1)
		Expect(t.Least(later, []*reuse.Use{rare, ceased})).To(Equal(1))
		Expect(t.Rate(later, ceased)).To(BeNumerically("<", 0.05))
	})

	It("gives the same answer again, and after the weights were scaled", func() {
		now := time.Duration(0)
		a, b := t.Caller(now, "a"), t.Caller(now, "b")
		for now < 3*time.Hour {
			now += 500 * time.Millisecond
			t.Record(now, "a")
			t.Record(now, "a")
			t.Record(now, "b")
		}
		Expect(t.Rate(now, a)).To(BeNumerically("~", 4, 0.1))
		Expect(t.Rate(now, b)).To(BeNumerically("~", 2, 0.1))
		for range 3 {
			Expect(t.Least(now, []*reuse.Use{b, a})).To(Equal(0))
		}
	})
})

var _ = Describe("Tracker", func() {
	// Guards against memory that grows with each caller that was ever seen.
	It("forgets callers that send no more units, but not those with a connection", func() {
		t := reuse.NewTracker()
		held := t.Caller(0, "held")
		held.Retain()
		now := time.Duration(0)
		for i := range 20_000 {
			now += time.Second
			t.Record(now, model.CallerName(fmt.Sprint(i)))
		}
		Expect(t.Callers()).To(BeNumerically("<", 1000))
		Expect(t.Caller(now, "held")).To(BeIdenticalTo(held))
	})
})

// The decision must take less than a microsecond at 100 callers.
func BenchmarkLeast(b *testing.B) {
	t := reuse.NewTracker()
	var idle []*reuse.Use
	for i := range 100 {
		use := t.Caller(0, model.CallerName(fmt.Sprint(i)))
		t.Record(time.Duration(i)*time.Millisecond, model.CallerName(fmt.Sprint(i)))
		idle = append(idle, use)
	}
	b.ReportAllocs()
	for b.Loop() {
		t.Least(time.Minute, idle)
	}
}

func BenchmarkRecord(b *testing.B) {
	t := reuse.NewTracker()
	for i := range 100 {
		t.Caller(0, model.CallerName(fmt.Sprint(i)))
	}
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		t.Record(now, "50")
	}
}
