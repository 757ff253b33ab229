package access_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/access"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
)

func TestAccess(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "access")
}

var (
	keyA     = model.DigestKey("key a")
	oldKeyA  = model.DigestKey("old key a")
	keyB     = model.DigestKey("key b")
	keyed    = catalog.Route{Name: "keyed", Database: "d1"}
	open     = catalog.Route{Name: "open", Database: "d2", Public: true}
	accounts = []catalog.Caller{
		{Name: "b", Keys: []model.KeyDigest{keyB}},
		{Name: "a", Keys: []model.KeyDigest{keyA}},
	}
)

// configured returns version 7 of a configuration with accounts.
func configured() *catalog.Catalog {
	return catalog.New(7, []catalog.Route{keyed, open}, nil, catalog.Limits{}).WithCallers(accounts)
}

var _ = Describe("Identify", func() {
	DescribeTable("tells whose key it is, or why it is not valid",
		func(request access.Request, reason access.Reason, caller string) {
			if request.Catalog == nil {
				request.Catalog = configured()
			}
			Expect(access.Identify(request)).To(Equal(access.Decision{Reason: reason, Caller: model.CallerName(caller)}))
		},
		Entry("valid key", access.Request{Route: &keyed, Key: keyA}, access.Allowed, "a"),
		Entry("valid key of an accepted session", access.Request{Route: &keyed, Key: keyB, Caller: "b"}, access.Allowed, "b"),
		Entry("unknown key", access.Request{Route: &keyed, Key: oldKeyA}, access.KeyUnknown, ""),
		Entry("no key", access.Request{Route: &keyed}, access.KeyUnknown, ""),
		Entry("key removed from its account", access.Request{Route: &keyed, Key: oldKeyA, Caller: "a"}, access.KeyRemoved, ""),
		Entry("account removed with all keys", access.Request{Route: &keyed, Key: oldKeyA, Caller: "c"}, access.AccountRemoved, ""),
		// A connection belongs to one account for its whole life.
		Entry("key passed to another account", access.Request{Route: &keyed, Key: keyB, Caller: "a"}, access.KeyRemoved, ""),
		Entry("public route", access.Request{Route: &open}, access.Allowed, ""),
		Entry("public route with a key", access.Request{Route: &open, Key: keyA}, access.Allowed, ""),
		Entry("route that the configuration lacks", access.Request{Key: oldKeyA}, access.KeyUnknown, ""),
		Entry("configuration without accounts", access.Request{Route: &keyed, Catalog: catalog.New(7, []catalog.Route{keyed}, nil, catalog.Limits{})},
			access.Allowed, ""),
		// The configuration lists no account, which is not the same as one without
		// accounts.
		Entry("configuration with an empty list", access.Request{
			Route: &keyed, Key: keyA, Catalog: catalog.New(7, []catalog.Route{keyed}, nil, catalog.Limits{}).WithCallers(nil),
		}, access.KeyUnknown, ""),
	)

	// Guards against the denial of a key that was just added by servers that do not
	// have the new configuration yet.
	DescribeTable("leaves a unit to others if the sender has a newer configuration",
		func(sender catalog.Version, key model.KeyDigest, reason access.Reason) {
			request := access.Request{Catalog: configured(), Route: &keyed, Key: key, Caller: "a", Sender: sender}
			Expect(access.Identify(request).Reason).To(Equal(reason))
		},
		Entry("unknown here, newer there", catalog.Version(8), oldKeyA, access.ConfigurationTooOld),
		Entry("unknown here, the same there", catalog.Version(7), oldKeyA, access.KeyRemoved),
		Entry("unknown here, older there", catalog.Version(6), oldKeyA, access.KeyRemoved),
		Entry("known to both", catalog.Version(8), keyA, access.Allowed),
	)

	// The upstream would get the name of the machine instead of the account.
	It("leaves a unit of an account to others while its configuration has no accounts at all", func() {
		without := catalog.New(7, []catalog.Route{keyed}, nil, catalog.Limits{})
		request := access.Request{Catalog: without, Route: &keyed, Key: keyA, Caller: "a", Sender: 8}
		Expect(access.Identify(request).Reason).To(Equal(access.ConfigurationTooOld))
		request.Sender = 6
		Expect(access.Identify(request).Reason).To(Equal(access.Allowed))
	})
})

var _ = Describe("Decide", func() {
	const bound = 5 * time.Second

	DescribeTable("allows a valid key only if the configuration was the newest shortly before the arrival",
		func(arrived, confirmedAt, bound time.Duration, reason access.Reason) {
			request := access.Request{Catalog: configured(), Route: &keyed, Key: keyA}
			Expect(access.Decide(request, arrived, confirmedAt, bound).Reason).To(Equal(reason))
		},
		Entry("just confirmed", 10*time.Second, 9*time.Second, bound, access.Allowed),
		Entry("confirmed after the arrival", 10*time.Second, 11*time.Second, bound, access.Allowed),
		Entry("at four fifths of the bound", 10*time.Second, 6*time.Second, bound, access.Allowed),
		Entry("above four fifths of the bound", 10*time.Second, 6*time.Second-1, bound, access.ConfirmationTooOld),
		Entry("never confirmed", 10*time.Second, time.Duration(0), bound, access.ConfirmationTooOld),
		Entry("never confirmed, just started", time.Second, time.Duration(0), bound, access.ConfirmationTooOld),
		Entry("confirmed before the process started", time.Second, -time.Second, bound, access.Allowed),
		Entry("no bound", 10*time.Second, time.Duration(0), time.Duration(0), access.Allowed),
	)

	It("denies a key that is not valid, however old the confirmation is", func() {
		request := access.Request{Catalog: configured(), Route: &keyed, Key: oldKeyA, Caller: "a"}
		Expect(access.Decide(request, time.Hour, time.Second, bound).Reason).To(Equal(access.KeyRemoved))
	})

	It("does not look at the confirmation where no key is needed", func() {
		Expect(access.Decide(access.Request{Catalog: configured(), Route: &open}, time.Hour, 0, bound)).To(Equal(access.Decision{}))
		without := catalog.New(7, []catalog.Route{keyed}, nil, catalog.Limits{})
		Expect(access.Decide(access.Request{Catalog: without, Route: &keyed}, time.Hour, 0, bound)).To(Equal(access.Decision{}))
	})

	It("allocates nothing", func() {
		request := access.Request{Catalog: configured(), Route: &keyed, Key: keyA, Caller: "a"}
		Expect(testing.AllocsPerRun(100, func() { access.Decide(request, time.Second, time.Second, bound) })).To(BeZero())
	})
})

var _ = Describe("Reason", func() {
	It("has a name, and is either a denial, unconfirmed or neither", func() {
		for reason := access.Allowed; reason <= access.ConfigurationTooOld; reason++ {
			Expect(reason.String()).NotTo(BeEmpty())
			Expect(reason.IsDenial() && reason.IsUnconfirmed()).To(BeFalse())
			Expect(reason.IsDenial() || reason.IsUnconfirmed()).To(Equal(reason != access.Allowed))
		}
	})
})

var _ = Describe("Compare", func() {
	It("names the accounts whose keys differ", func() {
		after := catalog.New(8, nil, nil, catalog.Limits{}).WithCallers([]catalog.Caller{
			{Name: "a", Keys: []model.KeyDigest{oldKeyA}}, {Name: "c", Keys: []model.KeyDigest{keyB}},
		})
		Expect(access.Compare(configured(), after)).To(Equal(access.Changes{
			KeysAdded: []model.CallerName{"a", "c"}, KeysRemoved: []model.CallerName{"a"}, Removed: []model.CallerName{"b"},
		}))
		Expect(access.Compare(configured(), configured()).IsEmpty()).To(BeTrue())
		Expect(access.Compare(nil, configured()).KeysAdded).To(Equal([]model.CallerName{"a", "b"}))
	})
})

func BenchmarkDecide(b *testing.B) {
	var callers []catalog.Caller
	for i := range 100 {
		name := fmt.Sprintf("caller-%d", i)
		callers = append(callers, catalog.Caller{
			Name: model.CallerName(name), Keys: []model.KeyDigest{model.DigestKey(name), model.DigestKey(name + "-2")},
		})
	}
	known := catalog.New(7, []catalog.Route{keyed}, nil, catalog.Limits{}).WithCallers(callers)
	requests := map[string]access.Request{
		"allowed": {Catalog: known, Route: &keyed, Key: model.DigestKey("caller-50"), Caller: "caller-50"},
		"denied":  {Catalog: known, Route: &keyed, Key: oldKeyA, Caller: "caller-50"},
		"public":  {Catalog: known, Route: &open},
	}
	for name, request := range requests {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				access.Decide(request, 2*time.Second, time.Second, 5*time.Second)
			}
		})
	}
}
