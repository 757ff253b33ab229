package quota_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/quota"
)

var _ = Describe("a refusal", func() {
	// Guards against equal retry times, with which all refused callers retry at once
	// and are refused again.
	It("returns retry times spaced by the rate, up to a bound", func() {
		const start = 10 * time.Second
		machine := quota.New(quota.Config{Self: "a", Tolerance: quota.Tolerance{Window: 5 * time.Second}})
		machine.SetLimits(0, []quota.Limit{{Caller: hot, Rate: 10, Burst: 5}})
		machine.SetMembers(0, []model.Member{{ID: "a"}}, 0)
		// At start the assumed removed member is no longer counted.
		machine.SetMembers(start, []model.Member{{ID: "a"}}, start)
		admitted := 0
		for {
			ok, retryAfter := machine.Admit(start, hot)
			if !ok {
				Expect(retryAfter).To(Equal(100 * time.Millisecond))
				break
			}
			admitted++
		}
		Expect(admitted).To(Equal(5))
		for i := range 100 {
			_, retryAfter := machine.Admit(start, hot)
			Expect(retryAfter).To(Equal(min(time.Duration(i+2)*100*time.Millisecond, 5*time.Second)))
		}
		ok, _ := machine.Admit(start+100*time.Millisecond, hot)
		Expect(ok).To(BeTrue())
	})
})

var _ = Describe("a change of limits", func() {
	It("shrinks and enlarges the bucket at once, and adds no tokens when it is undone", func() {
		machine := quota.New(quota.Config{Self: "a", Tolerance: quota.Tolerance{Window: 5 * time.Second}})
		tokens := func(now time.Duration) (found float64) {
			machine.EachCaller(now, func(state quota.CallerState) { found = state.Tokens })
			return found
		}
		limit := func(burst float64) []quota.Limit { return []quota.Limit{{Caller: hot, Rate: 10, Burst: burst}} }
		machine.SetLimits(0, limit(20))
		machine.SetMembers(0, []model.Member{{ID: "a"}}, 0)
		Expect(tokens(time.Second)).To(BeNumerically("~", 10, 0.01))
		machine.SetLimits(time.Second, limit(15))
		Expect(tokens(time.Second)).To(BeNumerically("~", 5, 0.01))
		machine.SetLimits(time.Second, limit(20))
		Expect(tokens(time.Second)).To(BeNumerically("~", 10, 0.01))
		machine.SetLimits(time.Second, nil)
		Expect(machine.Limited()).To(BeFalse())
	})
})
