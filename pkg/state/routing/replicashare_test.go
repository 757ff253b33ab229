package routing_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/routing"
)

var shareDeployments = []struct {
	name   string
	slots  int
	oneWay time.Duration
}{{"Tregwynt", 2, time.Millisecond}, {"Lankapower", 5, 1500 * time.Microsecond}}

var shareRules = []struct {
	name  string
	rules routing.Rules
}{
	{"choice", routing.Rules{}},
	{"all to the primary", routing.Rules{PrimaryOnly: true}},
	{"home rule off", routing.Rules{IgnoreMarks: true}},
	{"no wait", routing.Rules{NoWait: true}},
	{"no hysteresis", routing.Rules{NoHysteresis: true}},
}

var shareLags = []struct {
	name  string
	lag   time.Duration
	stuck bool
}{
	{"0 ms", 0, false},
	{"10 ms", 10 * time.Millisecond, false},
	{"100 ms", 100 * time.Millisecond, false},
	{"1000 ms", time.Second, false},
	{"10 ms, one stuck", 10 * time.Millisecond, true},
}

// BenchmarkReplicaShare prints the figures of
// docs/measurements/replica-share.md.
func BenchmarkReplicaShare(b *testing.B) {
	for _, size := range shareDeployments {
		for _, roaming := range []bool{false, true} {
			for _, l := range shareLags {
				for _, rule := range shareRules {
					b.Run(fmt.Sprintf("%s/roaming=%t/lag=%s/%s", size.name, roaming, l.name, rule.name), func(b *testing.B) {
						r := simulateShare(shareScenario{
							slots: size.slots, oneWay: size.oneWay, lag: l.lag, stuck: l.stuck, roaming: roaming,
							rules: rule.rules, seconds: 60,
						})
						b.ReportMetric(100*r.replicaShare, "%replicas")
						b.ReportMetric(r.p50.Seconds()*1000, "ms-p50")
						b.ReportMetric(r.p99.Seconds()*1000, "ms-p99")
						b.ReportMetric(float64(r.violations), "violations")
						b.ReportMetric(0, "ns/op")
					})
				}
			}
		}
	}
}

var _ = Describe("the share of replica reads", func() {
	base := shareScenario{slots: 5, oneWay: 1500 * time.Microsecond, lag: 10 * time.Millisecond, roaming: true, seconds: 20}

	It("is high without stale reads, which occur if marks are ignored", func() {
		allRules := simulateShare(base)
		Expect(allRules.violations).To(BeZero())
		Expect(allRules.replicaShare).To(BeNumerically(">", 0.5))
		ignoreMarks := base
		ignoreMarks.rules.IgnoreMarks = true
		Expect(simulateShare(ignoreMarks).violations).To(BeNumerically(">", 0))
	})

	It("includes no stale read if a replica lags far behind or is stuck", func() {
		lagging := base
		lagging.lag = time.Second
		Expect(simulateShare(lagging).violations).To(BeZero())
		stuck := base
		stuck.stuck = true
		Expect(simulateShare(stuck).violations).To(BeZero())
	})
})

func BenchmarkChoose(b *testing.B) {
	s := &shareSimulation{shareScenario: shareScenario{slots: 5}, committed: []time.Duration{0}}
	s.build()
	inst := s.instances[0]
	for _, db := range s.dbs {
		s.recordProbe(inst, db, 0, at(1))
	}
	snapshot := s.snapshot(inst)
	request := routing.Request{
		Route: &bundle.Route{Group: group, MaxAge: shareAge}, ReadOnly: true, Floor: at(1), FloorKind: routing.FloorMarks,
	}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = routing.Choose(0, snapshot, request)
	}
}
