package engine_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/engine"
	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/verdict"
)

// retryDelay is the retry delay that fakeRates returns with a refusal.
const retryDelay = 250 * time.Millisecond

// fakeRates admits as many units of the caller "desk" as left says, and all units
// of other callers.
type fakeRates struct{ left, admitted, refunded int }

func (r *fakeRates) Admit(caller model.CallerName) (bool, time.Duration) {
	if caller != "desk" {
		return true, 0
	}
	if r.left == 0 {
		return false, retryDelay
	}
	r.left--
	r.admitted++
	return true, 0
}

func (r *fakeRates) Refund(model.CallerName) {
	r.left++
	r.refunded++
}

func newLimitedFixture(left int) (*fixture, *fakeRates) {
	f, rates := newFixture(), &fakeRates{left: left}
	f.engine = engine.New(engine.Config{
		Clock: f.clock, Sessions: f.sessions, Positions: f.positions, Random: func() uint64 { return 7 }, Rates: rates,
	})
	f.publish(func(*state) {})
	return f, rates
}

var _ = Describe("a caller with a rate", func() {
	// A unit that waited for a slot first would be refused only after its wait, and
	// would occupy a place in the queue meanwhile.
	It("is refused at once over its limit, also while all slots are taken, and others are not", func(ctx SpecContext) {
		f, _ := newLimitedFixture(slots)
		for range slots {
			_, refused := f.engine.Admit(ctx, f.statement("", false))
			Expect(refused).To(BeNil())
		}
		_, refused := f.engine.Admit(ctx, f.statement("", false))
		Expect(refused).To(refusedWith(verdict.Overloaded, verdict.NotRun))
		Expect(refused.Reason).To(Equal("over the rate limit"))
		Expect(refused.RetryAfter).To(Equal(retryDelay))
		Expect(refused.SQLState()).To(Equal("53300"))
		Expect(refused.Detail()).To(Equal("The request was not run. Retry after 250 ms."))
		Expect(f.engine.InFlight()).To(Equal(slots))

		f.sessions.answer = marks.Answer{Status: marks.AskKnown, Mark: f.mark(100)}
		other := f.statement(tagAged, true)
		other.Caller = "crane"
		_, refused = f.engine.Admit(ctx, other)
		Expect(refused).To(BeNil())
	})

	It("gets a unit back that got no slot", func(ctx SpecContext) {
		f, rates := newLimitedFixture(slots + 1)
		for range slots {
			_, refused := f.engine.Admit(ctx, f.statement("", false))
			Expect(refused).To(BeNil())
		}
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		_, refused := f.engine.Admit(short, f.statement("", false))
		Expect(refused).To(refusedWith(verdict.DeadlineExceeded, verdict.NotRun))
		Expect(*rates).To(Equal(fakeRates{left: 1, admitted: slots + 1, refunded: 1}))
	})

	It("gets a unit back only once", func(ctx SpecContext) {
		f, rates := newLimitedFixture(1)
		s := f.statement("", false)
		s.Charge = &traffic.RateCharge{}
		ticket, refused := f.engine.Admit(ctx, s)
		Expect(refused).To(BeNil())
		f.engine.Done(ticket, traffic.Result{Outcome: verdict.NotRun})
		f.engine.RefundRate(s.Charge)
		f.engine.RefundRate(s.Charge)
		Expect(*rates).To(Equal(fakeRates{left: 1, admitted: 1, refunded: 1}))
	})

	It("is not given back what it was refused", func(ctx SpecContext) {
		f, rates := newLimitedFixture(0)
		s := f.statement("", false)
		s.Charge = &traffic.RateCharge{}
		_, refused := f.engine.Admit(ctx, s)
		Expect(refused).NotTo(BeNil())
		f.engine.RefundRate(s.Charge)
		Expect(rates.refunded).To(BeZero())
	})

	// A retry that counted again could be refused halfway, and would take from the
	// rate what the caller did not ask for.
	It("counts once for a unit that the proxy retries, also without tokens left", func(ctx SpecContext) {
		f, rates := newLimitedFixture(1)
		s := f.statement(tagAged, true)
		s.Charge = &traffic.RateCharge{}
		// Requests of another caller give the retry budget room.
		other := f.statement(tagAged, true)
		other.Caller = "crane"
		for range 100 {
			ticket, refused := f.engine.Admit(ctx, other)
			Expect(refused).To(BeNil())
			f.engine.Done(ticket, traffic.Result{Outcome: verdict.Ran})
		}
		for attempt := range 3 {
			s.Attempt = attempt
			ticket, refused := f.engine.Admit(ctx, s)
			Expect(refused).To(BeNil())
			f.engine.Done(ticket, traffic.Result{Outcome: verdict.MayHaveRun, Broken: true})
		}
		Expect(*rates).To(Equal(fakeRates{admitted: 1}))
	})

	It("is not counted for a request that executes nothing, and is not refused for it", func(ctx SpecContext) {
		f, rates := newLimitedFixture(0)
		s := f.statement("", false)
		s.OnlyPrepares = true
		_, refused := f.engine.Admit(ctx, s)
		Expect(refused).To(BeNil())
		Expect(*rates).To(Equal(fakeRates{}))
	})

	It("is not counted for a database that no group serves", func(ctx SpecContext) {
		f, rates := newLimitedFixture(1)
		s := f.statement("", false)
		s.Database = "nothing"
		_, refused := f.engine.Admit(ctx, s)
		Expect(refused).To(refusedWith(verdict.UnknownDatabase, verdict.NotRun))
		Expect(*rates).To(Equal(fakeRates{left: 1}))
	})
})
