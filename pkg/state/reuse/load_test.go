package reuse_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The load is that of 74 callers, whose demand follows a Zipf distribution, at one
// group of three upstreams.
var _ = DescribeTable("connections opened under a load of many callers",
	func(maxConnections int, perSecond float64, most float64, rareWait time.Duration) {
		l := load{perSecond: perSecond, maxConnections: maxConnections}
		played := func(name string, change func(*load)) *count {
			changed := l
			change(&changed)
			c := newCount(changed).run()
			GinkgoWriter.Printf("%d connections, %.0f units/s, %-28s %s\n", maxConnections, perSecond, name+":", c)
			return c
		}
		chosen := played("one home, least reuse", func(*load) {})
		Expect(chosen.refused).To(BeZero())
		Expect(chosen.perThousand()).To(BeNumerically("<", most))
		Expect(chosen.rareWaited / time.Duration(chosen.rareStarted)).To(BeNumerically("<", rareWait))

		// Each rule must lower the number of openings.
		oldest := played("one home, oldest", func(l *load) { l.oldest = true })
		Expect(oldest.opened).To(BeNumerically(">", chosen.opened))
		homeless := played("no home, least reuse", func(l *load) { l.home = noHome })
		Expect(homeless.opened).To(BeNumerically(">", 2*chosen.opened))
		played("no home, oldest", func(l *load) { l.home, l.oldest = noHome, true })
		nearby := played("home in the data centre", func(l *load) { l.home = homeInCentre })
		Expect(nearby.opened).To(BeNumerically(">", chosen.opened*3/2))
		local := played("servers run their callers'", func(l *load) { l.local = 4.0 / 26 })
		Expect(local.opened).To(BeNumerically(">", chosen.opened))

		// After the loss of a home its callers open connections elsewhere once.
		lost := played("a home lost", func(l *load) { l.lost = 60 * time.Second })
		GinkgoWriter.Printf("in the second after the loss: %d\n", lost.inSecondAfterLoss)
		Expect(lost.refused).To(BeZero())
		Expect(lost.inSecondAfterLoss).To(BeNumerically("<", perSecond/2))
		Expect(lost.opened).To(BeNumerically("<", homeless.opened))
	},
	Entry("70 connections, 120 units/s", 70, 120.0, 45.0, 4*time.Millisecond),
	Entry("70 connections, 300 units/s", 70, 300.0, 75.0, 6*time.Millisecond),
	Entry("50 connections, 120 units/s", 50, 120.0, 100.0, 8*time.Millisecond),
	Entry("50 connections, 300 units/s", 50, 300.0, 160.0, 12*time.Millisecond),
)
