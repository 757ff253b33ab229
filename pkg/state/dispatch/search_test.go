package dispatch_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"gypsumdock/pkg/state/dispatch"
	"gypsumdock/pkg/state/model"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "61")
	os.Exit(m.Run())
}

// callerBound is the number of connections that a caller may hold at an upstream
// of newGroup: half of three.
const callerBound = 1

// queueSearch plays random events against a group and records the expected state.
type queueSearch struct {
	t       *rapid.T
	group   *dispatch.Group
	now     time.Duration
	waiting []*dispatch.Unit
	running []*dispatch.Placement
	active  map[*dispatch.Placement]bool
	callers map[*dispatch.Placement]model.CallerName
}

func (s *queueSearch) submit() {
	route := rapid.IntRange(0, 2).Draw(s.t, "route")
	caller := rapid.SampledFrom([]model.CallerName{"", "a", "b", "c"}).Draw(s.t, "caller")
	unit := newRouteUnit(route, s.now, caller, uint64(rapid.IntRange(1, 3).Draw(s.t, "session")))
	unit.Weight = rapid.IntRange(0, 4).Draw(s.t, "weight")
	unit.NeedsPrimary = rapid.Bool().Draw(s.t, "needs primary")
	if rapid.Bool().Draw(s.t, "marked") {
		unit.MarkAt = s.now
		unit.Mark = model.Position{Term: 1, LSN: model.LSN(max(1, s.now/millis(1)))}
	}
	placement, refusal := s.group.Submit(s.now, unit)
	switch {
	case placement != nil:
		s.place(unit, placement)
	case refusal == nil:
		s.waiting = append(s.waiting, unit)
	}
}

func (s *queueSearch) place(unit *dispatch.Unit, placement *dispatch.Placement) {
	s.callers[placement] = unit.Caller
	s.running = append(s.running, placement)
	s.group.Sent(s.now, placement)
	s.active[placement] = true
}

// end answers a statement of a running unit and ends the unit, or leaves it as a
// transaction that waits for its caller.
func (s *queueSearch) end() {
	if len(s.running) == 0 {
		return
	}
	at := rapid.IntRange(0, len(s.running)-1).Draw(s.t, "running")
	placement := s.running[at]
	if s.active[placement] {
		s.group.Answered(s.now, placement, "urgent", millis(rapid.IntRange(1, 40).Draw(s.t, "latency")))
		s.active[placement] = false
		if !placement.Primary {
			applied := model.Position{Term: 1, LSN: model.LSN(rapid.IntRange(1, max(1, int(s.now/millis(1)))).Draw(s.t, "applied"))}
			s.group.Freshness().AddReplicaSample(placement.Upstream, s.now, applied)
		} else {
			samplePrimary(s.group, s.now)
		}
	}
	if rapid.IntRange(0, 3).Draw(s.t, "continues") > 0 {
		s.group.Release(s.now, placement)
		s.running = slices.Delete(s.running, at, at+1)
	}
}

func (s *queueSearch) cancel() {
	if len(s.waiting) == 0 {
		return
	}
	at := rapid.IntRange(0, len(s.waiting)-1).Draw(s.t, "cancelled")
	if !s.group.Cancel(s.waiting[at]) {
		s.t.Fatalf("a queued unit was not found")
	}
	s.waiting = slices.Delete(s.waiting, at, at+1)
}

func (s *queueSearch) changeLeadership() {
	s.group.SetLeadership(dispatch.Leadership{
		Generation: 1, Primary: primary, PermitUntil: forever, Term: 1,
		Sealed:     rapid.Bool().Draw(s.t, "sealed"),
		ExpectedAt: s.now + millis(rapid.IntRange(0, 900).Draw(s.t, "expected")),
	})
}

func (s *queueSearch) decide() {
	for _, decision := range s.group.DecideWaiting(s.now) {
		at := slices.Index(s.waiting, decision.Unit)
		if at < 0 {
			s.t.Fatalf("a decision on a unit that is not queued")
		}
		if (decision.Placement == nil) == (decision.Refusal == nil) {
			s.t.Fatalf("a decision that is not either a placement or a refusal")
		}
		s.waiting = slices.Delete(s.waiting, at, at+1)
		if decision.Placement != nil {
			s.place(decision.Unit, decision.Placement)
		}
	}
	if s.group.Waiting() != len(s.waiting) {
		s.t.Fatalf("%d units are queued, expected %d", s.group.Waiting(), len(s.waiting))
	}
	sealed := s.group.Leadership().Sealed
	atPrimary, connections := 0, 0
	held := map[model.CallerName]int{}
	for _, placement := range s.running {
		if placement.Primary {
			connections++
			held[s.callers[placement]]++
			if s.active[placement] {
				atPrimary++
			}
		}
	}
	for caller, count := range held {
		if caller != "" && count > callerBound {
			s.t.Fatalf("a caller holds %d connections", count)
		}
	}
	for _, unit := range s.waiting {
		atBound := unit.Caller != "" && held[unit.Caller] >= callerBound
		if unit.NeedsPrimary && !sealed && !atBound && atPrimary < 2 && connections < 3 && len(s.group.Suspects(s.now)) == 0 {
			s.t.Fatalf("a unit waits for the primary, which has room")
		}
		if s.now >= unit.Deadline {
			s.t.Fatalf("a unit waits past its deadline")
		}
	}
}

// Guards against units that are lost or decided twice, and against slots that
// stay free while a unit waits for them.
var _ = Describe("any sequence of events", func() {
	It("leaves each unit queued or decided once, and no slot free that a unit needs", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := &queueSearch{t: t, group: newGroup(), active: map[*dispatch.Placement]bool{}, callers: map[*dispatch.Placement]model.CallerName{}}
			samplePrimary(s.group, 0)
			for range rapid.IntRange(1, 120).Draw(t, "steps") {
				s.now += millis(rapid.IntRange(0, 30).Draw(t, "pause"))
				switch rapid.IntRange(0, 9).Draw(t, "event") {
				case 0, 1, 2, 3, 4, 5:
					s.submit()
				case 6, 7:
					s.end()
				case 8:
					s.cancel()
				case 9:
					s.changeLeadership()
				}
				s.decide()
			}
		})
	})
})
