package instance

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/state/failover"
)

// The times are those of a cut at 4.4 s, after the store's last answer at 4.3 s.
var _ = DescribeTable("connected",
	func(snapshot region.Snapshot, now time.Duration, expected bool) {
		Expect(connected(&snapshot, now)).To(Equal(expected))
	},
	Entry("while a permit is held, by promises of the members too",
		region.Snapshot{View: failover.View{Groups: []failover.GroupView{{ID: "g"}, {ID: "h", PermitUntil: 8 * time.Second}}}}, 7*time.Second, true),
	Entry("without a permit while the head row is confirmed, as during a change of primary",
		region.Snapshot{View: failover.View{HeadConfirmedAt: 4300 * time.Millisecond, PlatformReachable: true}}, 5*time.Second, true),
	// The store counts as reachable for 5 s after its last answer. Callers were refused
	// for 2 s more.
	Entry("no longer once both have run out, although the store counts as reachable",
		region.Snapshot{View: failover.View{
			HeadConfirmedAt: 4300 * time.Millisecond, PlatformReachable: true,
			Groups: []failover.GroupView{{ID: "g", PermitUntil: 6300 * time.Millisecond}},
		}}, 6400*time.Millisecond, false),
	Entry("as an observer while a member answers",
		region.Snapshot{MembersAnsweredAt: 4 * time.Second, View: failover.View{Observer: true}}, 5*time.Second, true),
	Entry("not as an observer that no member answers",
		region.Snapshot{MembersAnsweredAt: 4 * time.Second, View: failover.View{Observer: true}}, 6*time.Second, false),
)

var _ = Describe("awayTracker", func() {
	It("reports an instance away once its condition has not held for cutOffAfter", func() {
		var tracker awayTracker
		Expect(tracker.update(time.Minute, true, true)).To(BeFalse())
		Expect(tracker.update(time.Minute+cutOffAfter, true, false)).To(BeFalse())
		Expect(tracker.update(time.Minute+cutOffAfter+1, true, false)).To(BeTrue())
		Expect(tracker.update(time.Minute+2*cutOffAfter, true, true)).To(BeFalse())
	})

	// Load: callers that come back to an instance which has just been ready for the
	// first time, and whose first check fails.
	It("does not count the time before an instance was ready", func() {
		var tracker awayTracker
		Expect(tracker.update(time.Minute, false, false)).To(BeFalse())
		Expect(tracker.update(time.Minute+connectivityInterval, true, false)).To(BeFalse())
		Expect(tracker.update(time.Minute+cutOffAfter+1, true, false)).To(BeTrue())
	})
})
