package region_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"gypsumdock/pkg/coordination/hedge"
	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/protocol/meshlink"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/transfer"
)

// inVirtualTime runs work in a bubble in which time passes only while all
// goroutines wait. All that work starts must end with it.
func inVirtualTime(work func()) {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		// What is on its way over a link arrives before the end.
		defer time.Sleep(time.Minute)
		work()
	})
}

// narrowLink carries what an instance receives. Transfers share it in turns.
type narrowLink struct {
	turn           chan struct{}
	bytesPerSecond int
}

// linkSegment is the number of bytes that a transfer sends in its turn.
const linkSegment = 8 << 10

func newNarrowLink(mbps int) *narrowLink {
	return &narrowLink{turn: make(chan struct{}, 1), bytesPerSecond: mbps * 1000 * 1000 / 8}
}

// receive waits until size bytes have arrived, or until ctx ends.
func (l *narrowLink) receive(ctx context.Context, size int) error {
	for size > 0 {
		select {
		case l.turn <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		sent := min(size, linkSegment)
		time.Sleep(time.Duration(sent) * time.Second / time.Duration(l.bytesPerSecond))
		<-l.turn
		size -= sent
	}
	return nil
}

// narrowFeed is a feed whose rows arrive over a link, in base64.
type narrowFeed struct {
	*feed
	link *narrowLink
}

func (f narrowFeed) Read(ctx context.Context) ([]region.Entry, int64, error) {
	entries, version, _ := f.feed.Read(ctx)
	return entries, version, f.receive(ctx, entries)
}

func (f narrowFeed) Next(ctx context.Context, after int64, wait time.Duration) ([]region.Entry, int64, error) {
	entries, version, err := f.feed.Next(ctx, after, wait)
	if err != nil {
		return nil, 0, err
	}
	return entries, version, f.receive(ctx, entries)
}

func (f narrowFeed) receive(ctx context.Context, entries []region.Entry) error {
	hedge.Answering(ctx)
	size := 0
	for _, entry := range entries {
		size += len(entry.Value) * 4 / 3
	}
	return f.link.receive(ctx, size)
}

// narrowPeers is a region.Peers with several members that know the same. Their
// answers arrive over one link.
type narrowPeers struct {
	unavailable
	member *region.Loop
	link   *narrowLink
	// streams keep the answers of each member in order, as the streams of mesh
	// sessions do.
	streams map[model.InstanceID]chan struct{}
	// partsLeft holds the members that fail after a number of parts.
	partsLeft map[model.InstanceID]int
	parts     int
}

func newNarrowPeers(ids []model.InstanceID, member *region.Loop, link *narrowLink) *narrowPeers {
	peers := &narrowPeers{member: member, link: link, streams: make(map[model.InstanceID]chan struct{})}
	for _, id := range ids {
		peers.streams[id] = make(chan struct{}, 1)
	}
	return peers
}

func (p *narrowPeers) Peers() []model.InstanceID { return slices.Sorted(maps.Keys(p.streams)) }

func (p *narrowPeers) QueryState(ctx context.Context, to model.InstanceID, query region.StateQuery) (*region.StateReply, error) {
	reply, err := p.member.AnswerStateQuery(ctx, query)
	if err != nil {
		return nil, err
	}
	known := query.Head.Version
	return reply, p.deliver(ctx, to, meshlink.EncodeRegionAnswer(reply, known))
}

func (p *narrowPeers) FetchPart(ctx context.Context, from model.InstanceID, digest transfer.Digest, offset int) ([]byte, error) {
	if left, fails := p.partsLeft[from]; fails {
		if left == 0 {
			return nil, errBad
		}
		p.partsLeft[from]--
	}
	part, err := p.member.AnswerPart(digest, offset)
	if err != nil {
		return nil, err
	}
	p.parts++
	return part, p.deliver(ctx, from, meshlink.EncodePart(part))
}

// deliver waits until an answer has arrived, or until ctx ends. The answer arrives
// in any case.
func (p *narrowPeers) deliver(ctx context.Context, from model.InstanceID, answer proto.Message) error {
	arrived := make(chan struct{})
	stream := p.streams[from]
	go func() {
		defer close(arrived)
		stream <- struct{}{}
		_ = p.link.receive(context.Background(), proto.Size(answer))
		<-stream
	}()
	select {
	case <-arrived:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// jsonDecoder decodes a configuration that was encoded as JSON.
type jsonDecoder struct{ decoder }

func (jsonDecoder) Configuration(entry region.Entry) (*catalog.Catalog, error) {
	decoded := &catalog.Catalog{}
	return decoded, json.Unmarshal(entry.Value, decoded)
}

// putConfiguration writes a version with this many routes to the table.
func putConfiguration(table *feed, version catalog.Version, routes int) {
	all := make([]catalog.Route, 0, routes)
	for i := range routes {
		all = append(all, catalog.Route{
			Name: fmt.Sprintf("r-%07x", i*7919), Database: fmt.Sprintf("database%d", i), Group: "g",
			Consistency: catalog.ReadYourWrites, Timeout: 800 * time.Millisecond, MaxAge: 2500 * time.Millisecond,
		})
	}
	groups := []catalog.Group{{ID: "g", MaxConnections: 9}}
	table.put(region.Entry{Key: "config", Value: mustJSON(catalog.New(version, all, groups, catalog.Limits{}))})
}

// startVirtual starts a loop in a bubble; the test must close it.
func startVirtual(id model.InstanceID, table region.Feed, peers region.Peers, heads region.HeadStore, config failover.Config) *region.Loop {
	config.PermitLifetime = time.Minute
	settings := newLoopConfig(table, &feed{}, heads)
	settings.Self = model.Member{ID: id, DataCentre: "a", Machine: string(id)}
	settings.Failover = config
	settings.Decoder = jsonDecoder{}
	settings.Peers = peers
	return startConfigured(settings)
}

// expectWithin waits in virtual time until the condition holds, and fails after the
// limit.
func expectWithin(limit time.Duration, what string, holds func() bool) {
	GinkgoHelper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(10 * time.Millisecond) {
		Expect(time.Now()).To(BeTemporally("<", end), "%s: not after %s", what, limit)
	}
}

// expectVersion waits until the configuration is active.
func expectVersion(loop *region.Loop, version catalog.Version, limit time.Duration) {
	GinkgoHelper()
	expectWithin(limit, fmt.Sprintf("configuration %d is active", version), func() bool {
		return loop.Snapshot().Catalog.Version == version
	})
}
