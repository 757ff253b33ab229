package region_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/transfer"
)

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
