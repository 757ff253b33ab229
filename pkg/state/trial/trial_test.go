package trial_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/trial"
)

func TestTrial(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trial")
}

const step = time.Millisecond

// run sends a unit whenever one is admitted, until the trials end or the time
// has passed, and returns the number of units and when the trials ended.
func run(t *trial.Trial, until time.Duration, succeeds func(unit int) bool) (int, time.Duration) {
	units := 0
	for now := time.Duration(0); now < until; now += step {
		if !t.Admits(now) {
			continue
		}
		t.Sent(now)
		units++
		if !succeeds(units) {
			t.Failed(now)
		} else if t.Passed(now) {
			return units, now
		}
	}
	return units, until
}

var _ = Describe("Trial", func() {
	It("admits everything before it is started", func() {
		var t trial.Trial
		Expect(t.Admits(0)).To(BeTrue())
		Expect(t.Passed(0)).To(BeFalse())
	})

	It("gives work again by steps after the fault has ended", func() {
		var t trial.Trial
		t.Start(0)
		units, ended := run(&t, 10*time.Second, func(int) bool { return true })
		Expect(units).To(Equal(6))
		Expect(ended).To(BeNumerically("~", time.Second, 100*step))
		Expect(t.Active()).To(BeFalse())
	})

	// Guards against trials that cost callers as much as the fault itself.
	It("gives hardly any work while the fault lasts", func() {
		var t trial.Trial
		t.Start(0)
		units, _ := run(&t, time.Minute, func(int) bool { return false })
		Expect(units).To(BeNumerically("<=", 18))
		Expect(t.Active()).To(BeTrue())
	})

	It("gives hardly any work while 40% of it fails", func() {
		var t trial.Trial
		t.Start(0)
		units, ended := run(&t, 30*time.Second, func(unit int) bool { return unit%5 != 0 && unit%5 != 2 })
		Expect(ended).To(Equal(30 * time.Second))
		Expect(units).To(BeNumerically("<", 60))
	})
})
