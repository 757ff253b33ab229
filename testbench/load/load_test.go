package load_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/load"
	"gypsumdock/testbench/profile"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

var _ = Describe("a load", func() {
	It("is changed by a list, without a change to the variant it came from", func() {
		base := load.Defaults(profile.Tregwynt())
		Expect(base.Set("permits.lifetime=2s")).To(Succeed())
		first, second := base, base
		Expect(first.Set("lag=100ms,roam=false,permits.drift=1s")).To(Succeed())
		Expect(second.Set("rate=5,permits.drift=3s")).To(Succeed())
		Expect(first.Lag).To(Equal(100 * time.Millisecond))
		Expect(first.Roam).To(BeFalse())
		Expect(first.Tuning.Extra).To(Equal([]string{"permits.lifetime=2s", "permits.drift=1s"}))
		Expect(second.Tuning.Extra).To(Equal([]string{"permits.lifetime=2s", "permits.drift=3s"}))
		Expect(base.Set("speed=1")).To(MatchError(ContainSubstring("unknown key")))
	})

	It("compares the median and the range of its variants", func() {
		var text bytes.Buffer
		variants := [][]*load.Report{
			{{Label: "a", Goodput: 3}, {Label: "a", Goodput: 1}, {Label: "a", Goodput: 2}},
			{{Label: "b", Goodput: 9}},
		}
		Expect(load.WriteText(&text, variants)).To(Succeed())
		Expect(text.String()).To(MatchRegexp(`goodput 1/s +2 \(1 to 3\) +9 \(9 to 9\)`))
		Expect(text.String()).To(MatchRegexp(`failover gap ms +- +-`))
	})
})
