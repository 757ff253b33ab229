package routing_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/admission"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/grants"
	"gypsumdock/pkg/state/lag"
	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/retry"
	"gypsumdock/pkg/state/routing"
)

const (
	stepTime      = 30 * time.Second
	month         = 30 * 24 * time.Hour
	readsPerStep  = 8
	writesPerStep = 2
)

// monthRun runs the state of one instance, which is the home of all sessions,
// through a month of virtual time. Each day a replica falls behind for ten
// minutes and the members change; each week the primary changes.
type monthRun struct {
	now        time.Duration
	head       model.Head
	lsn        model.LSN
	tracker    *lag.Tracker
	hysteresis *routing.AgeHysteresis
	home       *marks.Home
	ledger     *marks.Ledger
	view       *marks.MembershipView
	queue      *admission.Queue
	budget     *retry.Budget
	machine    *grants.Machine
	version    model.RowVersion
	row        *grants.Row
	lastUnit   admission.UnitID
}

// daySummary is the state that the test compares between the second day and the
// last.
type daySummary struct {
	replicaShare                                                float64
	marks, samples, hysteresisStates, callers, limit, rowWrites int
}

func newMonth() *monthRun {
	m := &monthRun{
		tracker: lag.New(lag.DefaultMaxSamples), hysteresis: routing.NewAgeHysteresis(time.Second),
		home:   marks.NewHome(marks.HomeConfig{Self: "i0", MaxMarks: 1000, MaxLost: 100}),
		ledger: marks.NewLedger("i0", 1000, 100), view: marks.NewMembershipView(marks.Lease{Lifetime: time.Minute}, marks.Rules{}),
		queue: admission.New(admission.DefaultConfig(2)), budget: retry.New(retry.DefaultConfig()),
		machine: grants.New(grants.Config{
			Self: "i0", LeaseLifetime: time.Minute, IdleTimeout: time.Hour, ReadInterval: time.Hour, ShortageReadInterval: time.Hour, SpareConnections: 1,
		}),
		head: model.Head{
			Version: 1, MembersVersion: 1, Members: []model.Member{{ID: "i0"}},
			Groups: []model.GroupHead{{ID: group, Generation: 1}},
		},
	}
	m.tracker.AddReplica("hire-b", 0)
	m.tracker.AddReplica("hire-c", 0)
	m.handleGrantEvent(grants.UpstreamsAdopted{Upstreams: []grants.UpstreamCapacity{{ID: "hire-a", Connections: 16, Reserve: 1}}})
	return m
}

// mark returns the current log position of the primary.
func (m *monthRun) mark() model.Mark {
	return model.Mark{Generation: m.head.Groups[0].Generation, LSN: m.lsn}
}

// handleGrantEvent passes an event to the state machine of the grants, and
// answers its reads and writes of the table at once.
func (m *monthRun) handleGrantEvent(event grants.Event) {
	for _, action := range m.machine.Handle(m.now, event) {
		switch a := action.(type) {
		case grants.ReadRow:
			m.handleGrantEvent(grants.RowRead{Upstream: "hire-a", AskedAt: m.now, Version: m.version, Row: m.row})
		case grants.WriteRow:
			m.version++
			m.row = a.Row
			m.handleGrantEvent(grants.RowWritten{Op: a.Op, Upstream: "hire-a", Outcome: grants.WriteApplied, Version: m.version, Row: m.row})
		}
	}
}

func (m *monthRun) updateControlState() {
	day := m.now / (24 * time.Hour)
	if m.now%(24*time.Hour) == 0 && day > 0 {
		m.head.Version++
		m.head.MembersVersion++
		m.head.Members = []model.Member{{ID: "i0"}, {ID: model.InstanceID(fmt.Sprintf("j%d", day)), Leaving: true}}
	}
	if m.now%(7*24*time.Hour) == 0 && day > 0 {
		m.head.Version++
		m.head.Groups = []model.GroupHead{{ID: group, Generation: m.mark().Generation + 1, StartLSN: m.lsn - 1}}
		m.lsn += 10
	}
	head := m.head
	set := marks.NewMemberSet(head.MembersVersion, head.Members)
	m.view.Confirm(m.now, m.now, set)
	m.home.ApplyHead(m.now, &head, set)
	m.ledger.SetGroups(head.Groups)
	for _, member := range head.Members {
		m.home.HandedOver(m.now, member.ID, head.Version)
	}
	m.handleGrantEvent(grants.MembershipConfirmed{AskedAt: m.now, Version: head.MembersVersion, Members: []model.InstanceID{"i0"}})
	m.handleGrantEvent(grants.Usage{Upstream: "hire-a", Open: 4, Busy: 3})
}

func (m *monthRun) probeUpstreams() {
	m.tracker.AddPrimarySample(lag.PrimarySample{Group: group, AskedAt: m.now, Position: m.mark()})
	m.home.SetFloor(m.now, group, m.mark())
	m.tracker.AddReplicaSample(lag.ReplicaSample{Group: group, Upstream: "hire-b", AskedAt: m.now, Applied: m.mark()})
	if m.now%(24*time.Hour) >= 10*time.Minute {
		m.tracker.AddReplicaSample(lag.ReplicaSample{Group: group, Upstream: "hire-c", AskedAt: m.now, Applied: m.mark()})
	}
	applied := m.tracker.Applied("hire-c")
	m.home.AllReplicasApplied(group, applied)
	m.ledger.AllReplicasApplied(group, applied)
}

// runUnit admits a unit of work and releases it after a millisecond.
func (m *monthRun) runUnit(caller int) {
	m.lastUnit++
	m.budget.RecordRequest(m.now)
	m.queue.Submit(m.now, admission.Unit{
		ID: m.lastUnit, Caller: model.CallerName(fmt.Sprint(caller)), Arrived: m.now, Deadline: m.now + time.Second,
	}, uint64(m.lastUnit))
	m.queue.Release(m.now+time.Millisecond, m.lastUnit, 1)
}

func (m *monthRun) runWrite(session int) {
	m.runUnit(session)
	m.lsn++
	key := marks.Key{Session: model.SessionID(fmt.Sprint(session)), Group: group}
	m.home.Store(key, m.mark(), m.head.MembersVersion)
	m.ledger.Record(key, m.mark())
}

// runRead routes a read, and reports whether a replica serves it.
func (m *monthRun) runRead(session int) bool {
	m.runUnit(session)
	key := marks.Key{Session: model.SessionID(fmt.Sprint(session)), Group: group}
	answer := m.home.Ask(key, m.head.MembersVersion)
	if answer.Status == marks.AskLost {
		m.home.LossReported(key, answer.Mark)
		m.ledger.LossReported(key, answer.Mark)
	}
	if answer.Status != marks.AskKnown {
		return false
	}
	g := routing.Group{ID: group, Generation: m.mark().Generation, PermitUntil: m.now + time.Second}
	g.Upstreams = append(g.Upstreams, routing.Upstream{ID: "hire-a", Primary: true, Usable: true})
	for _, id := range []model.UpstreamID{"hire-b", "hire-c"} {
		status := m.tracker.Status(id)
		age, known := status.Age(m.now)
		g.Upstreams = append(g.Upstreams, routing.Upstream{
			ID: id, Usable: status.CaughtUp, Applied: status.Applied, FreshAt: status.FreshAt, FreshKnown: status.FreshKnown,
			AdmittedAges: m.hysteresis.Update(m.now, id, age, known, []time.Duration{time.Minute}), ApplyDelay: time.Second,
		})
	}
	decision, _ := routing.Choose(m.now, &routing.Snapshot{Groups: []routing.Group{g}}, routing.Request{
		Route:    &bundle.Route{Group: group, MaxAge: time.Minute},
		ReadOnly: true, Floor: answer.Mark, FloorKind: routing.FloorMarks, Rand: uint64(m.lastUnit),
	})
	return !decision.Primary
}

// runDay simulates a day, and returns the share of reads that replicas served
// and the sizes of the state at its end.
func (m *monthRun) runDay() daySummary {
	replicas, total, before := 0, 0, m.version
	for end := m.now + 24*time.Hour; m.now < end; m.now += stepTime {
		m.updateControlState()
		for i := range writesPerStep {
			m.runWrite((int(m.lastUnit)*7 + i) % 500)
		}
		for i := range readsPerStep {
			total++
			if m.runRead((int(m.lastUnit-2)*7 + i) % 500) {
				replicas++
			}
		}
		m.probeUpstreams()
	}
	held := m.home.Size().Marks + m.home.Size().Lost + m.ledger.Size().Marks + m.ledger.Size().Lost
	return daySummary{
		replicaShare: float64(replicas) / float64(total), marks: held, samples: m.tracker.Samples(), hysteresisStates: m.hysteresis.Size(),
		callers: m.queue.Callers(), limit: m.machine.Limit(m.now, "hire-a"), rowWrites: int(m.version - before),
	}
}

var _ = Describe("a month of virtual time", func() {
	It("ends with the share of replica reads, the memory use and the grants of the second day", func() {
		m := newMonth()
		m.runDay()
		secondDay := m.runDay()
		var lastDay daySummary
		for m.now < month {
			lastDay = m.runDay()
		}
		AddReportEntry("second day", fmt.Sprintf("%+v", secondDay))
		AddReportEntry("last day", fmt.Sprintf("%+v", lastDay))
		Expect(secondDay.replicaShare).To(BeNumerically(">", 0.5))
		Expect(lastDay.replicaShare).To(BeNumerically("~", secondDay.replicaShare, 0.01))
		Expect(lastDay.marks).To(BeNumerically("<=", secondDay.marks))
		Expect(lastDay.samples).To(BeNumerically("<=", lag.DefaultMaxSamples))
		Expect(lastDay.hysteresisStates).To(Equal(secondDay.hysteresisStates))
		Expect(lastDay.callers).To(BeNumerically("<=", secondDay.callers+admission.DefaultConfig(2).Limit))
		Expect(lastDay.limit).To(BeNumerically(">", 0))
		Expect(lastDay.limit).To(Equal(secondDay.limit))
		Expect(lastDay.rowWrites).To(Equal(secondDay.rowWrites))
	})
})
