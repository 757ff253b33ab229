package path_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/transport/admin"
	"gypsumdock/testbench/cluster"
	"gypsumdock/testbench/profile"
)

// limitCaller adds a rate and a burst to the first caller of the folder, and makes
// the folder the active configuration.
func limitCaller(ctx context.Context, c *cluster.Cluster, rate, burst int) {
	GinkgoHelper()
	path := filepath.Join(c.Folder, profile.CallersFile)
	text, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	name := fmt.Sprintf("name = %q\n", c.Profile().Callers[0].Name)
	Expect(strings.Count(string(text), name)).To(Equal(1))
	limited := strings.Replace(string(text), name, fmt.Sprintf("%srate = %d\nburst = %d\n", name, rate, burst), 1)
	Expect(os.WriteFile(path, []byte(limited), 0o600)).To(Succeed())
	output, code, err := c.ApplyFolder(ctx, c.Folder)
	Expect(err).NotTo(HaveOccurred())
	Expect(code).To(BeZero(), output)
}

// usageOf returns the use of a caller on an instance, or nil if it is unknown.
func usageOf(ctx context.Context, instance *cluster.Instance, name string) *admin.CallerUsage {
	GinkgoHelper()
	status, err := admin.NewClient(instance.Admin).Status(ctx)
	Expect(err).NotTo(HaveOccurred())
	for _, caller := range status.Callers.Listed {
		if string(caller.Name) == name {
			return caller.Usage
		}
	}
	return nil
}

var _ = Describe("a caller over its rate", func() {
	const rate, burst = 10, 2

	// The limit holds over all instances only if their reports arrive, which the
	// tests of the parts do not show.
	It("is refused with the time to come back, over all instances together, and others are not", func(ctx SpecContext) {
		c := startClusterOf(ctx, profile.Tregwynt())
		limitCaller(ctx, c, rate, burst)
		limited, other := c.Profile().Callers[0], c.Profile().Callers[1]
		for _, instance := range c.Instances {
			Eventually(func() *admin.CallerUsage { return usageOf(ctx, instance, limited.Name) }).
				WithTimeout(startWait).ShouldNot(BeNil())
		}
		conns := make([]*pgx.Conn, len(c.Instances))
		for i := range conns {
			conns[i] = connectAs(ctx, c, i, limited)
		}
		untouched := connectAs(ctx, c, 0, other)
		const read = "SELECT value FROM records WHERE key = $1"
		admitted, refused := 0, 0
		began := time.Now()
		for time.Since(began) < 5*time.Second {
			for _, conn := range conns {
				_, err := conn.Exec(ctx, read, "box")
				if err == nil {
					admitted++
					continue
				}
				var answer *pgconn.PgError
				Expect(errors.As(err, &answer)).To(BeTrue(), err.Error())
				Expect(answer.Code).To(Equal("53300"))
				Expect(answer.Message).To(ContainSubstring("over the rate limit"))
				Expect(answer.Detail).To(MatchRegexp(`^The request was not run\. Retry after [1-9][0-9]* ms\.$`))
				refused++
			}
			_, err := untouched.Exec(ctx, read, "box")
			Expect(err).NotTo(HaveOccurred())
		}
		// The limit with its tolerance, for the whole windows that the spans touch.
		windows := float64(time.Since(began)/(5*time.Second) + 1)
		AddReportEntry("admitted, refused", fmt.Sprintf("%d, %d", admitted, refused))
		Expect(admitted).To(BeNumerically(">", 0))
		Expect(refused).To(BeNumerically(">", 0))
		Expect(float64(admitted)).To(BeNumerically("<=", windows*((rate*5+burst)*1.1+20)))
		shown := uint64(0)
		for _, instance := range c.Instances {
			usage := usageOf(ctx, instance, limited.Name)
			Expect(usage.Limit).To(BeEquivalentTo(rate))
			shown += usage.Refused
			Expect(usageOf(ctx, instance, other.Name)).To(BeNil())
		}
		Expect(shown).To(BeEquivalentTo(refused))
	})
})
