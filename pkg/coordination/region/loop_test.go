package region_test

import (
	"context"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/transfer"
)

// feed is a region.Feed in memory.
type feed struct {
	mu      sync.Mutex
	entries []region.Entry
	version int64
	gone    bool
	reads   int
}

func (f *feed) put(entry region.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	entry.Version = f.version
	f.entries = append(f.entries, entry)
}

func (f *feed) Read(context.Context) ([]region.Entry, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	f.gone = false
	return append([]region.Entry(nil), f.entries...), f.version, nil
}

func (f *feed) Next(ctx context.Context, after int64, _ time.Duration) ([]region.Entry, int64, error) {
	select {
	case <-ctx.Done():
	case <-time.After(5 * time.Millisecond):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gone {
		return nil, 0, region.ErrHistoryGone
	}
	var changed []region.Entry
	for _, entry := range f.entries {
		if entry.Version > after {
			changed = append(changed, entry)
		}
	}
	return changed, f.version, nil
}

// decoder decodes a configuration from its version, and an upstream from its
// address.
type decoder struct{}

var errBad = errors.New("bad row")

func (decoder) Configuration(entry region.Entry) (*catalog.Catalog, error) {
	version, err := strconv.ParseUint(string(entry.Value), 10, 64)
	if err != nil {
		return nil, err
	}
	return catalog.New(catalog.Version(version),
		[]catalog.Route{{Database: "d", Group: "g"}}, []catalog.Group{{ID: "g", MaxConnections: 9}}, catalog.Limits{}), nil
}

func (decoder) Upstream(entry region.Entry) (catalog.Upstream, error) {
	if len(entry.Value) == 0 {
		return catalog.Upstream{}, errBad
	}
	return catalog.Upstream{ID: model.UpstreamID(entry.Key), Group: "g", Address: string(entry.Value), Slots: 1}, nil
}

// headStore is a region.HeadStore in memory.
type headStore struct {
	mu   sync.Mutex
	head *model.Head
}

func (h *headStore) Read(context.Context) (*model.Head, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.head, nil
}

func (h *headStore) Write(_ context.Context, _ string, ifVersion model.RowVersion, head *model.Head) (failover.WriteOutcome, *model.Head) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.head != nil && h.head.Version != ifVersion {
		return failover.WriteConflict, h.head
	}
	written := head.Clone()
	written.Version = ifVersion + 1
	h.head = written
	return failover.WriteApplied, written
}

// unavailable implements region.Peers and region.Promotion; its requests fail.
type unavailable struct{}

func (unavailable) Peers() []model.InstanceID                      { return nil }
func (unavailable) SetPeers([]model.Member)                        {}
func (unavailable) Send(model.InstanceID, failover.PeerMessage)    {}
func (unavailable) FetchHead(context.Context) (*model.Head, error) { return nil, errBad }

func (unavailable) Promote(context.Context, model.GroupID, model.UpstreamID, uint64) error {
	return errBad
}

func (unavailable) QueryState(context.Context, model.InstanceID, region.StateQuery) (*region.StateReply, error) {
	return nil, errBad
}

func (unavailable) FetchPart(context.Context, model.InstanceID, transfer.Digest, int) ([]byte, error) {
	return nil, errBad
}

// upstreams answers probes. The upstream with the address "first" is primary.
type upstreams struct{}

func (upstreams) Probe(_ context.Context, upstream catalog.Upstream) (region.Sample, error) {
	return region.Sample{Primary: upstream.Address == "first", Term: 1, ReceivedLSN: 7}, nil
}

// idleTraffic is a region.Traffic without statements.
type idleTraffic struct{}

func (idleTraffic) Publish(*region.Snapshot)                           {}
func (idleTraffic) PassiveHealth(model.GroupID) region.PassiveHealth   { return region.PassiveHealth{} }
func (idleTraffic) ProbeAnswered(model.GroupID, model.UpstreamID)      {}
func (idleTraffic) WritesInFlight(model.GroupID, model.Generation) int { return 0 }

// newLoopConfig returns the configuration of a loop without peers and statements.
func newLoopConfig(configurations, databases region.Feed, heads region.HeadStore) region.Config {
	return region.Config{
		Self:           model.Member{ID: "i1", DataCentre: "z", Machine: "m1"},
		Clock:          clock{time.Now()},
		Heads:          heads,
		Configurations: configurations,
		Databases:      databases,
		Decoder:        decoder{},
		Upstreams:      upstreams{},
		Promotion:      unavailable{},
		Peers:          unavailable{},
		Traffic:        idleTraffic{},
		Logger:         slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

type clock struct{ begun time.Time }

func (c clock) Now() time.Duration { return time.Since(c.begun) + time.Millisecond }

var _ = Describe("Loop", func() {
	var (
		configurations, databases *feed
		loop                      *region.Loop
	)

	BeforeEach(func() {
		configurations, databases = &feed{}, &feed{}
		var err error
		loop, err = region.New(newLoopConfig(configurations, databases, &headStore{}))
		Expect(err).NotTo(HaveOccurred())
		loop.Start()
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
