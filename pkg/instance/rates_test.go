package instance

import (
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/coordination/quota"
	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
	state "gypsumdock/pkg/state/quota"
)

// steppedClock is a clock that the test sets.
type steppedClock struct{ now time.Duration }

func (c *steppedClock) Now() time.Duration { return c.now }

// countedReports counts the reports that are sent.
type countedReports struct{ sent int }

func (r *countedReports) SendUsage(model.InstanceID, state.Report) { r.sent++ }

// twoMembers returns the view of a member of two.
func twoMembers() failover.View {
	return failover.View{Registered: true, HeadConfirmedAt: time.Hour, Members: []failover.MemberView{
		{Member: model.Member{ID: "i1"}}, {Member: model.Member{ID: "i2"}},
	}}
}

// bundleWith and catalogWith return the input with a caller "crane" of a rate.
func bundleWith(rate float64) quota.Input {
	active := &bundle.Bundle{Callers: []bundle.Caller{{Name: "crane", Rate: rate, Burst: rate}, {Name: "desk"}}}
	return rateInput(&control.Snapshot{Bundle: active, View: twoMembers()})
}

func catalogWith(rate float64) quota.Input {
	active := (&catalog.Catalog{Version: 1}).WithCallers([]catalog.Caller{{Name: "crane", Rate: rate, Burst: rate}, {Name: "desk"}})
	return hostedRateInput(&region.Snapshot{Catalog: active, View: twoMembers()})
}

var _ = Describe("the limits of rates", func() {
	DescribeTable("are those of the active configuration",
		func(input func(rate float64) quota.Input) {
			clock, reports := &steppedClock{now: time.Second}, &countedReports{}
			current := input(0)
			service := quota.New(quota.Config{
				Self: "i1", Tolerance: rateTolerance, Clock: clock, Peers: reports, Logger: slog.New(slog.DiscardHandler),
				Input: func() quota.Input { return current },
			})
			// asked returns how many of 200 operations at once are admitted after ten
			// seconds.
			asked := func(caller model.CallerName) (admitted int) {
				for range 100 {
					clock.now += 100 * time.Millisecond
					service.Tick()
				}
				for range 200 {
					if ok, _ := service.Admit(caller); ok {
						admitted++
					}
				}
				return admitted
			}
			Expect(asked("crane")).To(Equal(200))
			Expect(reports.sent).To(BeZero())
			Expect(service.CallerUsage()).To(BeEmpty())
			current = input(10)
			Expect(asked("crane")).To(And(BeNumerically(">", 0), BeNumerically("<", 30)))
			Expect(asked("desk")).To(Equal(200))
			Expect(reports.sent).To(BeNumerically(">", 0))
			shown := callersStatus([]bundle.Caller{{Name: "crane", Rate: 10}, {Name: "desk"}}, service).Listed
			Expect(shown[0].Usage.Limit).To(Equal(10.0))
			Expect(shown[0].Usage.Refused).To(BeNumerically(">", 170))
			Expect(shown[1].Usage).To(BeNil())
			current = input(0)
			Expect(asked("crane")).To(Equal(200))
		},
		Entry("of a folder", bundleWith),
		Entry("of the hosted interface", catalogWith),
	)

	It("are not known before the first snapshot", func() {
		Expect(hostedRateInput(nil)).To(Equal(quota.Input{}))
	})
})
