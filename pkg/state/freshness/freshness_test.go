package freshness_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gypsumdock/pkg/state/freshness"
	"gypsumdock/pkg/state/model"
)

func TestFreshness(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "freshness")
}

const (
	replica = model.UpstreamID("b")
	maxAge  = 1500 * time.Millisecond
)

func at(number model.LSN) model.Position { return model.Position{Term: 1, LSN: number} }

func millis(count int) time.Duration { return time.Duration(count) * time.Millisecond }

var _ = Describe("RequiredPosition", func() {
	It("is that of the oldest sample within the maximum age", func() {
		tracker := freshness.New()
		for i := range 40 {
			tracker.AddPrimarySample(millis(i*100), at(model.LSN(i)))
		}
		position, sampled, found := tracker.RequiredPosition(millis(3900), maxAge)
		Expect(found).To(BeTrue())
		Expect(sampled).To(BeNumerically(">=", millis(2400)))
		Expect(sampled).To(BeNumerically("<=", millis(2500)))
		Expect(position).To(Equal(at(model.LSN(sampled / millis(100)))))
	})

	It("is not found if every sample is too old", func() {
		tracker := freshness.New()
		tracker.AddPrimarySample(0, at(1))
		_, _, found := tracker.RequiredPosition(maxAge, maxAge)
		Expect(found).To(BeFalse())
	})

	It("ignores an older position, such as that of a deposed primary", func() {
		tracker := freshness.New()
		tracker.AddPrimarySample(millis(100), model.Position{Term: 2, LSN: 5})
		tracker.AddPrimarySample(millis(200), model.Position{Term: 1, LSN: 9})
		position, _, found := tracker.RequiredPosition(millis(300), maxAge)
		Expect(found).To(BeTrue())
		Expect(position).To(Equal(model.Position{Term: 2, LSN: 5}))
	})

	It("covers every write older than the maximum age, for any history", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			tracker := freshness.New()
			now := time.Duration(0)
			number := model.LSN(0)
			var writes []time.Duration
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now += time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond
				if rapid.Bool().Draw(t, "write") {
					number++
					writes = append(writes, now)
					continue
				}
				tracker.AddPrimarySample(now, at(number))
			}
			position, _, found := tracker.RequiredPosition(now, maxAge)
			if !found {
				return
			}
			for i, acknowledged := range writes {
				if acknowledged < now-maxAge && position.LSN < model.LSN(i+1) {
					t.Fatalf("write %d acknowledged at %v is not covered by required position %v at %v", i+1, acknowledged, position, now)
				}
			}
		})
	})
})

var _ = Describe("EstimatedWait", func() {
	newTracker := func() *freshness.Tracker {
		tracker := freshness.New()
		for i := range 100 {
			tracker.AddPrimarySample(millis(i*50), at(model.LSN(i)))
		}
		return tracker
	}

	It("is zero for a position that the replica has applied", func() {
		tracker := newTracker()
		tracker.AddReplicaSample(replica, millis(5000), at(90))
		Expect(tracker.EstimatedWait(replica, millis(5010), at(80), millis(4000))).To(BeZero())
	})

	It("is the lag of the replica less the time since the primary reached the position", func() {
		tracker := newTracker()
		// The sample at 3,000 ms is the first after position 59: 2,000 ms of lag.
		tracker.AddReplicaSample(replica, millis(5000), at(59))
		Expect(tracker.Lag(replica)).To(Equal(millis(2000)))
		Expect(tracker.EstimatedWait(replica, millis(5010), at(80), millis(4000))).To(Equal(millis(990)))
	})

	// A replica that had lagged behind for six seconds was never queried again, so
	// every read stayed on the primary after the replica had caught up.
	It("is zero after a pause, so that a lagging replica is queried again", func() {
		tracker := newTracker()
		tracker.AddReplicaSample(replica, millis(5000), at(10))
		Expect(tracker.EstimatedWait(replica, millis(5100), at(99), millis(4950))).NotTo(BeZero())
		Expect(tracker.EstimatedWait(replica, millis(5300), at(99), millis(4950))).To(BeZero())
		tracker.QuerySent(replica, millis(5300))
		Expect(tracker.EstimatedWait(replica, millis(5310), at(99), millis(4950))).NotTo(BeZero())
	})
})
