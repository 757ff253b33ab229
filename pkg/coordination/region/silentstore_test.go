package region_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
)

// outage is a time in which the store listens to nothing. A request that is sent
// during it stays without an answer, also after its end.
type outage struct {
	over atomic.Bool
	lost atomic.Int64
}

// pass returns at once unless the outage lasts; then it blocks until ctx ends.
func (o *outage) pass(ctx context.Context) error {
	if o.over.Load() {
		return nil
	}
	o.lost.Add(1)
	<-ctx.Done()
	return ctx.Err()
}

// silentFeed is a feed of a store with an outage.
type silentFeed struct {
	*feed
	*outage
}

func (f silentFeed) Read(ctx context.Context) ([]region.Entry, int64, error) {
	if err := f.pass(ctx); err != nil {
		return nil, 0, err
	}
	return f.feed.Read(ctx)
}

// silentHeads is a headStore of a store with an outage.
type silentHeads struct {
	*headStore
	*outage
}

func (h silentHeads) Read(ctx context.Context) (*model.Head, error) {
	if err := h.pass(ctx); err != nil {
		return nil, err
	}
	return h.headStore.Read(ctx)
}

// Guards against a start that waits for the answer to a request which the store
// has lost, for as long as that request may take.
var _ = Describe("an instance that starts while the store is silent", func() {
	It("uses the store as soon as that is back", func() {
		silence := &outage{}
		configurations := silentFeed{feed: &feed{}, outage: silence}
		databases := silentFeed{feed: &feed{}, outage: silence}
		configurations.put(region.Entry{Key: "config", Value: []byte("5")})
		databases.put(region.Entry{Key: "a", Value: []byte("first")})
		heads := silentHeads{headStore: &headStore{}, outage: silence}
		loop := startConfigured(newLoopConfig(configurations, databases, heads))
		DeferCleanup(loop.Close)
		Eventually(silence.lost.Load).Should(BeNumerically(">=", 3))
		silence.over.Store(true)
		Eventually(func() catalog.Version { return loop.Snapshot().Catalog.Version }).WithTimeout(time.Minute).Should(BeEquivalentTo(5))
		Eventually(func() bool { return loop.Snapshot().View.Registered }).WithTimeout(time.Minute).Should(BeTrue())
	})
})
