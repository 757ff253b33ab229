package promises_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/history"
	"gypsumdock/testbench/platformd"
	"gypsumdock/testbench/upstreamd"
)

var _ = Describe("two faults together", func() {
	It("keep every promise: the platform is down while the primary is lost, and returns", func(ctx context.Context) {
		w := start(ctx, quick())
		running := w.run(ctx, nil)
		awaitWrites(running)
		old := w.group().Upstreams[0].ID
		Expect(w.Platform.SetFaults(ctx, platformd.Faults{Down: true})).To(Succeed())
		w.upstream(ctx, old, upstreamd.ActionKill)
		Consistently(func() []history.Violation { return w.violations(ctx, running) }, "3s").Should(BeEmpty())
		Expect(w.Platform.SetFaults(ctx, platformd.Faults{LoseCommits: 2, LosePrefix: "head"})).To(Succeed())
		w.awaitPrimary(ctx, old)
		awaitWrites(running)
		w.check(ctx, running)
	})

	It("keep every promise: an instance freezes while the primary is lost, and the lost primary returns", func(ctx context.Context) {
		w := start(ctx, quick())
		running := w.run(ctx, nil)
		awaitWrites(running)
		old := w.group().Upstreams[0].ID
		Expect(w.Instances[1].Freeze()).To(Succeed())
		w.upstream(ctx, old, upstreamd.ActionKill)
		w.awaitPrimary(ctx, old)
		w.upstream(ctx, old, upstreamd.ActionRevive)
		Expect(w.Instances[1].Thaw()).To(Succeed())
		awaitWrites(running)
		w.check(ctx, running)
	})
})
