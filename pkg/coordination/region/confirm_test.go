package region_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// tableDecoder is a decoder that knows other rows of the configuration's table.
type tableDecoder struct{ decoder }

func (d tableDecoder) Configuration(entry region.Entry) (*catalog.Catalog, error) {
	if entry.Key != "config" {
		return nil, region.ErrOtherRow
	}
	return d.decoder.Configuration(entry)
}

// heldFeed is a feed whose answers a test can hold back after the store has
// given them.
type heldFeed struct {
	feed
	// answers counts the answers, and holding those that were held back.
	answers, holding atomic.Int64
	// gate passes one answer for each value; nil passes all.
	gate atomic.Pointer[chan struct{}]
}

func (f *heldFeed) Next(ctx context.Context, after int64, wait time.Duration) ([]region.Entry, int64, error) {
	entries, version, err := f.feed.Next(ctx, after, wait)
	f.hold(ctx)
	return entries, version, err
}

func (f *heldFeed) Read(ctx context.Context) ([]region.Entry, int64, error) {
	entries, version, err := f.feed.Read(ctx)
	f.hold(ctx)
	return entries, version, err
}

func (f *heldFeed) hold(ctx context.Context) {
	f.answers.Add(1)
	if gate := f.gate.Load(); gate != nil {
		f.holding.Add(1)
		select {
		case <-*gate:
		case <-ctx.Done():
		}
	}
}

// manualClock is a region.Clock that a test can advance, as a suspended machine
// does.
type manualClock struct {
	started time.Time
	ahead   atomic.Int64
}

func (c *manualClock) Now() time.Duration {
	return time.Since(c.started) + time.Duration(c.ahead.Load())
}

var _ = Describe("the confirmation of an instance that follows the table", func() {
	var (
		table *heldFeed
		clock *manualClock
		loop  *region.Loop
	)

	BeforeEach(func() {
		table = &heldFeed{}
		clock = &manualClock{started: time.Now().Add(-time.Second)}
		table.put(region.Entry{Key: "config", Value: []byte("4")})
		config := newLoopConfig(table, &feed{}, &headStore{})
		config.Clock = clock
		config.Decoder = tableDecoder{}
		config.Failover = failover.Config{PermitLifetime: time.Minute, MinMembers: 1, MaxMembers: 4}
		loop = startConfigured(config)
		DeferCleanup(loop.Close)
	})

	confirmedAt := func() time.Duration { return loop.Snapshot().ConfirmedAt }
	// expectAdvance waits for a confirmation after the present time.
	expectAdvance := func() {
		now := clock.Now()
		Eventually(confirmedAt, longWait).Should(BeNumerically(">=", now))
	}
	// passSnapshots waits until the loop has published again, so that it has
	// processed what was delivered before.
	passSnapshots := func() {
		for range 3 {
			published := loop.Snapshot()
			Eventually(loop.Snapshot, longWait).ShouldNot(BeIdenticalTo(published))
		}
	}

	It("advances with each answer, also with those that show no change or other rows", func() {
		expectAdvance()
		expectAdvance()
		table.put(region.Entry{Key: "other", Value: []byte("anything")})
		expectAdvance()
		Expect(loop.Snapshot().Catalog.Version).To(Equal(catalog.Version(4)))
	})

	It("is never published without the configuration that it confirms", func() {
		for version := 5; version < 30; version++ {
			table.put(region.Entry{Key: "config", Value: []byte(strconv.Itoa(version))})
			written := clock.Now()
			Eventually(func() bool {
				snapshot := loop.Snapshot()
				if snapshot.ConfirmedAt > written {
					Expect(snapshot.Catalog.Version).To(BeNumerically(">=", version))
					return true
				}
				return false
			}, longWait, time.Millisecond).Should(BeTrue())
		}
	})

	// Guards against a revocation that is missed because its row cannot be read, while
	// the configuration is confirmed.
	DescribeTable("stands while the row of the configuration cannot be used, and goes on after that",
		func(entry region.Entry) {
			expectAdvance()
			table.put(entry)
			written, before := clock.Now(), table.answers.Load()
			Eventually(table.answers.Load, longWait).Should(BeNumerically(">", before+20))
			passSnapshots()
			Expect(confirmedAt()).To(BeNumerically("<=", written))
			table.put(region.Entry{Key: "config", Value: []byte("6")})
			expectAdvance()
			Expect(loop.Snapshot().Catalog.Version).To(Equal(catalog.Version(6)))
		},
		Entry("not decodable", region.Entry{Key: "config", Value: []byte("nonsense")}),
		// The key cannot be read: the row may be that of the configuration, until a
		// complete read has shown that it is not there any more.
		Entry("deleted", region.Entry{Key: "config", Value: []byte("x"), Deleted: true}),
		Entry("an older version", region.Entry{Key: "config", Value: []byte("3")}),
	)

	// Guards against an unreadable row of other content that stops the confirmation
	// for good.
	It("goes on after a complete read if a row cannot be read at all", func() {
		expectAdvance()
		reads := func() int {
			table.mu.Lock()
			defer table.mu.Unlock()
			return table.reads
		}
		before := reads()
		table.put(region.Entry{Unreadable: true})
		expectAdvance()
		Expect(reads()).To(BeNumerically(">", before))
	})

	It("goes on after the changes were no longer kept", func() {
		expectAdvance()
		table.mu.Lock()
		table.gone = true
		table.version++
		table.entries = []region.Entry{{Key: "config", Value: []byte("7"), Version: table.version}}
		table.mu.Unlock()
		expectAdvance()
		Expect(loop.Snapshot().Catalog.Version).To(Equal(catalog.Version(7)))
	})

	// Guards against a removal that is missed after the store was restored from a
	// copy, as it then numbers new changes like old ones.
	It("is renewed by a complete read if the store has gone back", func() {
		expectAdvance()
		table.put(region.Entry{Key: "other"})
		table.put(region.Entry{Key: "other"})
		expectAdvance()
		table.mu.Lock()
		table.version = 1
		table.mu.Unlock()
		table.put(region.Entry{Key: "config", Value: []byte("8")})
		expectAdvance()
		Expect(loop.Snapshot().Catalog.Version).To(Equal(catalog.Version(8)))
	})

	// An answer that the store gave before a cut or a suspension confirms the start
	// of its call only.
	It("is of the start of the call if the answer comes late or the machine was suspended", func() {
		expectAdvance()
		gate := make(chan struct{})
		table.gate.Store(&gate)
		Eventually(table.holding.Load, longWait).Should(BeEquivalentTo(1))
		answered := clock.Now()
		clock.ahead.Add(int64(time.Hour))
		gate <- struct{}{}
		Eventually(table.holding.Load, longWait).Should(BeEquivalentTo(2))
		passSnapshots()
		Expect(confirmedAt()).To(BeNumerically("<=", answered))
		table.gate.Store(nil)
		close(gate)
		expectAdvance()
	})
})

var _ = Describe("the confirmation of a peer", func() {
	full := failover.Config{MinMembers: 2, MaxMembers: 2, JoinDelay: time.Hour, UrgentJoinDelay: time.Hour}
	known := catalog.New(9, []catalog.Route{{Database: "d", Group: "g"}}, []catalog.Group{{ID: "g", MaxConnections: 9}}, catalog.Limits{})

	// observe starts an observer whose member gives this reply.
	observe := func(reply region.StateReply) *region.Loop {
		peers := &scriptedPeers{connected: []model.InstanceID{"m1", "m2"}}
		peers.answer = func(context.Context, model.InstanceID, region.StateQuery) (*region.StateReply, error) {
			answered := reply
			answered.Head, answered.Current = rowWith("m1", "m2"), true
			return &answered, nil
		}
		loop := startLoopWith(&feed{}, peers, &headStore{head: rowWith("m1", "m2")}, full)
		Eventually(func() bool { return loop.Snapshot().MembersAnsweredAt != 0 }, longWait).Should(BeTrue())
		return loop
	}

	It("is taken over with its age, and passed on older", func(ctx SpecContext) {
		loop := observe(region.StateReply{Catalog: mustJSON(known), Confirmed: true, ConfirmationAge: time.Minute})
		snapshot := loop.Snapshot()
		Expect(snapshot.Catalog.Version).To(Equal(catalog.Version(9)))
		Expect(snapshot.ConfirmedAt).To(Equal(snapshot.MembersAnsweredAt - time.Minute))
		reply, err := loop.AnswerStateQuery(ctx, region.StateQuery{Observer: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Confirmed).To(BeTrue())
		Expect(reply.ConfirmationAge).To(BeNumerically(">=", time.Minute))
		Expect(reply.Catalog).NotTo(BeEmpty())
	})

	DescribeTable("is not taken over",
		func(ctx SpecContext, reply region.StateReply) {
			loop := observe(reply)
			Expect(loop.Snapshot().ConfirmedAt).To(BeZero())
			passed, err := loop.AnswerStateQuery(ctx, region.StateQuery{Observer: true})
			Expect(err).NotTo(HaveOccurred())
			Expect(passed.Confirmed).To(BeFalse())
		},
		Entry("there is none", region.StateReply{Catalog: mustJSON(known)}),
		Entry("its configuration cannot be decoded", region.StateReply{Catalog: []byte("{"), Confirmed: true}),
		Entry("there is no configuration", region.StateReply{Confirmed: true}),
		Entry("its age is negative", region.StateReply{Catalog: mustJSON(known), Confirmed: true, ConfirmationAge: -time.Minute}),
		Entry("its age is absurd", region.StateReply{Catalog: mustJSON(known), Confirmed: true, ConfirmationAge: 1 << 62}),
	)
})
