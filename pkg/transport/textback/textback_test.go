package textback_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/textback"
	"gypsumdock/pkg/transport/textback/textbacktest"
	"gypsumdock/platform"
)

func TestTextback(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "textback")
}

// longWait bounds waits that end soon unless the code under test hangs.
const longWait = 20 * time.Second

func farDeadline() time.Time { return time.Now().Add(longWait) }

func start(limit int64) *textbacktest.Database {
	d, err := textbacktest.Start(limit)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.Close)
	return d
}

func poolsOf(d *textbacktest.Database, maxOpen int) *textback.Pools {
	pools := textback.New(platform.LineCodec{}, "test")
	pools.SetUpstreams(
		map[model.UpstreamID]catalog.Upstream{"u": d.Upstream()},
		map[model.UpstreamID]int{"u": maxOpen},
	)
	DeferCleanup(pools.Close)
	return pools
}

func getConn(pools *textback.Pools) (*textback.Conn, error) {
	conn, _, err := pools.Get(context.Background(), textback.GetOptions{Upstream: "u"})
	return conn, err
}

var _ = Describe("Prober", func() {
	// Guards against an upstream at its connection limit that cannot be probed:
	// 28 instances with one connection each filled an upstream that accepts 28.
	// It refused every probe, and no change of primary could complete.
	It("asks on an idle connection of an upstream at its connection limit", func() {
		d := start(1)
		pools := poolsOf(d, 0)
		conn, err := getConn(pools)
		Expect(err).NotTo(HaveOccurred())
		prober := textback.NewProber(pools)
		_, err = prober.Probe(context.Background(), d.Upstream())
		Expect(err).To(MatchError(region.ErrTooManyConnections))
		pools.Put(conn, true)
		sample, err := prober.Probe(context.Background(), d.Upstream())
		Expect(err).NotTo(HaveOccurred())
		Expect(sample).To(Equal(region.Sample{Primary: true, Term: 1, ReceivedLSN: 7}))
		Expect(d.AcceptedConnections()).To(BeEquivalentTo(1))
	})
})

var _ = Describe("Prober without an idle connection", func() {
	// Guards against a new connection for each probe: at the start of 31
	// instances, these probes kept all upstreams busy, and no group found its
	// primary.
	It("keeps the connection that it opens", func() {
		d := start(10)
		pools := poolsOf(d, 0)
		prober := textback.NewProber(pools)
		for range 5 {
			_, err := prober.Probe(context.Background(), d.Upstream())
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(d.AcceptedConnections()).To(BeEquivalentTo(1))
		Expect(pools.OpenConnections("u")).To(Equal(1))
	})
})

var _ = Describe("Pools with a limit", func() {
	It("tells a full upstream from one that does not answer", func() {
		d := start(0)
		pools := poolsOf(d, 1)
		for range 3 {
			_, err := getConn(pools)
			Expect(textback.IsTooManyConnections(err)).To(BeTrue())
		}
		Expect(pools.OpenConnections("u")).To(BeZero())
	})

	It("closes a connection that is returned above the limit", func() {
		d := start(10)
		pools := poolsOf(d, 1)
		first, err := getConn(pools)
		Expect(err).NotTo(HaveOccurred())
		second, err := getConn(pools)
		Expect(err).NotTo(HaveOccurred())
		pools.Put(first, true)
		pools.Put(second, true)
		Eventually(d.OpenConnections, longWait).Should(BeEquivalentTo(1))
		Expect(pools.OpenConnections("u")).To(Equal(1))
	})

	It("closes idle connections when the limit shrinks", func() {
		d := start(10)
		pools := poolsOf(d, 2)
		first, err := getConn(pools)
		Expect(err).NotTo(HaveOccurred())
		second, err := getConn(pools)
		Expect(err).NotTo(HaveOccurred())
		pools.Put(first, true)
		pools.Put(second, true)
		pools.SetUpstreams(
			map[model.UpstreamID]catalog.Upstream{"u": d.Upstream()},
			map[model.UpstreamID]int{"u": 1},
		)
		Eventually(d.OpenConnections, longWait).Should(BeEquivalentTo(1))
	})
})
