package region_test

import (
	"context"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
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

// startConfigured starts a loop; the test must close it.
func startConfigured(config region.Config) *region.Loop {
	loop, err := region.New(config)
	Expect(err).NotTo(HaveOccurred())
	loop.Start()
	return loop
}

type clock struct{ begun time.Time }

func (c clock) Now() time.Duration { return time.Since(c.begun) + time.Millisecond }
