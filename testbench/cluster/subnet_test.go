package cluster

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("ports", func() {
	// An instance with the same port for two listeners ended at its start, about once
	// in 2,300 starts.
	It("differ", func() {
		for range 20_000 {
			found, err := ports("127.70.1.9", 3)
			Expect(err).NotTo(HaveOccurred())
			Expect(found[0]).NotTo(Equal(found[1]))
			Expect(found[1]).NotTo(Equal(found[2]))
			Expect(found[0]).NotTo(Equal(found[2]))
		}
	})
})
