package bundle_test

import (
	"encoding/json"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

// callerWith returns a file with the caller desk and further keys of it.
func callerWith(keys ...string) string { return callerFile + strings.Join(keys, "\n") + "\n" }

func policyOf(b *bundle.Bundle) model.CallerPolicy {
	caller, ok := b.Caller("desk")
	Expect(ok).To(BeTrue())
	return caller.Policy()
}

var _ = Describe("the rate limit of a caller", func() {
	DescribeTable("is read from the folder and kept by Encode",
		func(expected model.CallerPolicy, keys ...string) {
			expected.Name = "desk"
			b := merged(callerWith(keys...))
			Expect(policyOf(b)).To(Equal(expected))
			data, digest, err := bundle.Encode(b)
			Expect(err).NotTo(HaveOccurred())
			decoded, err := bundle.Decode(data, digest)
			Expect(err).NotTo(HaveOccurred())
			Expect(policyOf(decoded)).To(Equal(expected))
		},
		Entry("no keys", model.CallerPolicy{Priority: 1}),
		Entry("a rate of zero", model.CallerPolicy{Priority: 1}, "rate = 0"),
		Entry("a rate", model.CallerPolicy{Rate: 20, Burst: 20, Priority: 1}, "rate = 20"),
		Entry("a rate below one", model.CallerPolicy{Rate: 0.25, Burst: 1, Priority: 1}, "rate = 0.25"),
		Entry("a rate and a burst", model.CallerPolicy{Rate: 20, Burst: 2.5, Priority: 1}, "rate = 20.0", "burst = 2.5"),
		Entry("no burst", model.CallerPolicy{Rate: 20, Priority: 1}, "rate = 20", "burst = 0"),
		Entry("priority 0", model.CallerPolicy{Priority: 0}, "priority = 0"),
		Entry("priority 1", model.CallerPolicy{Priority: 1}, "priority = 1"),
		Entry("priority 2", model.CallerPolicy{Priority: 2}, "priority = 2"),
	)

	// Instances of an earlier version refuse a bundle with keys that they do not
	// know, and apply creates a new revision if the digest differs.
	It("leaves the stored form of a caller without one as it was", func() {
		for _, keys := range []string{"", "rate = 0", "priority = 1"} {
			stored, err := json.Marshal(merged(callerWith(keys)).Callers)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(stored)).To(Equal(
				`[{"name":"desk","verifier":"` + exampleVerifier + `","weight":1,"max_connections":1000}]`))
		}
	})

	DescribeTable("is rejected with the value that was read",
		func(problem string, keys ...string) {
			_, problems := bundle.Merge(files(callerWith(keys...)))
			Expect(lines(problems)).To(Equal([]string{problem}))
		},
		Entry("a negative rate", `0.toml:4: caller[0].rate: must be a finite number of 0 or more, not -5`, "rate = -5"),
		Entry("an infinite rate", `0.toml:4: caller[0].rate: must be a finite number of 0 or more, not +Inf`, "rate = inf"),
		Entry("a rate that is not a number", `0.toml:4: caller[0].rate: must be a finite number of 0 or more, not NaN`, "rate = nan"),
		Entry("a rate that does not fit a float", `0.toml:4: caller[0].rate: must be a number, not "1e999"`, "rate = 1e999"),
		Entry("a text as rate", `0.toml:4: caller[0].rate: must be a number, not "fast"`, `rate = "fast"`, "burst = 3"),
		Entry("a negative burst", `0.toml:5: caller[0].burst: must be a finite number of 0 or more, not -0.5`, "rate = 1", "burst = -0.5"),
		Entry("an infinite burst", `0.toml:5: caller[0].burst: must be a finite number of 0 or more, not +Inf`, "rate = 1", "burst = inf"),
		Entry("a burst without a rate", `0.toml:4: caller[0].burst: is 3, but requires a rate above 0 for the same caller`, "burst = 3"),
		Entry("a burst with a rate of zero", `0.toml:5: caller[0].burst: is 3, but requires a rate above 0 for the same caller`, "rate = 0", "burst = 3"),
		Entry("an unknown priority", `0.toml:4: caller[0].priority: must be 0, 1 or 2, where 0 comes first, not 3`, "priority = 3"),
		Entry("a negative priority", `0.toml:4: caller[0].priority: must be 0, 1 or 2, where 0 comes first, not -1`, "priority = -1"),
		Entry("a text as priority", `0.toml:4: caller[0].priority: must be an integer, not "high"`, `priority = "high"`),
		Entry("a fraction as priority", `0.toml:4: caller[0].priority: must be an integer, not "0.5"`, "priority = 0.5"),
	)

	It("is rejected with every problem of every file at once", func() {
		_, problems := bundle.Merge(files(
			groupFile+callerWith("rate = -1", "burst = -2", "priority = 9"),
			callerFile,
			"[[caller]]\nname = \"other\"\nverifier = \""+exampleVerifier+"\"\nburst = 4\n",
			routeFile+"callers = [\"desk\", \"nobody\"]\n",
		))
		Expect(lines(problems)).To(Equal([]string{
			`0.toml:21: caller[0].rate: must be a finite number of 0 or more, not -1`,
			`0.toml:22: caller[0].burst: must be a finite number of 0 or more, not -2`,
			`0.toml:23: caller[0].priority: must be 0, 1 or 2, where 0 comes first, not 9`,
			`1.toml:1: caller[0]: "desk" is already defined at 0.toml:18; set override = true to replace it`,
			`2.toml:4: caller[0].burst: is 4, but requires a rate above 0 for the same caller`,
			`3.toml:6: route[0].callers: caller "nobody" is not defined`,
		}))
	})

	It("is shown by Diff", func() {
		before, after := merged(callerFile), merged(callerWith("rate = 2000000", "priority = 0"))
		Expect(bundle.Diff(before, after)).To(ConsistOf(HaveField("String()",
			"changed caller desk: rate 0 -> 2000000, burst 0 -> 2000000, priority 1 -> 0")))
		Expect(bundle.Diff(before, merged(callerWith("priority = 1")))).To(BeEmpty())
	})

	It("is checked in a stored bundle too, with the same name twice", func() {
		caller := bundle.Caller{Name: "desk", Verifier: exampleVerifier, Weight: 1, MaxConnections: 1, Burst: 2}
		problems := bundle.Check(&bundle.Bundle{Callers: []bundle.Caller{caller, caller}})
		Expect(problems).To(ConsistOf(
			HaveField("Key", "caller[0].burst"), HaveField("Key", "caller[1].burst"), HaveField("Key", "caller[1].name")))
	})
})

// A name with a line end would end the line that an upstream reads, and what
// follows would be read as a line of its own.
var _ = DescribeTable("the name of a caller is rejected if it is not one word of a line",
	func(name string) {
		quoted, err := json.Marshal(name)
		Expect(err).NotTo(HaveOccurred())
		Expect(model.CallerName(name).FitsLine()).To(BeFalse())
		_, problems := bundle.Merge(files(strings.Replace(callerFile, `"desk"`, string(quoted), 1)))
		Expect(lines(problems)).To(ConsistOf(HavePrefix("0.toml:2: caller[0].name: must have 1 to 63 letters")))
	},
	Entry("empty", ""),
	Entry("a blank", "front desk"),
	Entry("a tabulator", "front\tdesk"),
	Entry("a line feed at the end", "desk\n"),
	Entry("a carriage return", "desk\rx"),
	Entry("a control character", "desk\x01"),
	Entry("a blank beyond ASCII", "front\u00a0desk"),
	Entry("a line separator", "front\u2028desk"),
)

var _ = It("one account of the example folder has a rate", func() {
	b, problems := bundle.Merge(folder("tregwynt"))
	Expect(problems).To(BeEmpty())
	caller, ok := b.Caller("shipping-desk")
	Expect(ok).To(BeTrue())
	Expect(caller.Policy()).To(Equal(model.CallerPolicy{Name: "shipping-desk", Rate: 200, Burst: 400, Priority: 2}))
	other, ok := b.Caller("crane-planner")
	Expect(ok).To(BeTrue())
	Expect(other.Policy().Limited()).To(BeFalse())
})
