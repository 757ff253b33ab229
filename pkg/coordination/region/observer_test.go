package region_test

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// scriptedPeers is a region.Peers whose members answer as a test says.
type scriptedPeers struct {
	unavailable
	connected []model.InstanceID

	mu      sync.Mutex
	answer  func(context.Context, model.InstanceID, region.StateQuery) (*region.StateReply, error)
	queries []region.StateQuery
}

func (p *scriptedPeers) Peers() []model.InstanceID { return p.connected }

func (p *scriptedPeers) QueryState(ctx context.Context, to model.InstanceID, query region.StateQuery) (*region.StateReply, error) {
	p.mu.Lock()
	p.queries = append(p.queries, query)
	answer := p.answer
	p.mu.Unlock()
	return answer(ctx, to, query)
}

func (p *scriptedPeers) queried() []region.StateQuery {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]region.StateQuery(nil), p.queries...)
}

// rowWith returns a head row with a group and these members.
func rowWith(members ...model.InstanceID) *model.Head {
	head := &model.Head{Version: 7, MembersVersion: 3, Groups: []model.GroupHead{{ID: "g", Generation: 1, Primary: "first", Timeline: 1}}}
	for _, id := range members {
		head.Members = append(head.Members, model.Member{ID: id, DataCentre: "a"})
	}
	return head
}

// startLoop starts a loop of the instance "self".
func startLoop(peers region.Peers, heads region.HeadStore, config failover.Config) *region.Loop {
	return startLoopWith(configured(), peers, heads, config)
}

// startLoopWith starts a loop that reads the configuration from the table.
func startLoopWith(configurations region.Feed, peers region.Peers, heads region.HeadStore, config failover.Config) *region.Loop {
	config.PermitLifetime = time.Minute
	settings := newLoopConfig(configurations, &feed{}, heads)
	settings.Self = model.Member{ID: "self", DataCentre: "a", Machine: "self"}
	settings.Failover = config
	settings.Peers = peers
	loop := startConfigured(settings)
	DeferCleanup(loop.Close)
	return loop
}

// longWait is a bound that only a hang exceeds.
const longWait = 20 * time.Second

func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	return data
}

func configured() *feed {
	table := &feed{}
	table.put(region.Entry{Key: "config", Value: []byte("4")})
	return table
}

var _ = Describe("an instance in a full region", func() {
	full := failover.Config{MinMembers: 2, MaxMembers: 2, JoinDelay: time.Hour, UrgentJoinDelay: time.Hour}

	It("follows a member, and learns who serves", func() {
		known := catalog.New(9, []catalog.Route{{Database: "d", Group: "g"}}, []catalog.Group{{ID: "g", MaxConnections: 9}}, catalog.Limits{})
		peers := &scriptedPeers{connected: []model.InstanceID{"m1", "m2"}}
		peers.answer = func(context.Context, model.InstanceID, region.StateQuery) (*region.StateReply, error) {
			return &region.StateReply{Head: rowWith("m1", "m2"), Current: true, Catalog: mustJSON(known), Suspects: []model.InstanceID{"m2"}}, nil
		}
		heads := &headStore{head: rowWith("m1", "m2")}
		loop := startLoop(peers, heads, full)
		Eventually(func() catalog.Version { return loop.Snapshot().Catalog.Version }, longWait).Should(Equal(catalog.Version(9)))
		Eventually(func() []model.Member { return loop.Snapshot().Serving["g"].Servers }, longWait).Should(HaveLen(1))
		snapshot := loop.Snapshot()
		Expect(snapshot.Serving["g"].Servers[0].ID).To(Equal(model.InstanceID("m1")))
		Expect(snapshot.Serving["g"].Local).To(BeFalse())
		Expect(snapshot.View.Observer).To(BeTrue())
		Expect(peers.queried()[0].Observer).To(BeTrue())
		Expect(heads.head.Members).To(HaveLen(2))
	})

	// After a power loss of all, the row that is known lists only processes that
	// have ended. Observers took two seconds to learn of the new ones.
	It("reads the head row again while it can query no member", func() {
		heads := &headStore{head: rowWith("ended-1", "ended-2")}
		loop := startLoop(&scriptedPeers{}, heads, full)
		Eventually(func() bool { return loop.Snapshot().View.Observer }, longWait).Should(BeTrue())
		restarted := rowWith("m1", "m2")
		restarted.Version = 8
		heads.mu.Lock()
		heads.head = restarted
		heads.mu.Unlock()
		Eventually(func() model.RowVersion { return loop.Snapshot().View.Head.Version }, longWait).Should(Equal(model.RowVersion(8)))
	})
})

// After a power loss of all, observers sent their callers' units to processes that
// had ended, until the next query a second later told them of the new ones.
var _ = DescribeTable("an observer queries a member",
	func(usable, connected []model.InstanceID, interval time.Duration) {
		Expect(region.ObserveIntervalFor(rowWith(usable...).Members, connected)).To(Equal(interval))
	},
	Entry("seldom while all usable members are connected",
		[]model.InstanceID{"m1", "m2"}, []model.InstanceID{"m1", "m2", "m3"}, region.ObserveInterval),
	Entry("soon again if one of them is not",
		[]model.InstanceID{"m1", "ended"}, []model.InstanceID{"m1"}, region.QuickObserveInterval),
	Entry("seldom if there is none", nil, []model.InstanceID{"m1"}, region.ObserveInterval),
)

var _ = Describe("a member whose reader does not answer", func() {
	// The reader was cut off, and the others waited for it until their permits had
	// expired, although the store answered them.
	It("reads the head row from the store before the reader's time is over", func() {
		peers := &scriptedPeers{connected: []model.InstanceID{"a-reader"}}
		peers.answer = func(ctx context.Context, _ model.InstanceID, _ region.StateQuery) (*region.StateReply, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		row := rowWith("a-reader", "self")
		loop := startLoop(peers, &headStore{head: row}, failover.Config{ReadInterval: 50 * time.Millisecond, ReadTimeout: time.Second})
		var first time.Duration
		Eventually(func() time.Duration {
			first = loop.Snapshot().View.HeadConfirmedAt
			return first
		}, longWait).ShouldNot(BeZero())
		Eventually(func() int { return len(peers.queried()) }, longWait).Should(BeNumerically(">", 0))
		Eventually(func() time.Duration { return loop.Snapshot().View.HeadConfirmedAt }, longWait).Should(BeNumerically(">", first))
	})
})
