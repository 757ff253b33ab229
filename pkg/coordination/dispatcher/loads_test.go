package dispatcher_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/dispatcher"
	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/dispatch"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/loadshare"
	"gypsumdock/pkg/state/model"
)

func TestDispatcher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatcher")
}

// clock is a region.Clock that the test sets.
type clock struct{ now time.Duration }

func (c *clock) Now() time.Duration { return c.now }

const group = model.GroupID("g")

// newServer returns a server of a group with a primary of 5 slots. servers holds
// all servers of the group.
func newServer(now *clock, self model.InstanceID, version uint64, servers ...model.Member) *dispatcher.Dispatcher {
	d := dispatcher.New(dispatcher.Config{Clock: now, Self: self, UseTopology: func(dispatcher.Topology) {}})
	publish(d, version, servers...)
	return d
}

func publish(d *dispatcher.Dispatcher, version uint64, servers ...model.Member) {
	d.Publish(&region.Snapshot{
		Catalog:         catalog.New(1, nil, []catalog.Group{{ID: group, MaxConnections: 49}}, catalog.Limits{}),
		Upstreams:       map[model.UpstreamID]catalog.Upstream{"u": {ID: "u", Group: group, Address: "192.0.2.1:1", Slots: 5}},
		Serving:         map[model.GroupID]region.Serving{group: {Servers: servers, Local: true}},
		TopologyVersion: version,
		View: failover.View{Groups: []failover.GroupView{{
			ID: group, Generation: 1, Primary: "u", Timeline: 1, PermitUntil: time.Hour,
		}}},
	})
}

// place places writes until one is not placed at once, and returns the placements.
func place(now *clock, d *dispatcher.Dispatcher, atMost int) []*dispatch.Placement {
	var placements []*dispatch.Placement
	for range atMost {
		ctx, cancel := context.WithCancel(context.Background())
		// With an ended context a unit is placed at once or not at all.
		cancel()
		unit := &dispatch.Unit{Route: "r", NeedsPrimary: true, Arrived: now.now, Deadline: now.now + time.Minute}
		placement, _ := d.Acquire(ctx, group, unit)
		if placement == nil {
			break
		}
		d.Sent(group, placement)
		placements = append(placements, placement)
	}
	return placements
}

// deliver passes the reports of one server on to the others.
func deliver(from model.InstanceID, all map[model.InstanceID]*dispatcher.Dispatcher) int {
	reports := all[from].LoadReports()
	for _, report := range reports {
		Expect(all[report.To].LoadReported(from, report.Counts)).To(Succeed())
	}
	return len(reports)
}

var _ = Describe("two servers before an upstream of 5 slots", func() {
	var now *clock
	var all map[model.InstanceID]*dispatcher.Dispatcher
	members := []model.Member{{ID: "a"}, {ID: "b"}}

	BeforeEach(func() {
		now = &clock{now: time.Second}
		all = map[model.InstanceID]*dispatcher.Dispatcher{
			"a": newServer(now, "a", 1, members...), "b": newServer(now, "b", 1, members...),
		}
	})

	exchange := func() {
		for range 5 {
			deliver("a", all)
			deliver("b", all)
			now.now += loadshare.ReportInterval
		}
	}

	It("may use an equal part each until they have heard of each other", func() {
		Expect(place(now, all["a"], 20)).To(HaveLen(5))
	})

	It("may use what the other leaves of twice the slots", func() {
		exchange()
		Expect(place(now, all["a"], 2)).To(HaveLen(2))
		exchange()
		Expect(place(now, all["b"], 20)).To(HaveLen(8))
	})

	It("exchange nothing while idle", func() {
		exchange()
		exchange()
		Expect(deliver("a", all) + deliver("b", all)).To(BeZero())
	})

	It("returns to the equal part when the other is silent for a second", func() {
		exchange()
		now.now += 1100 * time.Millisecond
		all["a"].LoadReports()
		Expect(place(now, all["a"], 20)).To(HaveLen(5))
	})

	It("is not limited by the other any more after the other has ceased to serve", func() {
		exchange()
		place(now, all["b"], 9)
		exchange()
		publish(all["a"], 2, model.Member{ID: "a"})
		Expect(place(now, all["a"], 20)).To(HaveLen(10))
	})

	It("refuses a report on an upstream that is unknown", func() {
		err := all["a"].LoadReported("b", []loadshare.Count{{Upstream: "x", Outstanding: 1}})
		Expect(err).To(MatchError(loadshare.ErrUnknownUpstream))
	})
})
