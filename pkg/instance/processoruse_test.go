package instance

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the processor use", func() {
	var now, used time.Duration
	var failure error
	newUse := func(cores float64) *processorUse {
		now, used, failure = time.Second, 0, nil
		return &processorUse{
			cores: cores, now: func() time.Duration { return now },
			used: func() (time.Duration, error) { return used, failure },
		}
	}

	It("is measured against the share, at most every 100 ms", func() {
		use := newUse(0.5)
		Expect(use.Permille()).To(BeZero())
		now += 100 * time.Millisecond
		used += 25 * time.Millisecond
		Expect(use.Permille()).To(Equal(uint32(500)))
		now += 50 * time.Millisecond
		used += 25 * time.Millisecond
		Expect(use.Permille()).To(Equal(uint32(500)))
		now += 50 * time.Millisecond
		Expect(use.Permille()).To(Equal(uint32(500)))
		now += time.Second
		Expect(use.Permille()).To(Equal(uint32(1)))
	})

	It("is unknown without a share, and while it cannot be read", func() {
		use := newUse(0)
		now += time.Second
		Expect(use.Permille()).To(BeZero())
		use = newUse(1)
		_ = use.Permille()
		failure = errors.New("not permitted")
		now += time.Second
		Expect(use.Permille()).To(BeZero())
	})
})
