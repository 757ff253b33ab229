// Package probe_test shows that the probe reads an upstream's published
// functions right, through a promotion and a return of the old primary.
package probe_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/pgprobe"
	"gypsumdock/testbench/upstreamd"
)

func TestProbe(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "probe")
}

func startGroup() (*bundle.Group, *upstreamd.Server) {
	spec := upstreamd.GroupSpec{ID: "plugs", Database: "plugs", User: "dock", Password: "secret"}
	for _, id := range []string{"a", "b", "c"} {
		spec.Upstreams = append(spec.Upstreams, upstreamd.UpstreamSpec{ID: id})
	}
	server, err := upstreamd.Start(upstreamd.Spec{Groups: []upstreamd.GroupSpec{spec}})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	layout := server.Layout().Groups[0]
	group := &bundle.Group{ID: "plugs", Database: layout.Database, User: layout.User, Password: layout.Password}
	for _, upstream := range layout.Upstreams {
		group.Upstreams = append(group.Upstreams, bundle.Upstream{
			ID: model.UpstreamID(upstream.ID), Address: upstream.Address,
		})
	}
	return group, server
}

var _ = Describe("Prober", func() {
	It("sees roles, timelines and whom a replica follows, and promotes once", func(ctx SpecContext) {
		group, _ := startGroup()
		prober := pgprobe.New("probe")
		DeferCleanup(prober.Close)
		probe := func(i int) pgprobe.Sample {
			GinkgoHelper()
			sample, err := prober.Probe(ctx, group, &group.Upstreams[i])
			Expect(err).NotTo(HaveOccurred())
			return sample
		}
		Expect(probe(0).Recovering).To(BeFalse())
		Expect(probe(1).Recovering).To(BeTrue())
		Expect(probe(1).Follows.String()).To(Equal(group.Upstreams[0].Address))

		before := probe(1)
		promoted, err := prober.Promote(ctx, group, &group.Upstreams[1])
		Expect(err).NotTo(HaveOccurred())
		Expect(promoted.Timeline).To(Equal(before.Timeline + 1))
		Expect(promoted.LSN).To(Equal(before.LSN))
		Expect(probe(2).Follows.String()).To(Equal(group.Upstreams[1].Address))

		again, err := prober.Promote(ctx, group, &group.Upstreams[1])
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(promoted))
	})

	It("fails on an upstream that is gone", func(ctx SpecContext) {
		group, server := startGroup()
		prober := pgprobe.New("probe")
		DeferCleanup(prober.Close)
		_, err := prober.Probe(ctx, group, &group.Upstreams[0])
		Expect(err).NotTo(HaveOccurred())
		control := upstreamd.Client{URL: server.Layout().Control}
		fault := upstreamd.Fault{Group: "plugs", Upstream: "a", Action: upstreamd.ActionKill}
		Expect(control.Apply(context.Background(), fault)).To(Succeed())
		_, err = prober.Probe(ctx, group, &group.Upstreams[0])
		Expect(err).To(HaveOccurred())
	})

	It("ends and counts the connections of an instance that is gone", func(ctx SpecContext) {
		group, _ := startGroup()
		gone := pgprobe.New("gone")
		DeferCleanup(gone.Close)
		_, err := gone.Probe(ctx, group, &group.Upstreams[0])
		Expect(err).NotTo(HaveOccurred())
		prober := pgprobe.New("prober")
		DeferCleanup(prober.Close)
		Eventually(func() (int, error) {
			return prober.TerminateConnections(ctx, group, &group.Upstreams[0], "gone")
		}).Should(BeZero())
		Expect(prober.TerminateConnections(ctx, group, &group.Upstreams[0], "it's")).To(BeZero())
		_, err = gone.Probe(ctx, group, &group.Upstreams[0])
		Expect(err).To(HaveOccurred())
	})
})
