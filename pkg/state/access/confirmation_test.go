package access_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/access"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
)

const revocationBound = 5 * time.Second

// storeRow is one version of the configuration's row in the simulated store.
type storeRow struct {
	acknowledgedAt time.Duration
	catalog        *catalog.Catalog
}

// tableStore is a store whose row changes at given times.
type tableStore struct{ rows []storeRow }

// at returns the row that a call started at the time shows.
func (s tableStore) at(now time.Duration) (int64, *catalog.Catalog) {
	newest := 0
	for i, row := range s.rows {
		if row.acknowledgedAt <= now {
			newest = i
		}
	}
	return int64(newest + 1), s.rows[newest].catalog
}

// holder is an instance with a configuration and its confirmation.
type holder struct {
	catalog      *catalog.Catalog
	confirmation access.Confirmation
}

// readStore is a call to the store that starts at the given time. The result
// is applied by calling the returned function.
func (h *holder) readStore(store tableStore, startedAt time.Duration) func() {
	row, shown := store.at(startedAt)
	return func() {
		h.confirmation.ReadCompletely()
		h.catalog = catalog.Newer(h.catalog, shown)
		h.confirmation.RowShown(row, shown.Version)
		h.confirmation.Answered(startedAt, h.catalog.Version)
	}
}

// query is a query to a peer that is sent and answered at the given times.
func (h *holder) query(peer *holder, sentAt, answeredAt time.Duration) func() {
	answered, confirmedAt := peer.catalog, peer.confirmation.At()
	return func() {
		h.catalog = catalog.Newer(h.catalog, answered)
		if confirmedAt != 0 {
			h.confirmation.PeerConfirmed(sentAt, answeredAt-confirmedAt)
		}
	}
}

// runs reports whether a request that arrived at the given time runs.
func (h *holder) runs(key model.KeyDigest, arrived time.Duration) bool {
	request := access.Request{Catalog: h.catalog, Route: &keyed, Key: key, Caller: "a"}
	return access.Decide(request, arrived, h.confirmation.At(), revocationBound).Reason == access.Allowed
}

// withKeys returns a version in which the account "a" has these keys.
func withKeys(version catalog.Version, keys ...model.KeyDigest) *catalog.Catalog {
	return catalog.New(version, []catalog.Route{keyed}, nil, catalog.Limits{}).
		WithCallers([]catalog.Caller{{Name: "a", Keys: keys}})
}

const s = time.Second

var _ = Describe("a revocation", func() {
	// Version 2 removes oldKeyA; version 3 removes the account's other key.
	store := tableStore{rows: []storeRow{
		{0, withKeys(1, oldKeyA, keyA)}, {10 * s, withKeys(2, keyA)}, {12 * s, withKeys(3)},
	}}

	// Each entry is an instance that does not learn of the removal of oldKeyA at
	// 10 s in time. No request that arrives after 15 s may run there.
	DescribeTable("is effective after the bound on an instance that does not hear of it",
		func(scenario func(h *holder)) {
			h := &holder{}
			scenario(h)
			for arrived := 10 * s; arrived < 40*s; arrived += s / 10 {
				if arrived > 10*s+revocationBound {
					Expect(h.runs(oldKeyA, arrived)).To(BeFalse(), "arrived at %s", arrived)
				}
			}
		},
		Entry("it is cut off just before the removal", func(h *holder) { h.readStore(store, 10*s-1)() }),
		// The clock counts the time for which the process is frozen.
		Entry("it is frozen from 9.6 s to 30 s, with a peer's answer on its way", func(h *holder) {
			peer := &holder{}
			peer.readStore(store, 9*s)()
			answer := h.query(peer, 9*s+s/2, 9*s+s/2)
			h.readStore(store, 9*s)()
			answer()
		}),
		Entry("the answer of a slow store arrives at 30 s", func(h *holder) {
			h.readStore(store, 8*s)()
			late := h.readStore(store, 9*s+900*time.Millisecond)
			late()
		}),
		Entry("it asks a peer that is cut off, again and again", func(h *holder) {
			peer := &holder{}
			peer.readStore(store, 9*s)()
			for at := 9 * s; at < 40*s; at += s {
				h.query(peer, at, at+s/10)()
			}
		}),
		Entry("a peer's answer takes 20 s", func(h *holder) {
			peer := &holder{}
			peer.readStore(store, 9*s)()
			h.query(peer, 9*s+s/2, 10*s)()
		}),
		Entry("it hears from an observer of an observer", func(h *holder) {
			member, first := &holder{}, &holder{}
			member.readStore(store, 9*s)()
			first.query(member, 11*s, 12*s)()
			h.query(first, 13*s, 14*s)()
		}),
		Entry("the answer of an older call comes after a newer one", func(h *holder) {
			older := h.readStore(store, 5*s)
			h.readStore(store, 9*s)()
			older()
		}),
	)

	It("is effective at once where it is known, also for the second of two in a row and for all keys of an account", func() {
		h := &holder{}
		h.readStore(store, 11*s)()
		Expect(h.runs(oldKeyA, 11*s)).To(BeFalse())
		Expect(h.runs(keyA, 11*s)).To(BeTrue())
		h.readStore(store, 13*s)()
		Expect(h.runs(keyA, 13*s)).To(BeFalse())
	})

	// The second removal was hidden by an answer that confirmed the first.
	It("is not hidden by the confirmation of the one before", func() {
		h, peer := &holder{}, &holder{}
		peer.readStore(store, 11*s)()
		h.query(peer, 11*s, 11*s)()
		for arrived := 12*s + revocationBound + 1; arrived < 40*s; arrived += s / 10 {
			Expect(h.runs(keyA, arrived)).To(BeFalse())
		}
	})

	It("leaves a request that arrived in time to run later", func() {
		h := &holder{}
		h.readStore(store, 9*s)()
		Expect(h.runs(oldKeyA, 9*s+4*s)).To(BeTrue())
		Expect(h.runs(oldKeyA, 9*s+4*s+1)).To(BeFalse())
	})
})

var _ = Describe("Confirmation", func() {
	It("is of the start of the call, not of the arrival of the answer", func() {
		var c access.Confirmation
		Expect(c.At()).To(BeZero())
		c.ReadCompletely()
		c.RowShown(1, 4)
		c.Answered(3*s, 4)
		Expect(c.At()).To(Equal(3 * s))
	})

	It("advances with answers that show no change, and never goes back", func() {
		var c access.Confirmation
		c.RowShown(1, 4)
		c.Answered(3*s, 4)
		c.Answered(5*s, 4)
		Expect(c.At()).To(Equal(5 * s))
		c.Answered(4*s, 4)
		c.PeerConfirmed(6*s, 2*s)
		Expect(c.At()).To(Equal(5 * s))
		c.PeerConfirmed(6*s, s/2)
		Expect(c.At()).To(Equal(6*s - s/2))
	})

	DescribeTable("does not advance",
		func(change func(c *access.Confirmation), active catalog.Version) {
			var c access.Confirmation
			c.RowShown(1, 4)
			c.Answered(3*s, 4)
			change(&c)
			c.Answered(9*s, active)
			Expect(c.At()).To(Equal(3 * s))
		},
		Entry("while the row cannot be decoded", func(c *access.Confirmation) { c.RowShown(2, 0) }, catalog.Version(4)),
		Entry("while a row is unreadable that may be the one", func(c *access.Confirmation) { c.RowLost() }, catalog.Version(4)),
		Entry("while the row shows a configuration that is not active", func(c *access.Confirmation) { c.RowShown(2, 5) }, catalog.Version(4)),
		// A store that was restored from a copy shows an older row.
		Entry("while the row shows an older configuration", func(c *access.Confirmation) { c.RowShown(2, 3) }, catalog.Version(4)),
		// A peer has sent a newer configuration than the store has shown.
		Entry("while a newer configuration is active", func(*access.Confirmation) {}, catalog.Version(5)),
		// The history was gone, and the row is missing in the read that followed.
		Entry("after a complete read without the row", func(c *access.Confirmation) { c.ReadCompletely() }, catalog.Version(4)),
	)

	It("advances again once the row can be decoded", func() {
		var c access.Confirmation
		c.RowShown(1, 4)
		c.RowShown(2, 0)
		c.Answered(3*s, 4)
		Expect(c.At()).To(BeZero())
		c.RowShown(3, 5)
		c.Answered(4*s, 5)
		Expect(c.At()).To(Equal(4 * s))
	})

	It("goes by the newest version of the row in any order", func() {
		var c access.Confirmation
		c.RowShown(3, 5)
		c.RowShown(2, 4)
		c.Answered(4*s, 5)
		Expect(c.At()).To(Equal(4 * s))
	})

	It("counts what a peer has confirmed once that is active, or a newer one", func() {
		var c access.Confirmation
		c.PeerOffered(5*s, s, 15)
		Expect(c.At()).To(BeZero())
		c.Activated(14)
		Expect(c.At()).To(BeZero())
		c.Activated(16)
		Expect(c.At()).To(Equal(4 * s))
	})

	// With a change each third of a second, the awaited one would always be the next.
	It("does not await a newer one in place of the one that is on its way", func() {
		var c access.Confirmation
		c.PeerOffered(5*s, s, 15)
		c.PeerOffered(6*s, s, 16)
		c.Activated(15)
		Expect(c.At()).To(Equal(4 * s))
		c.Activated(16)
		Expect(c.At()).To(Equal(4 * s))
	})

	It("may be of a time before the process, and at zero", func() {
		var c access.Confirmation
		c.PeerConfirmed(s, 2*s)
		Expect(c.At()).To(Equal(-s))
		c.PeerConfirmed(s, s)
		Expect(c.At()).To(Equal(time.Duration(-1)))
	})
})
