package search_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/failover"
)

const (
	// hostedSeeds is the number of runs of each scenario.
	hostedSeeds = 20
	// Each of leavingPrimaries leaves as soon as the members know it, or up to
	// leavingDelay later.
	leavingPrimaries = 10
	leavingDelay     = 800 * time.Millisecond
)

// settledHostedWorld returns a world in which the platform promotes, without faults at
// settleTime.
func settledHostedWorld(seed uint64) *world {
	w := newHostedWorld(seed, failover.Rules{}, gapInstances)
	w.run(settleTime)
	return w
}

// leave tells all nodes that an upstream leaves, and that the others do not.
func (w *world) leave(leaving *server) {
	for _, up := range w.ups {
		up.leaving = up == leaving
	}
	for _, n := range w.nodes {
		n.deliver(func() { n.handle(w.bundle(0)) })
	}
}

var _ = Describe("a group that the platform promotes", func() {
	// review/10: the rank of the members, and not who held the promotion lease, decided
	// who replaced the next leaving primary, so that two holders took turns.
	It("is switched from each of several leaving primaries without two holders in turn", func() {
		for seed := range uint64(hostedSeeds) {
			w := settledHostedWorld(seed)
			for range leavingPrimaries {
				w.continueFor(w.between(0, leavingDelay))
				old := w.table.group().Primary
				w.leave(w.server(old))
				for end := w.now + scenarioFor; w.now < end && w.table.group().Primary == old; {
					w.continueFor(tickInterval)
				}
				Expect(w.table.group().Primary).NotTo(Equal(old), "seed %d", seed)
			}
			Expect(w.lostWrites()).To(BeZero(), "seed %d", seed)
		}
	})
})
