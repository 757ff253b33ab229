package model_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/model"
)

func TestModel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "model")
}

var _ = Describe("LSN", func() {
	It("parses and prints PostgreSQL's text format", func() {
		lsn, err := model.ParseLSN("16/B374D848")
		Expect(err).NotTo(HaveOccurred())
		Expect(lsn.String()).To(Equal("16/B374D848"))
	})

	DescribeTable("rejects malformed text",
		func(text string) {
			_, err := model.ParseLSN(text)
			Expect(err).To(HaveOccurred())
		},
		Entry("no slash", "16"),
		Entry("lower half exceeds 32 bits", "1/FFFFFFFFF"),
		Entry("empty", ""),
	)
})

var _ = Describe("Mark", func() {
	It("orders by generation first, then by LSN", func() {
		older := model.Mark{Generation: 1, LSN: 900}
		newer := model.Mark{Generation: 2, LSN: 10}
		Expect(older.Before(newer)).To(BeTrue())
		Expect(older.Max(newer)).To(Equal(newer))
	})
})
