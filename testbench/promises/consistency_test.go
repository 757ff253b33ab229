package promises_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/history"
	"gypsumdock/testbench/platformd"
	"gypsumdock/testbench/upstreamd"
	"gypsumdock/testbench/workload"
)

const lagging = 300 * time.Millisecond

var _ = Describe("a caller's next read shows its last write, through any instance", func() {
	It("while replicas lag, one is stuck and one instance crashes", func(ctx context.Context) {
		w := start(ctx, quick())
		w.lag(ctx, lagging)
		running := w.run(ctx, nil)
		awaitWrites(running)
		w.upstream(ctx, w.group().Upstreams[1].ID, upstreamd.ActionStick)
		awaitWrites(running)
		running.SetTargets(w.Instances[1:])
		Expect(w.Instances[0].Kill()).To(Succeed())
		awaitWrites(running)
		w.check(ctx, running)
	})

	It("while the platform is slow and then down", func(ctx context.Context) {
		w := start(ctx, quick())
		w.lag(ctx, lagging)
		running := w.run(ctx, nil)
		awaitWrites(running)
		Expect(w.Platform.SetFaults(ctx, platformd.Faults{BeforeMS: 300})).To(Succeed())
		awaitWrites(running)
		Expect(w.Platform.SetFaults(ctx, platformd.Faults{Down: true})).To(Succeed())
		awaitWrites(running)
		w.check(ctx, running)
	})

	It("fails this test when the instances do not know the sessions", func(ctx context.Context) {
		w := start(ctx, quick())
		w.lag(ctx, lagging)
		running := w.run(ctx, func(o *workload.Options) { o.Anonymous = true })
		broken := func() []history.Violation { return w.violations(ctx, running) }
		Eventually(broken, recoverTimeout).Should(ContainElement(HaveField("Promise", history.PromiseReadYourWrites)))
	})
})
