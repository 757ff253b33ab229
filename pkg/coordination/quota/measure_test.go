package quota_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/model"
	state "gypsumdock/pkg/state/quota"
	"gypsumdock/pkg/telemetry"
)

// namedCallers returns count callers whose names, in order, begin with prefix. Each
// spec has a prefix of its own, as metrics are global.
func namedCallers(prefix string, count int) []model.CallerPolicy {
	accounts := make([]model.CallerPolicy, count)
	for i := range accounts {
		accounts[i] = model.CallerPolicy{Name: model.CallerName(fmt.Sprintf("%s%04d", prefix, i)), Rate: 10, Burst: 10}
	}
	return accounts
}

// exported returns the lines of all metrics that begin with prefix.
func exported(prefix string) []string {
	var out bytes.Buffer
	metrics.WritePrometheus(&out, false)
	var lines []string
	for line := range strings.Lines(out.String()) {
		if strings.HasPrefix(line, prefix) {
			lines = append(lines, line)
		}
	}
	return lines
}

var _ = Describe("the metrics of callers", func() {
	// Thousands of accounts would make as many time series on each instance.
	It("list the first hundred callers by name and the others as one", func() {
		f := newFleet(1, namedCallers("many", 130))
		DeferCleanup(func() {
			f.configure(*f.input.View, nil)
			f.tick()
		})
		for range 100 {
			f.tick()
		}
		for _, caller := range []int{0, 99, 100, 101, 129} {
			admitted, _ := f.services[0].Admit(model.CallerName(fmt.Sprintf("many%04d", caller)))
			Expect(admitted).To(BeTrue())
		}
		for range 11 {
			f.tick()
		}
		Expect(exported(`gypsumdock_quota_tokens{caller="many`)).To(HaveLen(100))
		Expect(exported(`gypsumdock_quota_used_total{caller="many`)).To(HaveLen(100))
		Expect(telemetry.QuotaUsed.With("many0099").Get()).To(BeEquivalentTo(1))
		Expect(exported(`gypsumdock_quota_used_total{caller="other"}`)).To(ConsistOf(HaveSuffix(" 3\n")))
		Expect(exported(`gypsumdock_quota_tokens{caller="other"}`)).To(HaveLen(1))
	})

	It("have no line for the others while there are at most a hundred, and end with the limits", func() {
		f := newFleet(1, namedCallers("few", 100))
		f.tick()
		Expect(exported(`gypsumdock_quota_tokens{caller="few`)).To(HaveLen(100))
		Expect(exported(`gypsumdock_quota_tokens{caller="other"}`)).To(BeEmpty())
		f.configure(*f.input.View, namedCallers("few", 0))
		f.tick()
		Expect(exported(`gypsumdock_quota_tokens{caller="few`)).To(BeEmpty())
	})
})

var _ = Describe("an invalid report", func() {
	// A peer sends ten reports a second, and each of them may be invalid for as long
	// as the configurations differ.
	It("is logged at most once a second and always counted", func() {
		var out bytes.Buffer
		f := newLoggedFleet(2, callers(1), slog.New(slog.NewTextHandler(&out, nil)))
		f.tick()
		before := telemetry.QuotaInvalid.With().Get()
		// The peer itself has sent reports by now, and older ones are ignored.
		const later = 1_000_000
		report := func(sent uint64) state.Report {
			return state.Report{Sent: later + sent, Usage: []state.Usage{{Caller: "nobody"}, {Caller: "unknown"}}}
		}
		started := time.Now()
		for sent := range uint64(50) {
			f.services[0].Receive("i01", report(sent+1))
		}
		lines := strings.Count(out.String(), "event=441")
		Expect(lines).To(BeNumerically(">=", 1))
		// The seconds that have begun, which is one unless the machine is very slow.
		Expect(lines).To(BeNumerically("<=", 1+int(time.Since(started)/time.Second)))
		Expect(out.String()).To(ContainSubstring("from=i01 entries=2"))
		Expect(telemetry.QuotaInvalid.With().Get() - before).To(BeEquivalentTo(100))
	})
})

var _ = Describe("the use by caller", func() {
	It("has the operations of the last second, the refusals and the limit", func() {
		f := newFleet(1, append(callers(2), model.CallerPolicy{Name: "free"}))
		Expect(f.services[0].CallerUsage()).To(BeEmpty())
		for range 100 {
			f.tick()
		}
		refused := uint64(0)
		for range 60 {
			for range 2 {
				if admitted, _ := f.services[0].Admit("c00000"); !admitted {
					refused++
				}
			}
			f.services[0].Admit("free")
			f.tick()
		}
		Expect(refused).To(BeNumerically(">", 0))
		usage := f.services[0].CallerUsage()
		Expect(usage).To(HaveLen(2))
		Expect(usage[0].Name).To(Equal(model.CallerName("c00000")))
		Expect(usage[0].UsedPerSecond).To(BeNumerically("~", 10, 2))
		Expect(usage[0].Refused).To(Equal(refused))
		Expect(usage[0].Limit).To(Equal(10.0))
		Expect(usage[1]).To(Equal(model.CallerUsage{Name: "c00001", Limit: 10}))
	})

	It("follows a changed limit, and ends with it", func() {
		f := newFleet(1, callers(1))
		f.tick()
		changed := callers(1)
		changed[0].Rate = 25
		f.configure(*f.input.View, changed)
		f.tick()
		Expect(f.services[0].CallerUsage()[0].Limit).To(Equal(25.0))
		f.configure(*f.input.View, nil)
		f.tick()
		Expect(f.services[0].CallerUsage()).To(BeEmpty())
	})
})
