package lag_test

import (
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gypsumdock/pkg/state/lag"
	"gypsumdock/pkg/state/model"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "41")
	os.Exit(m.Run())
}

func TestLag(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lag")
}

const (
	group   = model.GroupID("hire")
	replica = model.UpstreamID("hire-b")
)

func at(lsn model.LSN) model.Mark { return model.Mark{Generation: 1, LSN: lsn} }

var _ = Describe("Tracker", func() {
	var tracker *lag.Tracker

	BeforeEach(func() {
		tracker = lag.New(16)
		tracker.AddReplica(replica, 0)
	})

	sample := func(asked time.Duration, lsn model.LSN) {
		tracker.AddPrimarySample(lag.PrimarySample{Group: group, AskedAt: asked, Position: at(lsn)})
	}
	applied := func(asked time.Duration, lsn model.LSN) {
		tracker.AddReplicaSample(lag.ReplicaSample{Group: group, Upstream: replica, AskedAt: asked, Applied: at(lsn)})
	}

	It("knows no age before both the primary and the replica have been sampled", func() {
		applied(1, 100)
		_, known := tracker.Status(replica).Age(5)
		Expect(known).To(BeFalse())
	})

	It("counts the age from the time before the primary was asked", func() {
		sample(10, 100)
		sample(20, 200)
		applied(30, 150)
		age, known := tracker.Status(replica).Age(35)
		Expect(known).To(BeTrue())
		Expect(age).To(Equal(time.Duration(25)))
	})

	It("treats a reset replica as caught up only after it applied a new position", func() {
		sample(10, 100)
		applied(11, 100)
		Expect(tracker.Status(replica).CaughtUp).To(BeTrue())
		tracker.Reset(replica, 12)
		applied(13, 90)
		Expect(tracker.Status(replica).CaughtUp).To(BeFalse())
		sample(14, 120)
		applied(15, 119)
		Expect(tracker.Status(replica).CaughtUp).To(BeFalse())
		applied(16, 120)
		Expect(tracker.Status(replica).CaughtUp).To(BeTrue())
	})

	It("treats a replica whose position decreased as restarted", func() {
		sample(10, 100)
		applied(11, 100)
		applied(12, 80)
		status := tracker.Status(replica)
		Expect(status.FreshKnown).To(BeFalse())
		Expect(status.CaughtUp).To(BeFalse())
	})
})

// TestBoundHolds checks against a simulated primary that a replica's data is
// never older than its bound. Answers are delayed and out of order, and the
// history is much shorter than the run.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := lag.New(8)
		tracker.AddReplica(replica, 0)
		committed := []time.Duration{0} // commit times by position
		type answer struct {
			asked   time.Duration
			lsn     int
			primary bool
		}
		var inFlight []answer
		now, replayed := time.Duration(0), 0
		for range 200 {
			now += time.Duration(rapid.IntRange(1, 3).Draw(t, "step"))
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				committed = append(committed, now)
			case 1:
				replayed = rapid.IntRange(replayed, len(committed)-1).Draw(t, "replay")
			case 2:
				inFlight = append(inFlight, answer{asked: now, lsn: len(committed) - 1, primary: true})
			case 3:
				inFlight = append(inFlight, answer{asked: now, lsn: replayed})
			case 4:
				if len(inFlight) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "deliver")
				a := inFlight[i]
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
				if a.primary {
					tracker.AddPrimarySample(lag.PrimarySample{Group: group, AskedAt: a.asked, Position: at(model.LSN(a.lsn + 1))})
				} else {
					tracker.AddReplicaSample(lag.ReplicaSample{Group: group, Upstream: replica, AskedAt: a.asked, Applied: at(model.LSN(a.lsn + 1))})
				}
			}
			if tracker.Samples() > 8 {
				t.Fatalf("history holds %d samples, want at most 8", tracker.Samples())
			}
			status := tracker.Status(replica)
			if !status.FreshKnown || replayed+1 >= len(committed) {
				continue
			}
			missing := committed[replayed+1]
			if missing < status.FreshAt {
				t.Fatalf("replica lacks the commit at %d, but FreshAt is %d", missing, status.FreshAt)
			}
		}
	})
}
