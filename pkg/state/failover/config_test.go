package failover_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

func TestFailover(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "failover")
}

var _ = DescribeTable("Config.Check refuses unsafe settings",
	func(change func(*failover.Config)) {
		cfg := failover.Config{Self: model.Member{ID: "i1", DataCentre: "dc1"}}
		Expect(cfg.Check()).To(Succeed())
		change(&cfg)
		Expect(cfg.Check()).NotTo(Succeed())
	},
	Entry("no instance ID", func(c *failover.Config) { c.Self.ID = "" }),
	Entry("no data centre", func(c *failover.Config) { c.Self.DataCentre = "" }),
	Entry("negative drift", func(c *failover.Config) { c.Drift = -time.Second }),
	Entry("permits that expire before the next read can renew them", func(c *failover.Config) { c.PermitLifetime = time.Second }),
	Entry("a tick interval above the resend interval", func(c *failover.Config) { c.TickInterval = time.Second }),
	Entry("a promise time below the permit lifetime", func(c *failover.Config) { c.MaxPromiseTime = time.Second }),
)

var _ = Describe("a newly registered instance", func() {
	const (
		lifetime   = 3 * time.Second
		drift      = 200 * time.Millisecond
		maxPromise = 300 * time.Second
		// fullDrift is the drift that accumulates during maxPromise.
		fullDrift = 20 * time.Second
	)

	It("is established once the longest promises have expired, clock drift included", func() {
		old := model.Member{ID: "i0", DataCentre: "dc1"}
		self := model.Member{ID: "i1", DataCentre: "dc1"}
		machine := failover.New(failover.Config{
			Self: self, PermitLifetime: lifetime, Drift: drift, MaxPromiseTime: maxPromise,
		})
		head := &model.Head{Version: 2, MembersVersion: 2, Members: []model.Member{old, self}}
		machine.Handle(0, failover.HeadRead{Head: head})
		earliest := maxPromise + fullDrift + lifetime + drift
		machine.Handle(earliest-time.Millisecond, failover.Tick{})
		Expect(machine.View().Established).To(BeFalse())
		machine.Handle(earliest, failover.Tick{})
		Expect(machine.View().Established).To(BeTrue())
	})
})
