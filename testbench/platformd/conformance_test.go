package platformd_test

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/platform"
	"gypsumdock/pkg/coordination/platform/platformtest"
	"gypsumdock/testbench/platformd"
)

// start returns a stand-in and the product's client of it.
func start() (*platformd.Server, *platform.Client) {
	server, err := platformd.Start("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	client := platform.NewClient(platform.Options{
		Address: strings.TrimPrefix(server.URL(), "http://"),
		Timeout: 10 * time.Second,
	})
	DeferCleanup(client.Close)
	return server, client
}

var _ = Describe("the product's client against the stand-in", func() {
	platformtest.Conformance(func() platformtest.Services {
		_, client := start()
		return platformtest.Services{Table: client, Objects: client.Objects(), Instances: client}
	})

	It("settles a commit whose answer was lost", func() {
		server, client := start()
		ctx := context.Background()
		Expect(platformd.Client{URL: server.URL()}.SetFaults(ctx, platformd.Faults{LoseCommits: 1})).To(Succeed())
		writes := []platform.Write{{Key: "a/1", Value: []byte("x")}}
		_, err := client.Commit(ctx, "op1", writes)
		Expect(err).To(HaveOccurred())
		settlement, _, err := platform.ResolveCommit(ctx, client, "op1", writes)
		Expect(err).NotTo(HaveOccurred())
		Expect(settlement).To(Equal(platform.CommitApplied))
	})
})
