package instance

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/transport/admin"
	"gypsumdock/pkg/transport/pgback"
)

func seconds(s float64) *float64 { return &s }

// observeReplica returns an observation of a group with one replica, changed by
// edit.
func observeReplica(edit func(*admin.UpstreamStatus)) observation {
	replica := admin.UpstreamStatus{ID: "b", Role: admin.RoleReplica, Reachable: true, LagSeconds: seconds(1), Grant: 4, Open: 2}
	edit(&replica)
	return observation{
		status:     admin.Status{Groups: []admin.GroupStatus{{ID: "plugs", Upstreams: []admin.UpstreamStatus{replica}}}},
		bundle:     &bundle.Bundle{Routes: []bundle.Route{{Group: "plugs", MaxAge: 5 * time.Second}}},
		registered: true,
	}
}

// numbers returns the event numbers of the changes.
func numbers(found []change) []events.Number {
	var all []events.Number
	for _, c := range found {
		all = append(all, c.event.Number)
	}
	return all
}

var _ = DescribeTable("changes",
	func(edit func(*admin.UpstreamStatus), forward, backward []events.Number) {
		same := observeReplica(func(*admin.UpstreamStatus) {})
		Expect(numbers(changes(same, same))).To(BeEmpty())
		Expect(numbers(changes(same, observeReplica(edit)))).To(Equal(forward))
		Expect(numbers(changes(observeReplica(edit), same))).To(Equal(backward))
	},
	Entry("a replica falls behind", func(u *admin.UpstreamStatus) { u.LagSeconds = seconds(6) },
		[]events.Number{403}, []events.Number{404}),
	Entry("a replica's lag is unknown", func(u *admin.UpstreamStatus) { u.LagSeconds = nil },
		[]events.Number{403}, []events.Number{404}),
	Entry("the only replica is lost", func(u *admin.UpstreamStatus) { u.Reachable = false },
		[]events.Number{405}, nil),
	Entry("a grant changes", func(u *admin.UpstreamStatus) { u.Grant = 3 },
		[]events.Number{440}, []events.Number{440}),
	Entry("an upstream leaves and is drained", func(u *admin.UpstreamStatus) { u.Leaving, u.Open = true, 0 },
		[]events.Number{405, 620, 621}, nil),
)

var _ = Describe("registration", func() {
	It("is reported as lost unless the instance is stopping", func() {
		registered := observeReplica(func(*admin.UpstreamStatus) {})
		lost := registered
		lost.registered = false
		Expect(numbers(changes(lost, registered))).To(Equal([]events.Number{603}))
		Expect(numbers(changes(registered, lost))).To(Equal([]events.Number{604}))
		lost.status.State = admin.StateStopping
		Expect(numbers(changes(registered, lost))).To(BeEmpty())
	})
})

var _ = Describe("the audit", func() {
	agreed := counts{pools: []pgback.Stats{{Upstream: "a", Opened: 7, Closed: 4, Open: 3, Limit: 4}}, inFlight: 2, sessions: 5}
	// rounds runs the auditor the given number of times on the same counters.
	rounds := func(a *auditor, now counts, times int) []events.Number {
		var all []events.Number
		for range times {
			for _, found := range a.round(now) {
				all = append(all, found.event.Number)
			}
		}
		return all
	}
	pool := func(edit func(*pgback.Stats)) counts {
		stats := agreed.pools[0]
		edit(&stats)
		return counts{pools: []pgback.Stats{stats}, inFlight: agreed.inFlight, sessions: agreed.sessions}
	}
	leak := pool(func(s *pgback.Stats) { s.Opened++ })

	It("reports nothing while the counters agree or differ for a short time", func() {
		a := newAuditor()
		Expect(rounds(a, agreed, auditRounds)).To(BeEmpty())
		Expect(rounds(a, leak, auditRounds-1)).To(BeEmpty())
		Expect(rounds(a, agreed, 1)).To(BeEmpty())
		Expect(rounds(a, leak, auditRounds-1)).To(BeEmpty())
	})

	It("accepts connections that stay open after the lease on the grant has expired", func() {
		lapsed := pool(func(s *pgback.Stats) { s.Limit = 0 })
		Expect(rounds(newAuditor(), lapsed, 3*auditRounds)).To(BeEmpty())
	})

	DescribeTable("reports a lasting difference once",
		func(now counts, expected events.Number) {
			Expect(rounds(newAuditor(), now, 3*auditRounds)).To(Equal([]events.Number{expected}))
		},
		Entry("a connection that was not closed", leak, events.Number(901)),
		Entry("more units in flight than sessions", counts{inFlight: 6, sessions: 5}, events.Number(902)),
		Entry("more connections than granted", pool(func(s *pgback.Stats) { s.Limit = 2 }), events.Number(903)),
	)
})
