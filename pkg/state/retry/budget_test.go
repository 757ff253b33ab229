package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/retry"
	"gypsumdock/pkg/verdict"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var _ = Describe("Budget", func() {
	var budget *retry.Budget

	BeforeEach(func() { budget = retry.New(retry.DefaultConfig()) })

	attempt := func(outcome verdict.Outcome) retry.Attempt {
		failure := verdict.New(verdict.UpstreamLost, outcome, "connection refused")
		return retry.Attempt{Failure: failure, Number: 1, TimeLeft: time.Second, Rand: 7}
	}

	It("never allows the retry of a unit that may have run", func() {
		_, ok := budget.AllowRetry(0, attempt(verdict.MayHaveRun))
		Expect(ok).To(BeFalse())
	})

	It("never allows the retry of an at-most-once unit after a byte was sent", func() {
		unit := attempt(verdict.NotRun)
		unit.AtMostOnce = true
		_, ok := budget.AllowRetry(0, unit)
		Expect(ok).To(BeTrue())
		unit.Sent = true
		_, ok = budget.AllowRetry(0, unit)
		Expect(ok).To(BeFalse())
	})

	It("limits the retries during an outage, and allows them again after the window", func() {
		allowed := 0
		for i := range 10000 {
			now := time.Duration(i) * time.Millisecond
			budget.RecordRequest(now)
			if _, ok := budget.AllowRetry(now, attempt(verdict.NotRun)); ok {
				allowed++
			}
		}
		Expect(allowed).To(BeNumerically("<=", 1010))
		Expect(allowed).To(BeNumerically(">=", 900))
		_, ok := budget.AllowRetry(time.Hour, attempt(verdict.NotRun))
		Expect(ok).To(BeTrue())
	})

	It("returns at least the retry delay of the failure, if the deadline allows it", func() {
		withDelay := attempt(verdict.NotRun)
		withDelay.Failure = withDelay.Failure.WithRetryAfter(300 * time.Millisecond)
		delay, ok := budget.AllowRetry(0, withDelay)
		Expect(ok).To(BeTrue())
		Expect(delay).To(BeNumerically(">=", 300*time.Millisecond))
		withDelay.TimeLeft = 200 * time.Millisecond
		_, ok = budget.AllowRetry(0, withDelay)
		Expect(ok).To(BeFalse())
	})
})
