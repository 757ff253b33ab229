package instance

import (
	"encoding/json"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/admin"
)

// fixedUsage is a callerUsageSource with fixed answers.
type fixedUsage []model.CallerUsage

func (u fixedUsage) CallerUsage() []model.CallerUsage { return u }

// callersNamed returns count callers ordered by name, every second one with a
// rate of 10.
func callersNamed(count int) []bundle.Caller {
	callers := make([]bundle.Caller, count)
	for i := range callers {
		callers[i] = bundle.Caller{Name: model.CallerName(fmt.Sprintf("c%04d", i)), Weight: 1, Verifier: "SCRAM-secret"}
		if i%2 == 0 {
			callers[i].Rate, callers[i].Burst = 10, 20
		}
	}
	return callers
}

var _ = Describe("the status of callers", func() {
	It("shows the limit, and the use where the rate limiter knows it", func() {
		status := callersStatus(callersNamed(2), fixedUsage{
			{Name: "c0000", UsedPerSecond: 9.5, Refused: 3, Limit: 8},
			{Name: "removed", UsedPerSecond: 1, Limit: 1},
		})
		Expect(status.Rest).To(BeNil())
		Expect(status.Listed).To(Equal([]admin.CallerStatus{
			{
				Name: "c0000", Rate: 10, Burst: 20, Priority: 1, Weight: 1,
				Usage: &admin.CallerUsage{UsedPerSecond: 9.5, Refused: 3, Limit: 8},
			},
			{Name: "c0001", Priority: 1, Weight: 1},
		}))
	})

	It("has no use without a rate limiter", func() {
		for _, caller := range callersStatus(callersNamed(3), nil).Listed {
			Expect(caller.Usage).To(BeNil())
		}
	})

	It("holds no verifier", func() {
		shown, err := json.Marshal(callersStatus(callersNamed(admin.MaxListedCallers+5), nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(shown)).NotTo(ContainSubstring("SCRAM"))
	})

	// Thousands of accounts would make each status as long.
	It("lists no more than a hundred callers and sums up the rest", func() {
		Expect(callersStatus(callersNamed(admin.MaxListedCallers), nil).Rest).To(BeNil())
		status := callersStatus(callersNamed(admin.MaxListedCallers+5), fixedUsage{
			{Name: "c0099", UsedPerSecond: 100, Refused: 100, Limit: 100},
			{Name: "c0100", UsedPerSecond: 1.5, Refused: 2, Limit: 10},
			{Name: "c0104", UsedPerSecond: 2.5, Refused: 4, Limit: 10},
		})
		Expect(status.Listed).To(HaveLen(admin.MaxListedCallers))
		Expect(status.Listed[admin.MaxListedCallers-1].Name).To(Equal(model.CallerName("c0099")))
		Expect(status.Rest).To(Equal(&admin.OtherCallers{
			Count: 5, Unlimited: 2, Rate: 30, Usage: &admin.CallerUsage{UsedPerSecond: 4, Refused: 6, Limit: 20},
		}))
		unknown := callersStatus(callersNamed(admin.MaxListedCallers+1), fixedUsage{})
		Expect(unknown.Rest.Usage).To(BeNil())
	})
})
