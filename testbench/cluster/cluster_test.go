package cluster_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/cluster"
	"gypsumdock/testbench/profile"
	"gypsumdock/testbench/upstreamd"
)

func TestCluster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cluster")
}

var _ = Describe("a cluster without instances", func() {
	var c *cluster.Cluster

	BeforeEach(func(ctx context.Context) {
		var err error
		c, err = cluster.Start(ctx, cluster.Options{Profile: profile.Tregwynt()})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Stop)
	})

	It("serves the groups through its proxies and keeps a killed upstream's port", func(ctx context.Context) {
		group := c.Layout.Groups[0]
		upstream := group.Upstreams[0].ID
		dsn := fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable",
			group.User, group.Password, c.ToUpstream(upstream).Address(), group.Database)
		ping := func() error {
			conn, err := pgx.Connect(ctx, dsn)
			if err != nil {
				return err
			}
			defer conn.Close(ctx)
			return conn.Ping(ctx)
		}
		Expect(ping()).To(Succeed())
		fault := upstreamd.Fault{Group: group.ID, Upstream: upstream, Action: upstreamd.ActionKill}
		Expect(c.Upstreams.Apply(ctx, fault)).To(Succeed())
		Expect(ping()).NotTo(Succeed())
		fault.Action = upstreamd.ActionRevive
		Expect(c.Upstreams.Apply(ctx, fault)).To(Succeed())
		Expect(ping()).To(Succeed())
	})

	It("writes the addresses of the proxies into the folder", func() {
		text, err := os.ReadFile(filepath.Join(c.Folder, profile.GroupsFile))
		Expect(err).NotTo(HaveOccurred())
		for _, group := range c.Layout.Groups {
			for _, upstream := range group.Upstreams {
				Expect(string(text)).To(ContainSubstring(c.ToUpstream(upstream.ID).Address()))
			}
		}
	})
})
