package promises_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/cluster"
	"gypsumdock/testbench/faultproxy"
	"gypsumdock/testbench/history"
	"gypsumdock/testbench/upstreamd"
	"gypsumdock/testbench/workload"
)

var _ = Describe("no write is acknowledged by a primary that was replaced", func() {
	It("that froze with writes in flight and came back", func(ctx context.Context) {
		w := start(ctx, quick())
		running := w.run(ctx, nil)
		awaitWrites(running)
		old := w.group().Upstreams[0].ID
		w.upstream(ctx, old, upstreamd.ActionFreeze)
		w.awaitPrimary(ctx, old)
		awaitWrites(running)
		w.upstream(ctx, old, upstreamd.ActionThaw)
		awaitWrites(running)
		w.check(ctx, running)
	})

	It("that was cut off, in one direction and then in both", func(ctx context.Context) {
		w := start(ctx, quick())
		running := w.run(ctx, nil)
		awaitWrites(running)
		old := w.group().Upstreams[0].ID
		w.ToUpstream(old).Silence(faultproxy.ToClient)
		w.upstream(ctx, old, upstreamd.ActionCutReplication)
		next := w.awaitPrimary(ctx, old)
		awaitWrites(running)
		w.ToUpstream(next).Silence(faultproxy.ToClient)
		w.ToUpstream(next).Silence(faultproxy.ToServer)
		w.ToUpstream(old).Heal()
		w.awaitPrimary(ctx, next)
		awaitWrites(running)
		w.ToUpstream(next).Heal()
		awaitWrites(running)
		w.check(ctx, running)
	})

	It("when an instance was paused, goes on, and reaches only the old primary", func(ctx context.Context) {
		w := start(ctx, quick())
		apart := w.Instances[0]
		running := w.run(ctx, func(o *workload.Options) {
			o.Sessions = 12
			o.Policy.Deadline = 2 * time.Second
		})
		running.SetTargets(w.Instances)
		awaitWrites(running)
		old := w.group().Upstreams[0].ID
		Expect(apart.Freeze()).To(Succeed())
		apart.ToPlatform.Reset()
		apart.ToMesh.Reset()
		for _, instance := range w.Instances {
			instance.ToMesh.Drop()
		}
		w.ToUpstream(old).Silence(faultproxy.ToClient)
		w.ToUpstream(old).Silence(faultproxy.ToServer)
		w.awaitPrimary(ctx, old)
		for _, instance := range w.Instances {
			instance.ToMesh.Reset()
		}
		w.ToUpstream(old).Heal()
		running.SetTargets([]*cluster.Instance{apart})
		Expect(apart.Thaw()).To(Succeed())
		Consistently(func() []history.Violation { return w.violations(ctx, running) }, "3s").Should(BeEmpty())
	})

	It("and is replaced although the first instance is paused as soon as all are ready", func(ctx context.Context) {
		w := start(ctx, quick())
		old := w.group().Upstreams[0].ID
		Expect(w.Instances[0].Freeze()).To(Succeed())
		w.upstream(ctx, old, upstreamd.ActionKill)
		w.awaitPrimary(ctx, old)
	})

	It("when an instance was paused past its permit and goes on", func(ctx context.Context) {
		w := start(ctx, quick())
		running := w.run(ctx, nil)
		awaitWrites(running)
		old := w.group().Upstreams[0].ID
		paused := w.Instances[0]
		Expect(paused.Freeze()).To(Succeed())
		w.ToUpstream(old).Silence(faultproxy.ToClient)
		w.ToUpstream(old).Silence(faultproxy.ToServer)
		w.awaitPrimary(ctx, old)
		w.ToUpstream(old).Heal()
		Expect(paused.Thaw()).To(Succeed())
		awaitWrites(running)
		w.check(ctx, running)
	})
})
