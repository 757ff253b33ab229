package model_test

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/model"
)

var _ = DescribeTable("a rate or burst is a finite number of zero or more",
	func(value float64, valid bool) { Expect(model.ValidLimit(value)).To(Equal(valid)) },
	Entry("zero", 0.0, true),
	Entry("a fraction", 0.01, true),
	Entry("the largest number", math.MaxFloat64, true),
	Entry("negative", -0.01, false),
	Entry("infinite", math.Inf(1), false),
	Entry("negative infinite", math.Inf(-1), false),
	Entry("not a number", math.NaN(), false),
)
