package slopes_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/slopes"
)

func TestSlopes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "slopes")
}

// plane returns points on a plane over instances and groups.
func plane() []slopes.Measured {
	var points []slopes.Measured
	for _, instances := range []int{2, 4, 8} {
		for _, groups := range []int{3, 6, 12} {
			p := slopes.Point{Instances: instances, Groups: groups}
			points = append(points, slopes.Measured{Point: p, CoreShare: 1 + 2*float64(instances) + 3*float64(groups)})
		}
	}
	return points
}

func coreShare(m slopes.Measured) float64 { return m.CoreShare }

var _ = Describe("Least", func() {
	terms := []slopes.Term{slopes.Constant, slopes.PerInstance, slopes.PerGroup}

	It("finds the plane that the points lie on, and says when one does not", func() {
		points := plane()
		fit, err := slopes.Least("core", points, terms, coreShare)
		Expect(err).NotTo(HaveOccurred())
		Expect(fit.Slopes).To(HaveExactElements(
			BeNumerically("~", 1, 1e-6), BeNumerically("~", 2, 1e-6), BeNumerically("~", 3, 1e-6)))
		Expect(fit.R2).To(BeNumerically("~", 1, 1e-9))
		points[0].CoreShare += 10
		fit, err = slopes.Least("core", points, terms, coreShare)
		Expect(err).NotTo(HaveOccurred())
		Expect(fit.R2).To(BeNumerically("<", 0.99))
	})

	It("refuses points that do not determine the slopes", func() {
		_, err := slopes.Least("core", plane()[:3], terms, coreShare)
		Expect(err).To(HaveOccurred())
	})
})

var _ = It("reads series with labels, and skips the rest", func() {
	series, err := slopes.ParseSeries(strings.NewReader(
		"# HELP a b\na{operation=\"read\",result=\"ok ok\"} 12\nb 1.5e3\nbroken\nc x\n"))
	Expect(err).NotTo(HaveOccurred())
	Expect(series).To(Equal(slopes.Series{`a{operation="read",result="ok ok"}`: 12, "b": 1500}))
})
