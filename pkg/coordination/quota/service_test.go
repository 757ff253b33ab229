package quota_test

import (
	"fmt"
	"log/slog"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"gypsumdock/pkg/coordination/quota"
	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
	state "gypsumdock/pkg/state/quota"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota service")
}

type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }

// fakePeers delivers reports at once and counts them.
type fakePeers struct {
	from     model.InstanceID
	services map[model.InstanceID]*quota.Service
	sent     int
	size     func(state.Report) int
	bytes    int
}

func (p *fakePeers) SendUsage(to model.InstanceID, report state.Report) {
	p.sent++
	if p.size != nil {
		p.bytes += p.size(report)
	}
	if service := p.services[to]; service != nil {
		service.Receive(p.from, report)
	}
}

// fleet is a set of services in touch with each other.
type fleet struct {
	clock    *fakeClock
	services []*quota.Service
	peers    []*fakePeers
}

func newFleet(members int, callers []catalog.Caller) *fleet {
	f := &fleet{clock: &fakeClock{now: time.Second}}
	active := (&catalog.Catalog{Version: 1}).WithCallers(callers)
	snapshot := &region.Snapshot{Catalog: active, View: failover.View{Registered: true, HeadConfirmedAt: time.Hour}}
	for i := range members {
		id := model.InstanceID(fmt.Sprintf("i%02d", i))
		snapshot.View.Members = append(snapshot.View.Members, failover.MemberView{Member: model.Member{ID: id}})
	}
	services := make(map[model.InstanceID]*quota.Service)
	for _, view := range snapshot.View.Members {
		peers := &fakePeers{from: view.Member.ID, services: services}
		service := quota.New(quota.Config{
			Self: view.Member.ID, Tolerance: state.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, Clock: f.clock,
			Snapshot: func() *region.Snapshot { return snapshot }, Peers: peers, Logger: slog.New(slog.DiscardHandler),
		})
		services[view.Member.ID] = service
		f.services, f.peers = append(f.services, service), append(f.peers, peers)
	}
	return f
}

func (f *fleet) tick() {
	f.clock.now += 100 * time.Millisecond
	for _, service := range f.services {
		service.Tick()
	}
}

func (f *fleet) sent() (messages, bytes int) {
	for _, p := range f.peers {
		messages += p.sent
		bytes += p.bytes
	}
	return messages, bytes
}

func callers(count int) []catalog.Caller {
	var accounts []catalog.Caller
	for i := range count {
		accounts = append(accounts, catalog.Caller{Name: model.CallerName(fmt.Sprintf("c%05d", i)), Rate: 10, Burst: 10})
	}
	return accounts
}

var _ = Describe("the service", func() {
	It("limits a caller that is known, and neither one without a rate nor one without a name", func() {
		f := newFleet(3, append(callers(1), catalog.Caller{Name: "free"}))
		for range 50 {
			f.tick()
		}
		admitted := map[model.CallerName]int{}
		for range 200 {
			for _, caller := range []model.CallerName{"c00000", "free", ""} {
				if ok, _ := f.services[0].Admit(caller); ok {
					admitted[caller]++
				}
			}
		}
		Expect(admitted["c00000"]).To(BeNumerically("<", 30))
		Expect(admitted["free"]).To(Equal(200))
		Expect(admitted[""]).To(Equal(200))
	})

	It("sends nothing without accounts that have a rate", func() {
		without := newFleet(3, []catalog.Caller{{Name: "free"}})
		for range 100 {
			without.services[0].Admit("free")
			without.tick()
		}
		Expect(without.sent()).To(BeZero())
	})

	// Guards against reports that never end: those of one member ask for those of
	// the others.
	DescribeTable("ends its reports a minute after", func(admit func(f *fleet)) {
		const ticksPerMinute = int(time.Minute / (100 * time.Millisecond))
		f := newFleet(3, callers(5))
		f.tick()
		admit(f)
		for range ticksPerMinute + 50 {
			f.tick()
		}
		before, _ := f.sent()
		Expect(before).To(BeNumerically(">", 0))
		for range 100 {
			f.tick()
		}
		after, _ := f.sent()
		Expect(after).To(Equal(before))
	},
		Entry("the last unit of work", func(f *fleet) { f.services[0].Admit("c00000") }),
		Entry("the members have joined, if there is none", func(*fleet) {}),
	)

	It("drops invalid entries of a peer and goes on", func() {
		f := newFleet(2, callers(1))
		f.tick()
		f.services[0].Receive("i01", state.Report{Sent: 1, Echo: 1 << 40})
		f.services[0].Receive("i01", state.Report{Sent: 2, Usage: []state.Usage{
			{Caller: "nobody", Used: 1}, {Caller: "c00000", Used: 1 << 60}, {Caller: "c00000", Used: 1, Demand: -1},
		}})
		f.services[0].Receive("stranger", state.Report{Sent: 1})
		for range 50 {
			f.tick()
		}
		admitted, _ := f.services[0].Admit("c00000")
		Expect(admitted).To(BeTrue())
	})

	It("sends a bounded number of messages for 12 members and 74 callers", func() {
		f := newFleet(12, callers(74))
		for _, p := range f.peers {
			p.size = encodedSize
		}
		const seconds = 60
		for tick := range seconds * 10 {
			f.tick()
			// 937 units of work a second, half of them of four callers.
			for i := range 94 {
				caller := (i*7 + tick) % 74
				if i%2 == 0 {
					caller = i % 4
				}
				f.services[(i+tick)%12].Admit(model.CallerName(fmt.Sprintf("c%05d", caller)))
			}
		}
		messages, bytes := f.sent()
		AddReportEntry("messages and bytes a second of all members", fmt.Sprintf("%d %d", messages/seconds, bytes/seconds))
		Expect(messages / seconds).To(BeNumerically("<=", 12*11*10))
	})

	It("decides without an allocation", func() {
		f := newFleet(12, callers(74))
		f.tick()
		Expect(testing.AllocsPerRun(1000, func() { f.services[0].Admit("c00033") })).To(BeZero())
	})
})

func encodedSize(report state.Report) int {
	return proto.Size(encode(report))
}

func BenchmarkAdmit(b *testing.B) {
	for _, count := range []int{74, 10000} {
		b.Run(fmt.Sprintf("callers=%d", count), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			f := newFleet(12, callers(count))
			names := make([]model.CallerName, count)
			for i, caller := range callers(count) {
				names[i] = caller.Name
			}
			for range 30 {
				for _, name := range names {
					f.services[0].Admit(name)
				}
				f.tick()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				f.services[0].Admit(names[i%count])
				i++
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/12/float64(count), "B/caller/member")
			runtime.KeepAlive(f)
		})
	}
}
