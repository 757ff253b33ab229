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
	step   = 30 * time.Second
	month  = 30 * 24 * time.Hour
	reads  = 8 // in a step
	writes = 2
)

// month runs one instance's state, as the home of all sessions, through a
// month of virtual time: each day a replica falls behind for ten minutes, the
// members change, and each week the primary.
type monthRun struct {
	now     time.Duration
	head    model.Head
	lsn     model.LSN
	tracker *lag.Tracker
	edges   *routing.AgeHysteresis
	home    *marks.Home
	ledger  *marks.Ledger
	view    *marks.MembershipView
	queue   *admission.Queue
	budget  *retry.Budget
	machine *grants.Machine
	version model.RowVersion
	row     *grants.Row
	units   admission.UnitID
}

// sizes is what is compared between the first hour and the last.
type sizes struct {
	share                                            float64
	marks, samples, edges, callers, limit, rowWrites int
}

func newMonth() *monthRun {
	m := &monthRun{
		tracker: lag.New(lag.DefaultMaxSamples), edges: routing.NewAgeHysteresis(time.Second),
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
	m.grant(grants.UpstreamsAdopted{Upstreams: []grants.UpstreamCapacity{{ID: "hire-a", Connections: 16, Reserve: 1}}})
	return m
}

func (m *monthRun) mark() model.Mark {
	return model.Mark{Generation: m.head.Groups[0].Generation, LSN: m.lsn}
}

// grant gives an event to the machine; the table answers at once.
func (m *monthRun) grant(event grants.Event) {
	for _, action := range m.machine.Handle(m.now, event) {
		switch a := action.(type) {
		case grants.ReadRow:
			m.grant(grants.RowRead{Upstream: "hire-a", AskedAt: m.now, Version: m.version, Row: m.row})
		case grants.WriteRow:
			m.version++
			m.row = a.Row
			m.grant(grants.RowWritten{Op: a.Op, Upstream: "hire-a", Outcome: grants.WriteApplied, Version: m.version, Row: m.row})
		}
	}
}

func (m *monthRun) control() {
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
	m.grant(grants.MembershipConfirmed{AskedAt: m.now, Version: head.MembersVersion, Members: []model.InstanceID{"i0"}})
	m.grant(grants.Usage{Upstream: "hire-a", Open: 4, Busy: 3})
}

func (m *monthRun) probe() {
	m.tracker.AddPrimarySample(lag.PrimarySample{Group: group, AskedAt: m.now, Position: m.mark()})
	m.home.SetFloor(m.now, group, m.mark())
	m.tracker.AddReplicaSample(lag.ReplicaSample{Group: group, Upstream: "hire-b", AskedAt: m.now, Applied: m.mark()})
	if m.now%(24*time.Hour) >= 10*time.Minute {
		m.tracker.AddReplicaSample(lag.ReplicaSample{Group: group, Upstream: "hire-c", AskedAt: m.now, Applied: m.mark()})
	}
	passed := m.tracker.Applied("hire-c")
	m.home.AllReplicasApplied(group, passed)
	m.ledger.AllReplicasApplied(group, passed)
}

// unit runs a unit of work through the queue.
func (m *monthRun) unit(caller int) {
	m.units++
	m.budget.RecordRequest(m.now)
	m.queue.Submit(m.now, admission.Unit{
		ID: m.units, Caller: model.CallerName(fmt.Sprint(caller)), Arrived: m.now, Deadline: m.now + time.Second,
	}, uint64(m.units))
	m.queue.Release(m.now+time.Millisecond, m.units, 1)
}

func (m *monthRun) write(session int) {
	m.unit(session)
	m.lsn++
	key := marks.Key{Session: model.SessionID(fmt.Sprint(session)), Group: group}
	m.home.Store(key, m.mark(), m.head.MembersVersion)
	m.ledger.Record(key, m.mark())
}

// read returns whether a replica serves the read.
func (m *monthRun) read(session int) bool {
	m.unit(session)
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
			AdmittedAges: m.edges.Update(m.now, id, age, known, []time.Duration{time.Minute}), ApplyDelay: time.Second,
		})
	}
	decision, _ := routing.Choose(m.now, &routing.Snapshot{Groups: []routing.Group{g}}, routing.Request{
		Route:    &bundle.Route{Group: group, MaxAge: time.Minute},
		ReadOnly: true, Floor: answer.Mark, FloorKind: routing.FloorMarks, Rand: uint64(m.units),
	})
	return !decision.Primary
}

// day lets a day of traffic pass and returns its share and what is held at
// its end.
func (m *monthRun) day() sizes {
	replicas, total, before := 0, 0, m.version
	for end := m.now + 24*time.Hour; m.now < end; m.now += step {
		m.control()
		for i := range writes {
			m.write((int(m.units)*7 + i) % 500)
		}
		for i := range reads {
			total++
			if m.read((int(m.units-2)*7 + i) % 500) {
				replicas++
			}
		}
		m.probe()
	}
	held := m.home.Size().Marks + m.home.Size().Lost + m.ledger.Size().Marks + m.ledger.Size().Lost
	return sizes{
		share: float64(replicas) / float64(total), marks: held, samples: m.tracker.Samples(), edges: m.edges.Size(),
		callers: m.queue.Callers(), limit: m.machine.Limit(m.now, "hire-a"), rowWrites: int(m.version - before),
	}
}

var _ = Describe("a month of virtual time", func() {
	It("leaves the share of replicas, the memory and the grants as on the first days", func() {
		m := newMonth()
		m.day()
		second := m.day()
		var last sizes
		for m.now < month {
			last = m.day()
		}
		AddReportEntry("second day", fmt.Sprintf("%+v", second))
		AddReportEntry("last day", fmt.Sprintf("%+v", last))
		Expect(second.share).To(BeNumerically(">", 0.5))
		Expect(last.share).To(BeNumerically("~", second.share, 0.01))
		Expect(last.marks).To(BeNumerically("<=", second.marks))
		Expect(last.samples).To(BeNumerically("<=", lag.DefaultMaxSamples))
		Expect(last.edges).To(Equal(second.edges))
		Expect(last.callers).To(BeNumerically("<=", second.callers+admission.DefaultConfig(2).Limit))
		Expect(last.limit).To(BeNumerically(">", 0))
		Expect(last.limit).To(Equal(second.limit))
		Expect(last.rowWrites).To(Equal(second.rowWrites))
	})
})
