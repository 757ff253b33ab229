package routing_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/routing"
	"gypsumdock/pkg/verdict"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

const (
	group = model.GroupID("hire")
	now   = 100 * time.Second
	age   = 2 * time.Second
)

func at(lsn model.LSN) model.Mark { return model.Mark{Generation: 3, LSN: lsn} }

func replica(id model.UpstreamID, dc model.DataCentre, applied model.LSN, lag time.Duration) routing.Upstream {
	return routing.Upstream{
		ID: id, DataCentre: dc, Usable: true, Applied: at(applied), FreshAt: now - lag, FreshKnown: true,
		ApplyDelay: lag, Latency: 4 * time.Millisecond, Slots: 2, AdmittedAges: routing.AgeSet{age},
	}
}

var _ = Describe("Choose", func() {
	var (
		snapshot *routing.Snapshot
		request  routing.Request
	)

	BeforeEach(func() {
		primary := routing.Upstream{
			ID: "hire-a", DataCentre: "colombo", Primary: true, Usable: true, Latency: 4 * time.Millisecond, Slots: 2,
		}
		snapshot = &routing.Snapshot{
			DataCentre: "gampaha",
			Options:    routing.DefaultOptions(),
			Groups: []routing.Group{{
				ID: group, Generation: 3, PermitUntil: now + time.Second,
				Upstreams: []routing.Upstream{
					primary,
					replica("hire-b", "gampaha", 500, 5*time.Millisecond),
					replica("hire-c", "kalutara", 900, 5*time.Millisecond),
				},
			}},
		}
		request = routing.Request{
			Route:     &bundle.Route{Group: group, MaxAge: age, Deadline: time.Second},
			ReadOnly:  true,
			FloorKind: routing.FloorMarks,
		}
	})

	choose := func() routing.Decision {
		decision, refusal := routing.Choose(now, snapshot, request)
		Expect(refusal).To(BeNil())
		return decision
	}
	upstream := func(i int) *routing.Upstream { return &snapshot.Groups[0].Upstreams[i] }

	It("needs the session's marks for a read with a maximum age", func() {
		request.FloorKind = routing.FloorUnknown
		Expect(choose().Need).To(Equal(routing.NeedMarks))
	})

	It("needs a sample of the primary's position for a read without a maximum age", func() {
		request.Route.MaxAge = 0
		Expect(choose().Need).To(Equal(routing.NeedSample))
	})

	It("chooses only a replica that has applied the session's marks", func() {
		request.Floor = at(600)
		Expect(choose().Upstream).To(Equal(model.UpstreamID("hire-c")))
	})

	It("prefers the replica in its own data centre until its queue is longer", func() {
		Expect(choose().Upstream).To(Equal(model.UpstreamID("hire-b")))
		upstream(1).Outstanding = 5
		Expect(choose().Upstream).To(Equal(model.UpstreamID("hire-c")))
	})

	It("waits for a replica that is about to reach the floor, but not for one far behind", func() {
		request.Floor = at(950)
		decision := choose()
		Expect(decision.WaitFor).To(Equal(at(950)))
		Expect(decision.MaxWait).To(BeNumerically(">", 0))
		upstream(1).ApplyDelay = time.Second
		upstream(2).ApplyDelay = time.Second
		Expect(choose().Primary).To(BeTrue())
	})

	It("chooses the primary if no replica is within the maximum age", func() {
		upstream(1).FreshKnown = false
		upstream(2).FreshAt = now - age - 1
		Expect(choose().Primary).To(BeTrue())
	})

	It("does not choose a leaving upstream", func() {
		upstream(1).Leaving = true
		upstream(2).Leaving = true
		Expect(choose().Primary).To(BeTrue())
	})

	It("refuses a write without a permit as not run, with a retry delay", func() {
		request.ReadOnly = false
		snapshot.Groups[0].PermitUntil = now
		_, refusal := routing.Choose(now, snapshot, request)
		Expect(refusal.Code).To(Equal(verdict.NoPermit))
		Expect(refusal.SafeToRetry()).To(BeTrue())
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
	})

	It("serves reads from replicas without a permit", func() {
		snapshot.Groups[0].PermitUntil = 0
		Expect(choose().Primary).To(BeFalse())
	})
})

var _ = Describe("AgeHysteresis", func() {
	It("excludes a replica whose age varies about the maximum age until it is well within it", func() {
		hysteresis := routing.NewAgeHysteresis(time.Second)
		ages := []time.Duration{age}
		switches, switchesWithout := 0, 0
		admitted, within := true, true
		for i := range 1000 {
			lag := age - 50*time.Millisecond + time.Duration(i%3)*50*time.Millisecond
			set := hysteresis.Update(time.Duration(i)*100*time.Millisecond, "hire-b", lag, true, ages)
			if set.Has(age) != admitted {
				admitted = set.Has(age)
				switches++
			}
			if (lag <= age) != within {
				within = lag <= age
				switchesWithout++
			}
		}
		Expect(switches).To(Equal(1))
		Expect(switchesWithout).To(BeNumerically(">", 500))
		set := hysteresis.Update(200*time.Second, "hire-b", age/4, true, ages)
		Expect(set.Has(age)).To(BeFalse())
		set = hysteresis.Update(202*time.Second, "hire-b", age/4, true, ages)
		Expect(set.Has(age)).To(BeTrue())
	})
})
