package telemetry_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/telemetry"
)

// update makes the test rewrite the page from the catalogue: go test ./pkg/telemetry -update.
var update = flag.Bool("update", false, "rewrite docs/METRICS.md")

const page = "../../docs/METRICS.md"

func TestTelemetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "telemetry")
}

const pageHead = `# Metrics

` + "`/metrics`" + ` on the admin listener gives these in Prometheus' text format, besides those of the Go runtime and the
process. Times are in seconds. This page is the catalogue in ` + "`pkg/telemetry`" + `, held equal to it by a test;
` + "`go test ./pkg/telemetry -update`" + ` rewrites it.

| name | kind | labels | meaning |
| --- | --- | --- | --- |
`

// printed returns the catalogue as the contents of the page.
func printed() string {
	var out strings.Builder
	out.WriteString(pageHead)
	for _, metric := range telemetry.Catalogue() {
		fmt.Fprintf(&out, "| %s | %s | %s | %s |\n", metric.Name, metric.Kind, strings.Join(metric.Labels, ", "), metric.Meaning)
	}
	return out.String()
}

var _ = Describe("the catalogue of metrics", func() {
	It("equals docs/METRICS.md", func() {
		if *update {
			Expect(os.WriteFile(page, []byte(printed()), 0o644)).To(Succeed())
		}
		text, err := os.ReadFile(page)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal(printed()))
	})

	It("writes a series with its labels", func() {
		telemetry.Answers.With("plugs", "not_run").Inc()
		telemetry.UpstreamLag.With("a2").Set(0.5)
		var out bytes.Buffer
		telemetry.WriteMetrics(&out)
		Expect(out.String()).To(ContainSubstring(`gypsumdock_answers_total{group="plugs",outcome="not_run"} 1`))
		Expect(out.String()).To(ContainSubstring(`gypsumdock_upstream_lag_seconds{upstream="a2"} 0.5`))
	})
})
