package region_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
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
	loop, err := region.New(region.Config{
		Self: model.Member{ID: id, DataCentre: "a", Machine: string(id)}, Failover: config, Clock: &wallClock{started: time.Now()},
		Heads: heads, Configurations: table, Databases: &feed{}, Decoder: jsonDecoder{},
		Upstreams: upstreams{}, Promotion: unavailable{}, Peers: peers, Traffic: idleTraffic{},
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	Expect(err).NotTo(HaveOccurred())
	loop.Start()
	return loop
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

// applyTime is the time within which a configuration must be in force.
const applyTime = 5 * time.Second

// Guards against a configuration that is sent again and again, each time from its
// start, since it takes longer over the link than a call may take.
var _ = Describe("an instance with a link of 10 Mbit/s", func() {
	const manyRoutes = 4200
	members := []model.InstanceID{"m1", "m2", "m3", "m4"}
	full := failover.Config{MinMembers: len(members), MaxMembers: len(members), JoinDelay: time.Hour, UrgentJoinDelay: time.Hour}

	It("adopts large configurations from members in time", func() {
		inVirtualTime(func() {
			table, heads := &feed{}, &headStore{head: rowWith(members...)}
			putConfiguration(table, 1, 10)
			member := startVirtual(members[0], table, unavailable{}, heads, full)
			defer member.Close()
			expectVersion(member, 1, applyTime)
			link := newNarrowLink(10)
			observer := startVirtual("o1", narrowFeed{table, link}, newNarrowPeers(members, member, link), heads, full)
			defer observer.Close()
			expectVersion(observer, 1, applyTime)
			time.Sleep(applyTime)
			putConfiguration(table, 2, manyRoutes)
			time.Sleep(applyTime / 2)
			putConfiguration(table, 3, manyRoutes)
			expectVersion(observer, 3, applyTime)
		})
	})

	It("goes on with another member where a transfer was interrupted", func() {
		inVirtualTime(func() {
			table, heads := &feed{}, &headStore{head: rowWith(members...)}
			putConfiguration(table, 1, manyRoutes)
			member := startVirtual(members[0], table, unavailable{}, heads, full)
			defer member.Close()
			expectVersion(member, 1, applyTime)
			peers := newNarrowPeers(members, member, newNarrowLink(10))
			peers.partsLeft = map[model.InstanceID]int{"m1": 1, "m2": 1, "m3": 1}
			observer := startVirtual("o1", &feed{}, peers, heads, full)
			defer observer.Close()
			expectVersion(observer, 1, applyTime)
			reply, err := member.AnswerStateQuery(context.Background(), region.StateQuery{Observer: true, TakesOffers: true})
			Expect(err).NotTo(HaveOccurred())
			Expect(peers.parts).To(Equal((reply.CatalogOffer.Size + transfer.PartBytes - 1) / transfer.PartBytes))
		})
	})

	// Guards against a transfer that begins anew with each newer version, and never ends.
	It("adopts configurations that follow each other quickly, and the last one in time", func() {
		inVirtualTime(func() {
			table, heads := &feed{}, &headStore{head: rowWith(members...)}
			putConfiguration(table, 1, manyRoutes)
			member := startVirtual(members[0], table, unavailable{}, heads, full)
			defer member.Close()
			expectVersion(member, 1, applyTime)
			// A transfer takes longer than the time between two versions.
			observer := startVirtual("o1", &feed{}, newNarrowPeers(members, member, newNarrowLink(1)), heads, full)
			defer observer.Close()
			expectVersion(observer, 1, applyTime)
			adopted := map[catalog.Version]bool{}
			const last = 12
			for version := catalog.Version(2); version <= last; version++ {
				putConfiguration(table, version, manyRoutes)
				time.Sleep(time.Second / 3)
				adopted[observer.Snapshot().Catalog.Version] = true
			}
			Expect(len(adopted)).To(BeNumerically(">=", 3))
			expectVersion(observer, last, applyTime)
		})
	})

	It("serves the parts of a version for a while after it was superseded", func() {
		inVirtualTime(func() {
			table := &feed{}
			putConfiguration(table, 1, manyRoutes)
			member := startVirtual(members[0], table, unavailable{}, &headStore{head: rowWith(members...)}, full)
			defer member.Close()
			expectWithin(applyTime, "the members are known", func() bool { return member.Snapshot().View.Head != nil })
			expectVersion(member, 1, applyTime)
			reply, err := member.AnswerStateQuery(context.Background(), region.StateQuery{Observer: true, TakesOffers: true})
			Expect(err).NotTo(HaveOccurred())
			part := func() ([]byte, error) { return member.AnswerPart(reply.CatalogOffer.Digest, transfer.PartBytes) }
			for version := catalog.Version(2); version <= 5; version++ {
				Expect(part()).To(HaveLen(transfer.PartBytes))
				putConfiguration(table, version, manyRoutes)
				expectVersion(member, version, applyTime)
			}
			putConfiguration(table, 6, manyRoutes)
			expectVersion(member, 6, applyTime)
			_, err = part()
			Expect(err).To(MatchError(region.ErrPartGone))
		})
	})

	It("sends a large configuration whole to an instance that takes no offers", func() {
		inVirtualTime(func() {
			table := &feed{}
			putConfiguration(table, 1, manyRoutes)
			member := startVirtual(members[0], table, unavailable{}, &headStore{head: rowWith(members...)}, full)
			defer member.Close()
			expectVersion(member, 1, applyTime)
			expectWithin(applyTime, "the members are known", func() bool { return member.Snapshot().View.Head != nil })
			reply, err := member.AnswerStateQuery(context.Background(), region.StateQuery{Observer: true})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.CatalogOffer).To(BeNil())
			Expect(len(reply.Catalog)).To(BeNumerically(">", 100*manyRoutes))
		})
	})

	It("reads a large configuration from the store in time", func() {
		inVirtualTime(func() {
			table := &feed{}
			putConfiguration(table, 1, 15_000)
			loop := startVirtual("i1", narrowFeed{table, newNarrowLink(10)}, unavailable{}, &headStore{}, failover.Config{})
			defer loop.Close()
			expectVersion(loop, 1, applyTime)
		})
	})
})
