// Package path_test serves a stock PostgreSQL client through separate
// processes, from end to end.
package path_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/cluster"
	"gypsumdock/testbench/profile"
	"gypsumdock/testbench/upstreamd"
)

func TestPath(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "path")
}

const startWait = 30 * time.Second

func startClusterOf(ctx context.Context, deployment profile.Profile) *cluster.Cluster {
	GinkgoHelper()
	c, err := cluster.Start(ctx, cluster.Options{
		Profile: deployment, Instances: 4, Tuning: cluster.DefaultTuning(),
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Stop)
	output, code, err := c.Ctl(ctx, "--platform", c.PlatformAddress(), "--region", c.Profile().Region, "apply", c.Folder)
	Expect(err).NotTo(HaveOccurred())
	Expect(code).To(BeZero(), output)
	ready, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	Expect(c.WaitReady(ready)).To(Succeed())
	return c
}

func connect(ctx context.Context, c *cluster.Cluster, instance int) *pgx.Conn {
	return connectAs(ctx, c, instance, c.Profile().Callers[0])
}

func connectAs(ctx context.Context, c *cluster.Cluster, instance int, caller profile.Caller) *pgx.Conn {
	dsn := fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable",
		caller.Name, caller.Password, c.Instances[instance].Callers, c.Profile().Groups[0].Database)
	conn, err := pgx.Connect(ctx, dsn)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

var _ = Describe("a stock client", Ordered, func() {
	var c *cluster.Cluster

	BeforeAll(func(ctx SpecContext) { c = startClusterOf(ctx, profile.Tregwynt()) })

	It("writes through one instance and reads its write through every other", func(ctx SpecContext) {
		writer := connect(ctx, c, 0)
		Eventually(func() error {
			_, err := writer.Exec(ctx, "INSERT INTO records(key, value) VALUES ($1, $2)", "box-1", "plug-7")
			return err
		}).WithTimeout(startWait).Should(Succeed())
		for i := range c.Instances {
			var value string
			reader := connect(ctx, c, i)
			row := reader.QueryRow(ctx, "SELECT value FROM records WHERE key = $1", "box-1")
			Expect(row.Scan(&value)).To(Succeed())
			Expect(value).To(Equal("plug-7"))
		}
	})

	It("takes writes again after the primary was killed", func(ctx SpecContext) {
		group := c.Profile().Groups[0]
		before, err := c.Primary(ctx, group.ID)
		Expect(err).NotTo(HaveOccurred())
		fault := upstreamd.Fault{Group: group.ID, Upstream: before, Action: upstreamd.ActionKill}
		Expect(c.Upstreams.Apply(ctx, fault)).To(Succeed())
		killed := time.Now()
		Eventually(func() error {
			conn := connect(ctx, c, 1)
			_, err := conn.Exec(ctx, "INSERT INTO records(key, value) VALUES ($1, $2)", "box-2", "plug-8")
			return err
		}).WithTimeout(startWait).Should(Succeed())
		AddReportEntry("failover gap", time.Since(killed))
		GinkgoWriter.Println("failover gap", time.Since(killed))
		after, err := c.Primary(ctx, group.ID)
		Expect(err).NotTo(HaveOccurred())
		Expect(after).NotTo(Equal(before))
	})
})
