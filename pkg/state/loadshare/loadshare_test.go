package loadshare_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/loadshare"
	"gypsumdock/pkg/state/model"
)

func TestLoadshare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loadshare")
}

func newShare() *loadshare.Share {
	share := loadshare.New()
	share.SetUpstreams([]loadshare.Upstream{
		{ID: "u", Slots: 5, MaxConnections: 49, Others: []model.InstanceID{"s1", "s2", "s3"}},
		{ID: "v", Slots: 5, MaxConnections: 49, Others: []model.InstanceID{"s1"}},
	})
	return share
}

func millis(count int) time.Duration { return time.Duration(count) * time.Millisecond }

func outstanding(count int) []loadshare.Count {
	return []loadshare.Count{{Upstream: "u", Outstanding: count}}
}

var _ = Describe("Limit", func() {
	limit := func(share *loadshare.Share, now time.Duration) loadshare.Limit {
		found, known := share.Limit(now, "u")
		Expect(known).To(BeTrue())
		return found
	}

	// settled returns the limit after as many steps as fit into the validity of a
	// report at the time now.
	settled := func(share *loadshare.Share, now time.Duration) loadshare.Limit {
		var found loadshare.Limit
		for at := now; at < now+millis(900); at += loadshare.ReportInterval {
			found = limit(share, at)
		}
		return found
	}

	It("is an equal part while nothing is known of the others", func() {
		Expect(limit(newShare(), 0)).To(Equal(loadshare.Limit{Outstanding: 3}))
	})

	It("is what the others leave of twice the slots", func() {
		share := newShare()
		for _, id := range []model.InstanceID{"s1", "s2", "s3"} {
			Expect(share.Reported(0, id, outstanding(0))).To(Succeed())
		}
		Expect(settled(share, 0)).To(Equal(loadshare.Limit{Outstanding: 10, Known: true}))
		Expect(share.Reported(0, "s1", outstanding(4))).To(Succeed())
		Expect(limit(share, 0)).To(Equal(loadshare.Limit{Outstanding: 6, Others: 4, Known: true}))
		Expect(share.Reported(0, "s2", outstanding(9))).To(Succeed())
		Expect(limit(share, 0)).To(Equal(loadshare.Limit{Outstanding: 3, Others: 13, Known: true}))
	})

	// All others may see the same room at once.
	It("rises by steps and falls at once", func() {
		share := newShare()
		report := func(count int) {
			for _, id := range []model.InstanceID{"s1", "s2", "s3"} {
				Expect(share.Reported(time.Second, id, outstanding(count))).To(Succeed())
			}
		}
		report(0)
		limits := func() []int {
			var found []int
			for at := time.Second; at < time.Second+millis(250); at += millis(50) {
				found = append(found, limit(share, at).Outstanding)
			}
			return found
		}
		Expect(limits()).To(Equal([]int{7, 7, 9, 9, 10}))
		report(1)
		Expect(limits()).To(Equal([]int{7, 7, 7, 7, 7}))
	})

	// A server that is lost or cut off may have any number outstanding.
	It("counts a server that was not heard from for a second with an equal part", func() {
		share := newShare()
		for _, id := range []model.InstanceID{"s1", "s2", "s3"} {
			Expect(share.Reported(0, id, outstanding(0))).To(Succeed())
		}
		now := millis(1001)
		share.Heard(now, "s1")
		share.Heard(now, "s2")
		Expect(settled(share, now)).To(Equal(loadshare.Limit{Outstanding: 8}))
	})

	// The report that said zero may have been lost.
	It("does not rely on a count that is not repeated", func() {
		share := newShare()
		for _, id := range []model.InstanceID{"s1", "s2", "s3"} {
			Expect(share.Reported(0, id, outstanding(0))).To(Succeed())
		}
		Expect(share.Reported(0, "s1", outstanding(7))).To(Succeed())
		Expect(limit(share, 0).Outstanding).To(Equal(3))
		now := millis(1001)
		for _, id := range []model.InstanceID{"s1", "s2", "s3"} {
			share.Heard(now, id)
		}
		Expect(settled(share, now).Outstanding).To(Equal(8))
	})

	It("forgets a server that no longer serves the group", func() {
		share := newShare()
		Expect(share.Reported(0, "s1", outstanding(9))).To(Succeed())
		share.SetUpstreams([]loadshare.Upstream{{ID: "u", Slots: 5, MaxConnections: 49}})
		Expect(settled(share, 0)).To(Equal(loadshare.Limit{Outstanding: 10, Known: true}))
	})
})

var _ = Describe("Reported", func() {
	It("refuses an invalid report, and uses no part of it", func() {
		share := newShare()
		good := loadshare.Count{Upstream: "u", Outstanding: 9}
		for _, invalid := range []struct {
			count loadshare.Count
			from  model.InstanceID
			err   error
		}{
			{loadshare.Count{Upstream: "x"}, "s1", loadshare.ErrUnknownUpstream},
			{loadshare.Count{Upstream: "v"}, "s2", loadshare.ErrNotServer},
			{loadshare.Count{Upstream: "v"}, "stranger", loadshare.ErrNotServer},
			{loadshare.Count{Upstream: "v", Outstanding: -1}, "s1", loadshare.ErrImpossibleCount},
			{loadshare.Count{Upstream: "v", Outstanding: 50}, "s1", loadshare.ErrImpossibleCount},
			{good, "s1", loadshare.ErrRepeatedUpstream},
		} {
			counts := []loadshare.Count{good, invalid.count}
			if invalid.from == "stranger" {
				counts = counts[1:]
			}
			Expect(share.Reported(0, invalid.from, counts)).To(MatchError(invalid.err))
			found, _ := share.Limit(0, "u")
			Expect(found.Others).To(BeZero())
		}
	})
})

var _ = Describe("Due", func() {
	It("tells other servers of the group what has changed, at most every 100 ms", func() {
		share := newShare()
		Expect(share.Due(0, "s1", outstanding(1))).To(HaveLen(1))
		Expect(share.Due(millis(50), "s1", outstanding(2))).To(BeEmpty())
		Expect(share.Due(millis(100), "s1", outstanding(2))).To(Equal(outstanding(2)))
		Expect(share.Due(millis(200), "stranger", outstanding(2))).To(BeEmpty())
	})

	It("sends everything again after a report that could not be sent", func() {
		share := newShare()
		Expect(share.Due(0, "s1", outstanding(2))).To(HaveLen(1))
		share.NotSent("s1")
		Expect(share.Due(millis(100), "s1", outstanding(2))).To(HaveLen(1))
	})

	// Two servers learn of their group at different times.
	It("tells a server again that reports for the first time", func() {
		share := newShare()
		Expect(share.Due(0, "s1", outstanding(0))).To(HaveLen(1))
		Expect(share.Due(millis(100), "s1", outstanding(0))).To(BeEmpty())
		Expect(share.Reported(millis(200), "s1", outstanding(0))).To(Succeed())
		Expect(share.Due(millis(200), "s1", outstanding(0))).To(HaveLen(1))
		Expect(share.Reported(millis(300), "s1", outstanding(0))).To(Succeed())
		Expect(share.Due(millis(300), "s1", outstanding(0))).To(BeEmpty())
	})

	It("repeats a count other than zero, and sends nothing when idle", func() {
		share := newShare()
		Expect(share.Due(0, "s1", outstanding(2))).To(HaveLen(1))
		Expect(share.Due(millis(499), "s1", outstanding(2))).To(BeEmpty())
		Expect(share.Due(millis(500), "s1", outstanding(2))).To(HaveLen(1))
		Expect(share.Due(millis(600), "s1", outstanding(0))).To(HaveLen(1))
		Expect(share.Due(time.Hour, "s1", outstanding(0))).To(BeEmpty())
	})
})
