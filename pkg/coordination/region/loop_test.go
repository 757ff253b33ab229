package region_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
)

var _ = Describe("Loop", func() {
	var (
		configurations, databases *feed
		loop                      *region.Loop
	)

	BeforeEach(func() {
		configurations, databases = &feed{}, &feed{}
		loop = startConfigured(newLoopConfig(configurations, databases, &headStore{}))
		DeferCleanup(loop.Close)
	})

	version := func() catalog.Version { return loop.Snapshot().Catalog.Version }

	It("adopts only newer configurations, and skips rows that cannot be decoded", func() {
		configurations.put(region.Entry{Key: "config", Value: []byte("5")})
		Eventually(version).Should(Equal(catalog.Version(5)))
		configurations.put(region.Entry{Key: "config", Value: []byte("nonsense")})
		configurations.put(region.Entry{Key: "config", Value: []byte("3")})
		configurations.put(region.Entry{Key: "config", Value: []byte("9")})
		Eventually(version).Should(Equal(catalog.Version(9)))
	})

	It("reads the complete table again if the changes are no longer kept", func() {
		configurations.put(region.Entry{Key: "config", Value: []byte("5")})
		Eventually(version).Should(Equal(catalog.Version(5)))
		configurations.mu.Lock()
		configurations.gone = true
		configurations.version++
		configurations.entries = []region.Entry{{Key: "config", Value: []byte("6"), Version: configurations.version}}
		configurations.mu.Unlock()
		Eventually(version).Should(Equal(catalog.Version(6)))
	})

	It("takes the upstream that reports to be primary as the group's first one, and sends peers what they lack", func(ctx SpecContext) {
		configurations.put(region.Entry{Key: "config", Value: []byte("5")})
		databases.put(region.Entry{Key: "a", Value: []byte("first")})
		databases.put(region.Entry{Key: "b", Value: []byte("second")})
		databases.put(region.Entry{Key: "c"})
		Eventually(func() model.UpstreamID {
			state, _ := loop.Snapshot().View.Group("g")
			return state.Primary
		}, "20s").Should(Equal(model.UpstreamID("a")))
		Expect(loop.Snapshot().Upstreams).To(HaveLen(2))
		reply, err := loop.AnswerStateQuery(ctx, region.StateQuery{Urgent: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Head).NotTo(BeNil())
		Expect(reply.Catalog).NotTo(BeEmpty())
		Expect(reply.Upstreams).NotTo(BeEmpty())
		known := region.StateQuery{CatalogVersion: 5, UpstreamsVersion: reply.UpstreamsVersion, Urgent: true}
		again, err := loop.AnswerStateQuery(ctx, known)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Catalog).To(BeNil())
		Expect(again.Upstreams).To(BeNil())
	})
})

var _ = Describe("a group without a known primary", func() {
	// If all instances probe all upstreams after four seconds, the connections
	// keep the upstreams so busy that none can report to be primary.
	It("is probed by the reader alone at first, and then by one more instance after each delay", func() {
		probers := func(noPrimaryFor time.Duration) int {
			count := 0
			for rank := range 300 {
				if region.SeeksPrimary(rank, noPrimaryFor) {
					count++
				}
			}
			return count
		}
		Expect(probers(time.Second)).To(BeZero())
		Expect(probers(2 * time.Second)).To(Equal(1))
		Expect(probers(5 * time.Second)).To(Equal(2))
		Expect(probers(20 * time.Second)).To(Equal(10))
	})
})

var _ = Describe("a group whose primary may be replaced", func() {
	// If all of 31 instances probe during a suspicion, they open 5,000
	// connections a second. These keep the upstreams busy, and the suspicion
	// does not end.
	It("is probed by a number of instances that grows slowly", func() {
		Expect(region.ProberCount(0)).To(Equal(2))
		Expect(region.ProberCount(time.Second)).To(Equal(4))
		Expect(region.ProberCount(2500 * time.Millisecond)).To(Equal(6))
		Expect(region.ProberCount(20 * time.Second)).To(Equal(12))
	})

	It("is probed at longer intervals if there are many instances", func() {
		Expect(region.ProbeIntervalFor(4)).To(Equal(150 * time.Millisecond))
		Expect(region.ProbeIntervalFor(28)).To(Equal(300 * time.Millisecond))
		Expect(region.ProbeIntervalFor(300)).To(BeNumerically(">", 2*time.Second))
	})
})
