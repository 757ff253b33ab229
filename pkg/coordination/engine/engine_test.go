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

// refusedWith matches a *verdict.Error by its code and outcome.
func refusedWith(code verdict.Code, outcome verdict.Outcome) OmegaMatcher {
	return PointTo(MatchFields(IgnoreExtras, Fields{"Code": Equal(code), "Outcome": Equal(outcome)}))
}

var _ = Describe("a write", func() {
	var f *fixture

	BeforeEach(func() { f = newFixture() })

	admit := func(ctx context.Context, tag string) *traffic.Ticket {
		GinkgoHelper()
		ticket, refused := f.engine.Admit(ctx, f.statement(tag, false))
		Expect(refused).To(BeNil())
		return ticket
	}

	It("goes to the primary under a permit, and counts as in flight", func(ctx SpecContext) {
		ticket := admit(ctx, "")
		Expect(ticket.Primary).To(BeTrue())
		Expect(ticket.Upstream.ID).To(Equal(primary))
		Expect(f.engine.MaySend(ticket)).To(BeNil())
		Expect(f.engine.MaySend(ticket)).To(BeNil())
		Expect(f.engine.WritesInFlight(group, generation)).To(Equal(1))
		f.engine.Done(ticket, traffic.Result{})
		Expect(f.engine.WritesInFlight(group, generation)).To(BeZero())
	})

	DescribeTable("is not sent once its permit is invalid",
		func(ctx SpecContext, change func()) {
			ticket := admit(ctx, "")
			change()
			Expect(f.engine.MaySend(ticket)).To(refusedWith(verdict.NoPermit, verdict.NotRun))
			Expect(f.engine.WritesInFlight(group, generation)).To(BeZero())
		},
		Entry("expired", func() { f.clock.advance(permitLifetime) }),
		Entry("sealed", func() { f.publish(func(s *state) { s.sealed = true }) }),
		Entry("replaced", func() { f.publish(func(s *state) { s.generation++ }) }),
	)

	It("is acknowledged under a seal until the permit expires", func(ctx SpecContext) {
		ticket := admit(ctx, "")
		Expect(f.engine.MaySend(ticket)).To(BeNil())
		f.publish(func(s *state) { s.sealed = true })
		Expect(f.engine.MayAcknowledge(ctx, ticket, 100)).To(BeNil())
		f.clock.advance(permitLifetime)
		Expect(f.engine.MayAcknowledge(ctx, ticket, 100)).To(refusedWith(verdict.PermitLapsed, verdict.MayHaveRun))
	})

	It("is not acknowledged if the permit expired while its mark was stored", func(ctx SpecContext) {
		ticket := admit(ctx, "")
		f.sessions.onRecord = func() { f.clock.advance(permitLifetime) }
		Expect(f.engine.MayAcknowledge(ctx, ticket, 100)).To(refusedWith(verdict.PermitLapsed, verdict.MayHaveRun))
	})

	It("is not acknowledged if its mark could not be stored", func(ctx SpecContext) {
		ticket := admit(ctx, "")
		f.sessions.stored = sessions.NotStored
		Expect(f.engine.MayAcknowledge(ctx, ticket, 100)).To(refusedWith(verdict.MarkNotStored, verdict.MayHaveRun))
	})

	It("is acknowledged once as many replicas as its route requires have applied it", func(ctx SpecContext) {
		ticket := admit(ctx, tagSynced)
		ticket.Deadline = time.Now().Add(20 * time.Millisecond)
		Expect(f.engine.MayAcknowledge(ctx, ticket, 500)).To(refusedWith(verdict.DeadlineExceeded, verdict.MayHaveRun))
		ticket.Deadline = time.Now().Add(time.Minute)
		f.positions.set(replicaB, 500)
		Expect(f.engine.MayAcknowledge(ctx, ticket, 500)).To(BeNil())
	})

	It("does not count a replica that has not replayed the start of the generation", func(ctx SpecContext) {
		f.publish(func(s *state) { s.startLSN = applied + 100 })
		ticket := admit(ctx, tagSynced)
		ticket.Deadline = time.Now().Add(20 * time.Millisecond)
		Expect(f.engine.MayAcknowledge(ctx, ticket, applied)).To(refusedWith(verdict.DeadlineExceeded, verdict.MayHaveRun))
		ticket.Deadline = time.Now().Add(time.Minute)
		f.positions.set(replicaA, applied+100)
		Expect(f.engine.MayAcknowledge(ctx, ticket, applied)).To(BeNil())
	})

	It("occupies no slot after ReleaseSlot, while its mark is stored", func(ctx SpecContext) {
		for range slots {
			f.engine.ReleaseSlot(admit(ctx, ""))
		}
		ticket := admit(ctx, "")
		f.engine.ReleaseSlot(ticket)
		f.engine.Done(ticket, traffic.Result{})
		Expect(f.engine.InFlight()).To(Equal(slots))
		for range slots {
			admit(ctx, "")
		}
	})

	It("is refused as not run if no slot becomes free before its deadline", func(ctx SpecContext) {
		for range slots {
			admit(ctx, "")
		}
		late := f.statement("", false)
		late.Arrived = time.Now().Add(-deadline + 30*time.Millisecond)
		_, refused := f.engine.Admit(ctx, late)
		Expect(refused.Outcome).To(Equal(verdict.NotRun))
		Expect(refused.RetryAfter).To(BeNumerically(">", 0))
	})
})

var _ = Describe("a read", func() {
	var f *fixture

	BeforeEach(func() { f = newFixture() })

	admit := func(ctx context.Context, tag string) (*traffic.Ticket, *verdict.Error) {
		return f.engine.Admit(ctx, f.statement(tag, true))
	}

	It("with a maximum age goes to a replica that has the session's writes", func(ctx SpecContext) {
		f.sessions.answer = marks.Answer{Status: marks.AskKnown, Mark: f.mark(100)}
		ticket, refused := admit(ctx, tagAged)
		Expect(refused).To(BeNil())
		Expect(ticket.Primary).To(BeFalse())
		Expect(f.engine.MaySend(ticket)).To(BeNil())
	})

	It("with a maximum age goes to the primary while no replica has the session's writes", func(ctx SpecContext) {
		f.sessions.answer = marks.Answer{Status: marks.AskKnown, Mark: f.mark(900)}
		ticket, refused := admit(ctx, tagAged)
		Expect(refused).To(BeNil())
		Expect(ticket.Primary).To(BeTrue())
	})

	It("of a session whose marks are unknown needs the primary's current position", func(ctx SpecContext) {
		f.positions.set(primary, 900)
		ticket, refused := admit(ctx, tagAged)
		Expect(refused).To(BeNil())
		Expect(ticket.Primary).To(BeTrue())
		Expect(f.engine.Stats().Samples).To(BeEquivalentTo(1))
	})

	It("without a maximum age goes to a replica only if it has applied the primary's current position", func(ctx SpecContext) {
		f.positions.set(primary, 100)
		ticket, refused := admit(ctx, "")
		Expect(refused).To(BeNil())
		Expect(ticket.Primary).To(BeFalse())
		f.positions.set(primary, 900)
		ticket, refused = admit(ctx, "")
		Expect(refused).To(BeNil())
		Expect(ticket.Primary).To(BeTrue())
	})

	It("fails with the loss of an acknowledged write of its session", func(ctx SpecContext) {
		f.sessions.answer = marks.Answer{Status: marks.AskLost, Mark: f.mark(900)}
		_, refused := admit(ctx, tagAged)
		Expect(refused).To(refusedWith(verdict.WriteLost, verdict.NotRun))
		Expect(f.sessions.lossReports).To(ConsistOf(f.mark(900)))
	})

	It("runs without a permit while all other upstreams answer that they are replicas", func(ctx SpecContext) {
		f.clock.advance(permitLifetime)
		f.publish(func(s *state) { s.freshAt = f.clock.Now() })
		f.positions.set(primary, 100)
		ticket, refused := admit(ctx, tagAged)
		Expect(refused).To(BeNil())
		Expect(ticket.Primary).To(BeFalse())
		f.positions.promote(replicaA)
		_, refused = admit(ctx, tagAged)
		Expect(refused).To(refusedWith(verdict.NoPermit, verdict.NotRun))
	})
})

var _ = Describe("a further attempt", func() {
	It("is limited by the retry budget", func(ctx SpecContext) {
		f := newFixture()
		refusals := 0
		for range 100 {
			s := f.statement(tagAged, true)
			s.Attempt = 1
			ticket, refused := f.engine.Admit(ctx, s)
			if refused == nil {
				f.engine.Done(ticket, traffic.Result{})
				continue
			}
			Expect(refused).To(refusedWith(verdict.Overloaded, verdict.NotRun))
			refusals++
		}
		Expect(refusals).To(BeNumerically(">", 80))
	})

	It("of an unknown database is refused", func(ctx SpecContext) {
		f := newFixture()
		s := f.statement("", false)
		s.Database = "nothing"
		_, refused := f.engine.Admit(ctx, s)
		Expect(refused).To(refusedWith(verdict.UnknownDatabase, verdict.NotRun))
	})
})

// mark returns a mark of the generation that a new fixture has.
func (f *fixture) mark(at model.LSN) model.Mark {
	return model.Mark{Generation: generation, LSN: at}
}
