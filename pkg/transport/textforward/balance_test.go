package textforward

import (
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/balance"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
)

var _ = Describe("Ordered", func() {
	need := Need{Group: "g", Route: "status", TimeToTarget: time.Second}
	request := &meshpb.UnitRequest{Kind: uint32(statement.Read), Unit: &meshpb.UnitOpen{Group: "g", Route: "status", Consistency: uint32(catalog.BoundedStaleness)}}

	newForwarder := func() *Forwarder {
		f := New(slog.New(slog.DiscardHandler))
		f.SetNear(map[model.InstanceID]bool{"a": true, "b": true, "c": false})
		f.SetOrders(Orders{"g": {"a", "b", "c"}})
		return f
	}
	// answer records an answer that took the given time.
	answer := func(f *Forwarder, id model.InstanceID, took time.Duration, reply *meshpb.UnitReply) {
		f.balancer.sent(id, request)
		f.balancer.answered(id, request, reply, f.balancer.now()-took)
	}

	It("puts a server that answers slowly last, and logs it once", func() {
		f := newForwarder()
		for range 5 {
			answer(f, "a", time.Second, &meshpb.UnitReply{})
			answer(f, "b", 10*time.Millisecond, &meshpb.UnitReply{})
		}
		before := telemetry.ServersAvoided.With().Get()
		Expect(f.Ordered(need)).To(Equal([]model.InstanceID{"b", "c", "a"}))
		Expect(f.Ordered(need)).To(Equal([]model.InstanceID{"b", "c", "a"}))
		Expect(telemetry.ServersAvoided.With().Get() - before).To(Equal(1.0))
		f.SetNear(map[model.InstanceID]bool{"b": true})
		Expect(telemetry.ServersAvoided.With().Get() - before).To(BeZero())
	})

	// Servers already puts servers that cannot be reached last.
	It("leaves servers that have just failed last", func() {
		f := newForwarder()
		f.Avoid("a", "connection refused")
		for range 20 {
			Expect(f.Ordered(need)).To(Equal([]model.InstanceID{"b", "c", "a"}))
		}
	})

	It("keeps the order of Servers for a caller with a home", func() {
		f := newForwarder()
		withCaller := need
		withCaller.Caller = "depot"
		f.SetCallerOrder("self", func(model.GroupID, model.CallerName) ([]model.InstanceID, bool) {
			return []model.InstanceID{"a", "b", "c"}, true
		})
		for range 20 {
			Expect(f.Ordered(withCaller)).To(Equal([]model.InstanceID{"a", "b", "c"}))
		}
	})

	It("refuses and counts a load above its bounds", func() {
		f := newForwarder()
		before := telemetry.LoadsRefused.With("reply").Get()
		for _, load := range []*meshpb.ServerLoad{{Running: 1 << 30}, {Waiting: 1 << 30}, {BusyPermille: 1 << 30}} {
			answer(f, "a", time.Millisecond, &meshpb.UnitReply{Load: load})
		}
		Expect(telemetry.LoadsRefused.With("reply").Get() - before).To(Equal(uint64(3)))
		Expect(f.balancer.balance.LoadOf("a")).To(Equal(balance.Load{}))
	})

	It("takes the load from an answer", func() {
		f := newForwarder()
		answer(f, "a", time.Millisecond, &meshpb.UnitReply{Load: &meshpb.ServerLoad{Running: 3, Waiting: 2, BusyPermille: 500}})
		Expect(f.balancer.balance.LoadOf("a")).To(Equal(balance.Load{Running: 3, Waiting: 2, Busy: 0.5}))
	})
})
