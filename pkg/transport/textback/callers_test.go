package textback_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/textback"
	"gypsumdock/pkg/transport/textback/textbacktest"
	"gypsumdock/platform"
)

// get takes a connection for a caller, and reports whether it was opened.
func get(pools *textback.Pools, caller model.CallerName) (*textback.Conn, bool) {
	conn, opened, err := pools.Get(context.Background(), textback.GetOptions{Upstream: "u", Caller: caller})
	Expect(err).NotTo(HaveOccurred())
	return conn, opened
}

// use takes a connection for a caller and returns it.
func use(pools *textback.Pools, caller model.CallerName) bool {
	conn, opened := get(pools, caller)
	pools.Put(conn, true)
	return opened
}

// startedFor returns the names under which connections were opened.
func startedFor(d *textbacktest.Database) (names []string) {
	for _, line := range d.Starts() {
		names = append(names, strings.Fields(line)[2])
	}
	return names
}

var _ = Describe("Pools with callers", func() {
	// Guards against a statement of one account on a connection that the upstream
	// has accepted for another.
	It("open a connection under the caller's name, and keep it for that caller", func() {
		d := start(10)
		pools := poolsOf(d, 0)
		Expect(use(pools, "a")).To(BeTrue())
		Expect(use(pools, "b")).To(BeTrue())
		Expect(use(pools, "")).To(BeTrue())
		for range 3 {
			Expect(use(pools, "a")).To(BeFalse())
			Expect(use(pools, "")).To(BeFalse())
			Expect(use(pools, "b")).To(BeFalse())
		}
		Expect(startedFor(d)).To(Equal([]string{"a", "b", "test"}))
		Expect(pools.OpenConnections("u")).To(Equal(3))
	})

	// Guards against a probe that returns a caller's connection as one without a
	// caller, or whose own connection serves a caller.
	It("return a connection that a probe has used to its caller", func() {
		d := start(10)
		pools := poolsOf(d, 0)
		prober := textback.NewProber(pools)
		Expect(use(pools, "a")).To(BeTrue())
		_, err := prober.Probe(context.Background(), d.Upstream())
		Expect(err).NotTo(HaveOccurred())
		Expect(d.AcceptedConnections()).To(BeEquivalentTo(1))
		Expect(use(pools, "")).To(BeTrue())
		Expect(use(pools, "a")).To(BeFalse())
	})

	It("do not give a probe's connection to a caller with a name", func() {
		d := start(10)
		pools := poolsOf(d, 0)
		_, err := textback.NewProber(pools).Probe(context.Background(), d.Upstream())
		Expect(err).NotTo(HaveOccurred())
		Expect(use(pools, "a")).To(BeTrue())
		Expect(use(pools, "")).To(BeFalse())
		Expect(startedFor(d)).To(Equal([]string{"test", "a"}))
	})

	// Guards against a caller that finds all connections taken by idle ones of
	// others, and against the loss of the one that is needed next.
	It("close the least reused idle connection of another caller at the bound", func() {
		d := start(10)
		pools := poolsOf(d, 3)
		for range 20 {
			use(pools, "frequent")
		}
		use(pools, "rare")
		use(pools, "other")
		use(pools, "other")
		fourth, opened := get(pools, "new")
		Expect(opened).To(BeTrue())
		Expect(pools.OpenConnections("u")).To(Equal(3))
		pools.Put(fourth, true)
		Eventually(d.OpenConnections, longWait).Should(BeEquivalentTo(3))
		Expect(pools.OpenConnections("u")).To(Equal(3))
		Expect(use(pools, "frequent")).To(BeFalse())
		Expect(use(pools, "other")).To(BeFalse())
		Expect(use(pools, "rare")).To(BeTrue())
	})

	It("never close a connection that is in use", func() {
		d := start(10)
		pools := poolsOf(d, 2)
		a, _ := get(pools, "a")
		b, _ := get(pools, "b")
		Expect(use(pools, "c")).To(BeTrue())
		for _, conn := range []*textback.Conn{a, b} {
			conn.RequireValues(map[string]string{"tz": "utc"})
			Expect(conn.Confirm(farDeadline())).To(Succeed())
			pools.Put(conn, true)
		}
		Eventually(d.OpenConnections, longWait).Should(BeEquivalentTo(2))
		Expect(pools.OpenConnections("u")).To(Equal(2))
	})

	It("tell at which upstreams of a group a connection of the caller is idle", func() {
		pools := textback.New(platform.LineCodec{}, "test")
		DeferCleanup(pools.Close)
		upstreams := map[model.UpstreamID]catalog.Upstream{}
		for _, id := range []model.UpstreamID{"u", "v", "w"} {
			upstream := start(10).Upstream()
			upstream.ID = id
			if id == "w" {
				upstream.Group = "other"
			}
			upstreams[id] = upstream
		}
		pools.SetUpstreams(upstreams, nil)
		held, _ := get(pools, "a")
		Expect(pools.IdleAt(nil, "g", "a")).To(BeEmpty())
		pools.Put(held, true)
		Expect(pools.IdleAt(nil, "g", "a")).To(Equal([]model.UpstreamID{"u"}))
		Expect(pools.IdleAt(nil, "g", "b")).To(BeEmpty())
		Expect(pools.IdleAt(nil, "other", "a")).To(BeEmpty())
	})
})

var _ = Describe("the count of open connections", func() {
	It("does not change when the upstream refuses one, and falls when one is lost", func() {
		d := start(1)
		pools := poolsOf(d, 4)
		conn, _ := get(pools, "a")
		_, _, err := pools.Get(context.Background(), textback.GetOptions{Upstream: "u", Caller: "b"})
		Expect(textback.IsTooManyConnections(err)).To(BeTrue())
		Expect(pools.OpenConnections("u")).To(Equal(1))
		pools.Put(conn, false)
		Expect(pools.OpenConnections("u")).To(BeZero())
	})

	It("falls when an idle connection turns out to be dead, and the next one is used", func() {
		d := start(10)
		pools := poolsOf(d, 4)
		first, _ := get(pools, "a")
		second, _ := get(pools, "a")
		pools.Put(first, true)
		d.SetAnswer(func(string) []string { return nil })
		_, err := second.Exchange([]byte("QUERY x y\r\n"), farDeadline())
		Expect(err).To(HaveOccurred())
		pools.Put(second, true)
		Expect(pools.OpenConnections("u")).To(Equal(1))
		Expect(use(pools, "a")).To(BeFalse())
	})

	// Guards against a connection in use whose upstream was removed and added
	// again meanwhile: its return lowered the new count below zero.
	It("is that of the present pool after the upstream was removed or restarted", func() {
		d := start(10)
		pools := poolsOf(d, 4)
		held, _ := get(pools, "a")
		lost, _ := get(pools, "a")
		known := map[model.UpstreamID]catalog.Upstream{"u": d.Upstream()}
		pools.SetUpstreams(nil, nil)
		pools.SetUpstreams(known, map[model.UpstreamID]int{"u": 4})
		Expect(use(pools, "b")).To(BeTrue())
		pools.Put(held, true)
		pools.Put(lost, false)
		Expect(pools.OpenConnections("u")).To(Equal(1))
		Expect(use(pools, "a")).To(BeTrue())
		Eventually(d.OpenConnections, longWait).Should(BeEquivalentTo(2))
	})
})

// The choice among 100 callers, with the count and the lock, must take less than
// a microsecond.
func BenchmarkIdleAt(b *testing.B) {
	pools, done := fullPools(b, 100)
	defer done()
	var ids []model.UpstreamID
	b.ReportAllocs()
	for b.Loop() {
		ids = pools.IdleAt(ids[:0], "g", "caller-50")
	}
}

func BenchmarkGetPut(b *testing.B) {
	pools, done := fullPools(b, 100)
	defer done()
	b.ReportAllocs()
	for b.Loop() {
		conn, _, err := pools.Get(context.Background(), textback.GetOptions{Upstream: "u", Caller: "caller-50"})
		if err != nil {
			b.Fatal(err)
		}
		pools.Put(conn, true)
	}
}

// fullPools returns pools with an idle connection of each of the callers.
func fullPools(b *testing.B, callers int) (pools *textback.Pools, done func()) {
	d, err := textbacktest.Start(1000)
	if err != nil {
		b.Fatal(err)
	}
	pools = textback.New(platform.LineCodec{}, "test")
	pools.SetUpstreams(map[model.UpstreamID]catalog.Upstream{"u": d.Upstream()}, map[model.UpstreamID]int{"u": callers})
	for i := range callers {
		name := model.CallerName(fmt.Sprint("caller-", i))
		conn, _, err := pools.Get(context.Background(), textback.GetOptions{Upstream: "u", Caller: name})
		if err != nil {
			b.Fatal(err)
		}
		pools.Put(conn, true)
	}
	return pools, func() {
		pools.Close()
		_ = d.Close()
	}
}
