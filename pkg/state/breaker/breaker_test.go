package breaker_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/breaker"
	"gypsumdock/pkg/state/model"
)

func TestBreaker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "breaker")
}

const millisecond = time.Millisecond

var _ = Describe("Breaker", func() {
	var b *breaker.Breaker
	key := breaker.Key{Server: "s1", Group: "g"}

	BeforeEach(func() { b = breaker.New() })

	// Guards against the load of a cut: 200 units a second, each of which waits for
	// 600 ms and asked all servers of the group every 50 ms.
	It("sends few units to servers that all refuse", func() {
		servers := []model.InstanceID{"s1", "s2", "s3", "s4"}
		tries := 0
		for now := time.Duration(0); now < 2*time.Second; now += 5 * millisecond {
			for _, server := range servers {
				asked := breaker.Key{Server: server, Group: "g"}
				if b.Allow(now, asked) {
					tries++
					b.Refused(now+millisecond, asked)
				}
			}
		}
		// In two seconds: the first one, and trials after 50, 100 and each 200 ms.
		Expect(tries).To(BeNumerically("<=", len(servers)*12))
		Expect(tries).To(BeNumerically(">=", len(servers)*8))
	})

	// Guards against a herd of trials at servers that refuse late: there are no more than
	// one in each interval, however many units wait and however long an answer takes.
	DescribeTable("lets one unit through in an interval while refusals come late",
		func(answerTime time.Duration) {
			const minInterval, step = 50 * millisecond, millisecond
			refusals := map[time.Duration]int{}
			b.Refused(0, key)
			trials, last := 0, time.Duration(0)
			for now := time.Duration(0); now < 3*time.Second; now += step {
				for range refusals[now] {
					b.Refused(now, key)
				}
				for range 40 {
					if !b.Allow(now, key) {
						continue
					}
					trials++
					Expect(now-last).To(BeNumerically(">=", minInterval), "trial %d at %s", trials, now)
					last = now
					refusals[now+answerTime]++
				}
			}
			Expect(trials).To(BeNumerically(">=", 3))
		},
		Entry("at once", millisecond), Entry("within the interval", 30*millisecond), Entry("after it", 70*millisecond),
		Entry("after several", 450*millisecond), Entry("after many", 1200*millisecond),
	)

	It("lets one unit through as a trial, and all after its answer", func() {
		Expect(b.Refused(0, key)).To(BeTrue())
		Expect(b.Allow(49*millisecond, key)).To(BeFalse())
		Expect(b.Allow(50*millisecond, key)).To(BeTrue())
		Expect(b.Allow(51*millisecond, key)).To(BeFalse())
		Expect(b.Answered(key)).To(BeTrue())
		Expect(b.Allow(52*millisecond, key)).To(BeTrue())
		Expect(b.Allow(52*millisecond, key)).To(BeTrue())
		Expect(b.Answered(key)).To(BeFalse())
	})

	It("lets another unit through if a trial has no result", func() {
		b.Refused(0, key)
		Expect(b.Allow(50*millisecond, key)).To(BeTrue())
		Expect(b.Allow(99*millisecond, key)).To(BeFalse())
		Expect(b.Allow(100*millisecond, key)).To(BeTrue())
	})

	It("does not count the refusals of units that were sent before the first one", func() {
		b.Refused(0, key)
		for range 20 {
			Expect(b.Refused(10*millisecond, key)).To(BeFalse())
		}
		Expect(b.Allow(50*millisecond, key)).To(BeTrue())
	})

	// A group whose primary is well must not suffer from one without a permit, nor
	// reads of a replica from writes.
	It("keeps the groups, the servers and the classes apart", func() {
		b.Refused(0, key)
		Expect(b.Allow(0, breaker.Key{Server: "s1", Group: "g", Class: breaker.ReadsStale})).To(BeTrue())
		Expect(b.Allow(0, breaker.Key{Server: "s1", Group: "g", Class: breaker.ReadsOwnWrites})).To(BeTrue())
		Expect(b.Allow(0, breaker.Key{Server: "s1", Group: "h"})).To(BeTrue())
		Expect(b.Allow(0, breaker.Key{Server: "s2", Group: "g"})).To(BeTrue())
	})

	It("tells when the first server may be tried", func() {
		_, found := b.NextTrial(0, key, nil)
		Expect(found).To(BeFalse())
		b.Refused(0, key)
		at, found := b.NextTrial(10*millisecond, key, []model.InstanceID{"s1"})
		Expect(found).To(BeTrue())
		Expect(at).To(Equal(50 * millisecond))
		at, _ = b.NextTrial(10*millisecond, key, []model.InstanceID{"s1", "s2"})
		Expect(at).To(Equal(10 * millisecond))
		b.Reset("g")
		Expect(b.Allow(10*millisecond, key)).To(BeTrue())
	})
})
