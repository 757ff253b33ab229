package engine_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	. "github.com/onsi/gomega/gstruct"

	"gypsumdock/pkg/coordination/sessions"
	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/verdict"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine")
}

func refusedWith(code verdict.Code, outcome verdict.Outcome) OmegaMatcher {
	return PointTo(MatchFields(IgnoreExtras, Fields{"Code": Equal(code), "Outcome": Equal(outcome)}))
}

var _ = Describe("a write", func() {
	var w *world

	BeforeEach(func() { w = newWorld() })

	admit := func(ctx context.Context, tag string) *traffic.Ticket {
		GinkgoHelper()
		ticket, refused := w.engine.Admit(ctx, w.statement(tag, false))
		Expect(refused).To(BeNil())
		return ticket
	}

	It("goes to the primary under a permit, and counts as in flight", func(ctx SpecContext) {
		ticket := admit(ctx, "")
		Expect(ticket.Primary).To(BeTrue())
		Expect(ticket.Upstream.ID).To(Equal(primary))
		Expect(w.engine.MaySend(ticket)).To(BeNil())
		Expect(w.engine.MaySend(ticket)).To(BeNil())
		Expect(w.engine.WritesInFlight(group, generation)).To(Equal(1))
		w.engine.Done(ticket, traffic.Result{})
		Expect(w.engine.WritesInFlight(group, generation)).To(BeZero())
	})

	DescribeTable("is not sent once its permit is gone",
		func(ctx SpecContext, change func()) {
			ticket := admit(ctx, "")
			change()
			Expect(w.engine.MaySend(ticket)).To(refusedWith(verdict.NoPermit, verdict.NotRun))
			Expect(w.engine.WritesInFlight(group, generation)).To(BeZero())
		},
		Entry("lapsed", func() { w.clock.advance(permitLifetime) }),
		Entry("sealed", func() { w.publish(func(s *state) { s.sealed = true }) }),
		Entry("replaced", func() { w.publish(func(s *state) { s.generation++ }) }),
	)

	It("is acknowledged under a seal while the permit lasts, but not after", func(ctx SpecContext) {
		ticket := admit(ctx, "")
		Expect(w.engine.MaySend(ticket)).To(BeNil())
		w.publish(func(s *state) { s.sealed = true })
		Expect(w.engine.MayAcknowledge(ctx, ticket, 100)).To(BeNil())
		w.clock.advance(permitLifetime)
		Expect(w.engine.MayAcknowledge(ctx, ticket, 100)).To(refusedWith(verdict.PermitLapsed, verdict.MayHaveRun))
	})

	It("is not acknowledged if the permit lapsed while its mark was stored", func(ctx SpecContext) {
		ticket := admit(ctx, "")
		w.sessions.onRecord = func() { w.clock.advance(permitLifetime) }
		Expect(w.engine.MayAcknowledge(ctx, ticket, 100)).To(refusedWith(verdict.PermitLapsed, verdict.MayHaveRun))
	})

	It("is not acknowledged without its mark", func(ctx SpecContext) {
		ticket := admit(ctx, "")
		w.sessions.stored = sessions.NotStored
		Expect(w.engine.MayAcknowledge(ctx, ticket, 100)).To(refusedWith(verdict.MarkNotStored, verdict.MayHaveRun))
	})

	It("waits for as many replicas as its route asks for", func(ctx SpecContext) {
		ticket := admit(ctx, tagSynced)
		ticket.Deadline = time.Now().Add(20 * time.Millisecond)
		Expect(w.engine.MayAcknowledge(ctx, ticket, 500)).To(refusedWith(verdict.DeadlineExceeded, verdict.MayHaveRun))
		ticket.Deadline = time.Now().Add(time.Minute)
		w.positions.set(replicaB, 500)
		Expect(w.engine.MayAcknowledge(ctx, ticket, 500)).To(BeNil())
	})

	It("does not count a replica that has not replayed the start of the generation", func(ctx SpecContext) {
		w.publish(func(s *state) { s.startLSN = applied + 100 })
		ticket := admit(ctx, tagSynced)
		ticket.Deadline = time.Now().Add(20 * time.Millisecond)
		Expect(w.engine.MayAcknowledge(ctx, ticket, applied)).To(refusedWith(verdict.DeadlineExceeded, verdict.MayHaveRun))
		ticket.Deadline = time.Now().Add(time.Minute)
		w.positions.set(replicaA, applied+100)
		Expect(w.engine.MayAcknowledge(ctx, ticket, applied)).To(BeNil())
	})

	It("holds no slot while its mark is stored", func(ctx SpecContext) {
		for range slots {
			w.engine.ReleaseSlot(admit(ctx, ""))
		}
		ticket := admit(ctx, "")
		w.engine.ReleaseSlot(ticket)
		w.engine.Done(ticket, traffic.Result{})
		Expect(w.engine.InFlight()).To(Equal(slots))
		for range slots {
			admit(ctx, "")
		}
	})

	It("is refused at its deadline as not run when no slot becomes free", func(ctx SpecContext) {
		for range slots {
			admit(ctx, "")
		}
		late := w.statement("", false)
		late.Arrived = time.Now().Add(-deadline + 30*time.Millisecond)
		_, refused := w.engine.Admit(ctx, late)
		Expect(refused.Outcome).To(Equal(verdict.NotRun))
		Expect(refused.RetryAfter).To(BeNumerically(">", 0))
	})
})

var _ = Describe("a read", func() {
	var w *world

	BeforeEach(func() { w = newWorld() })

	admit := func(ctx context.Context, tag string) (*traffic.Ticket, *verdict.Error) {
		return w.engine.Admit(ctx, w.statement(tag, true))
	}

	It("of a stated age goes to a replica that has the session's writes", func(ctx SpecContext) {
		w.sessions.answer = marks.Answer{Status: marks.AskKnown, Mark: w.mark(100)}
		ticket, refused := admit(ctx, tagAged)
		Expect(refused).To(BeNil())
		Expect(ticket.Primary).To(BeFalse())
		Expect(w.engine.MaySend(ticket)).To(BeNil())
	})

	It("of a stated age goes to the primary while no replica has the session's writes", func(ctx SpecContext) {
		w.sessions.answer = marks.Answer{Status: marks.AskKnown, Mark: w.mark(900)}
		ticket, refused := admit(ctx, tagAged)
		Expect(refused).To(BeNil())
		Expect(ticket.Primary).To(BeTrue())
	})

	It("of a session whose home is lost respects a sample of the primary", func(ctx SpecContext) {
		w.positions.set(primary, 900)
		ticket, refused := admit(ctx, tagAged)
		Expect(refused).To(BeNil())
		Expect(ticket.Primary).To(BeTrue())
		Expect(w.engine.Stats().Samples).To(BeEquivalentTo(1))
	})

	It("without an age uses a replica only past a sample of the primary", func(ctx SpecContext) {
		w.positions.set(primary, 100)
		ticket, refused := admit(ctx, "")
		Expect(refused).To(BeNil())
		Expect(ticket.Primary).To(BeFalse())
		w.positions.set(primary, 900)
		ticket, refused = admit(ctx, "")
		Expect(refused).To(BeNil())
		Expect(ticket.Primary).To(BeTrue())
	})

	It("tells the session of a write that was lost, in place of an answer", func(ctx SpecContext) {
		w.sessions.answer = marks.Answer{Status: marks.AskLost, Mark: w.mark(900)}
		_, refused := admit(ctx, tagAged)
		Expect(refused).To(refusedWith(verdict.WriteLost, verdict.NotRun))
		Expect(w.sessions.told).To(ConsistOf(w.mark(900)))
	})

	It("goes on without a permit while all others are known to be replicas", func(ctx SpecContext) {
		w.clock.advance(permitLifetime)
		w.publish(func(s *state) { s.freshAt = w.clock.Now() })
		w.positions.set(primary, 100)
		ticket, refused := admit(ctx, tagAged)
		Expect(refused).To(BeNil())
		Expect(ticket.Primary).To(BeFalse())
		w.positions.promote(replicaA)
		_, refused = admit(ctx, tagAged)
		Expect(refused).To(refusedWith(verdict.NoPermit, verdict.NotRun))
	})
})

var _ = Describe("a further try", func() {
	It("is held to the retry budget", func(ctx SpecContext) {
		w := newWorld()
		refusals := 0
		for range 100 {
			s := w.statement(tagAged, true)
			s.Attempt = 1
			ticket, refused := w.engine.Admit(ctx, s)
			if refused == nil {
				w.engine.Done(ticket, traffic.Result{})
				continue
			}
			Expect(refused).To(refusedWith(verdict.Overloaded, verdict.NotRun))
			refusals++
		}
		Expect(refusals).To(BeNumerically(">", 80))
	})

	It("of an unknown database is refused", func(ctx SpecContext) {
		w := newWorld()
		s := w.statement("", false)
		s.Database = "nothing"
		_, refused := w.engine.Admit(ctx, s)
		Expect(refused).To(refusedWith(verdict.UnknownDatabase, verdict.NotRun))
	})
})

// mark returns a mark of the present generation.
func (w *world) mark(at model.LSN) model.Mark {
	return model.Mark{Generation: generation, LSN: at}
}
