package path_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/transport/admin"
	"gypsumdock/testbench/cluster"
	"gypsumdock/testbench/profile"
)

// fewConnections leaves three connections for four instances, beyond the five
// that are kept for probes and promotion.
const fewConnections = 8

// grants returns the connections that each instance may hold to the upstream.
func grants(ctx context.Context, c *cluster.Cluster, upstream string) []int {
	GinkgoHelper()
	var held []int
	for _, instance := range c.Instances {
		status, err := admin.NewClient(instance.Admin).Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		for _, group := range status.Groups {
			for _, seen := range group.Upstreams {
				if string(seen.ID) == upstream {
					held = append(held, seen.Grant)
				}
			}
		}
	}
	return held
}

var _ = Describe("an upstream with fewer connections than instances", func() {
	It("is used through every instance, and holds no more connections than it may", func(ctx SpecContext) {
		scarce := profile.Tregwynt()
		scarce.Connections = fewConnections
		c := startClusterOf(ctx, scarce)
		primary := c.Layout.Groups[0].Upstreams[0].ID
		Eventually(func() []int { return grants(ctx, c, primary) }).WithTimeout(startWait).Should(ContainElement(BeZero()))
		for i := range c.Instances {
			conn := connect(ctx, c, i)
			Eventually(func() error {
				_, err := conn.Exec(ctx, "UPDATE records SET value = $1 WHERE key = $2", "x", "box")
				return err
			}).WithTimeout(startWait).WithPolling(100 * time.Millisecond).Should(Succeed())
		}
		statuses, err := c.Upstreams.Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		for _, status := range statuses {
			Expect(status.Refused).To(BeZero(), status.Upstream)
		}
	})
})
