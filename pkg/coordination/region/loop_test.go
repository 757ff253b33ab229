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
)

// feed is a table that a test writes.
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

// decoder reads a configuration as its version, and an upstream as its address.
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

// heads is a head row that is written under its version.
type heads struct {
	mu   sync.Mutex
	head *model.Head
}

func (h *heads) Read(context.Context) (*model.Head, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.head, nil
}

func (h *heads) Write(_ context.Context, _ string, ifVersion model.RowVersion, head *model.Head) (failover.WriteOutcome, *model.Head) {
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

type nobody struct{}

func (nobody) SetPeers([]model.Member)                        {}
func (nobody) Send(model.InstanceID, failover.PeerMessage)    {}
func (nobody) FetchHead(context.Context) (*model.Head, error) { return nil, errBad }

func (nobody) Promote(context.Context, model.GroupID, model.UpstreamID, uint64) error { return errBad }

func (nobody) QueryState(context.Context, model.InstanceID, region.StateQuery) (*region.StateReply, error) {
	return nil, errBad
}

// upstreams answers probes: the one at "first" leads.
type upstreams struct{}

func (upstreams) Probe(_ context.Context, upstream catalog.Upstream) (region.Sample, error) {
	return region.Sample{Primary: upstream.Address == "first", Term: 1, ReceivedLSN: 7}, nil
}

type quiet struct{}

func (quiet) Publish(*region.Snapshot)                           {}
func (quiet) PassiveHealth(model.GroupID) region.PassiveHealth   { return region.PassiveHealth{} }
func (quiet) ProbeAnswered(model.GroupID, model.UpstreamID)      {}
func (quiet) WritesInFlight(model.GroupID, model.Generation) int { return 0 }

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
		loop, err = region.New(region.Config{
			Self:           model.Member{ID: "i1", DataCentre: "z", Machine: "m1"},
			Clock:          clock{time.Now()},
			Heads:          &heads{},
			Configurations: configurations,
			Databases:      databases,
			Decoder:        decoder{},
			Upstreams:      upstreams{},
			Promotion:      nobody{},
			Peers:          nobody{},
			Traffic:        quiet{},
			Logger:         slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		Expect(err).NotTo(HaveOccurred())
		loop.Start()
		DeferCleanup(loop.Close)
	})

	version := func() catalog.Version { return loop.Snapshot().Catalog.Version }

	It("adopts configurations upwards, past rows that cannot be read", func() {
		configurations.put(region.Entry{Key: "config", Value: []byte("5")})
		Eventually(version).Should(Equal(catalog.Version(5)))
		configurations.put(region.Entry{Key: "config", Value: []byte("nonsense")})
		configurations.put(region.Entry{Key: "config", Value: []byte("3")})
		configurations.put(region.Entry{Key: "config", Value: []byte("9")})
		Eventually(version).Should(Equal(catalog.Version(9)))
	})

	It("reads a table anew whose history is gone", func() {
		configurations.put(region.Entry{Key: "config", Value: []byte("5")})
		Eventually(version).Should(Equal(catalog.Version(5)))
		configurations.mu.Lock()
		configurations.gone = true
		configurations.version++
		configurations.entries = []region.Entry{{Key: "config", Value: []byte("6"), Version: configurations.version}}
		configurations.mu.Unlock()
		Eventually(version).Should(Equal(catalog.Version(6)))
	})

	It("starts a group on the upstream that leads, and answers peers with what it knows", func(ctx SpecContext) {
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
	// All instances probed all upstreams after four seconds, which kept the
	// upstreams busy with connections so that none could say that it leads.
	It("is probed by the reader alone first, and by one more instance after each pause", func() {
		probing := func(unled time.Duration) int {
			count := 0
			for rank := range 300 {
				if region.SeeksPrimary(rank, unled) {
					count++
				}
			}
			return count
		}
		Expect(probing(time.Second)).To(BeZero())
		Expect(probing(2 * time.Second)).To(Equal(1))
		Expect(probing(5 * time.Second)).To(Equal(2))
		Expect(probing(20 * time.Second)).To(Equal(10))
	})
})

var _ = Describe("a group whose primary may be replaced", func() {
	// With 31 instances a doubt brought 5,000 connections a second, which kept
	// all upstreams busy, so that the doubt did not end.
	It("is probed by a number of instances that grows slowly", func() {
		Expect(region.ProbersAfter(0)).To(Equal(2))
		Expect(region.ProbersAfter(time.Second)).To(Equal(4))
		Expect(region.ProbersAfter(2500 * time.Millisecond)).To(Equal(6))
		Expect(region.ProbersAfter(20 * time.Second)).To(Equal(12))
	})

	It("is probed less often by each of many instances", func() {
		Expect(region.SpacedInterval(4)).To(Equal(150 * time.Millisecond))
		Expect(region.SpacedInterval(28)).To(Equal(300 * time.Millisecond))
		Expect(region.SpacedInterval(300)).To(BeNumerically(">", 2*time.Second))
	})
})
