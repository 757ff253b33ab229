package bundle_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

func TestBundle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bundle")
}

const exampleVerifier = "SCRAM-SHA-256$4096:" +
	"AAAAAAAAAAAAAAAAAAAAAA==$" +
	"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:" +
	"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

const groupFile = `[[group]]
id = "plugs"
database = "plugs"
user = "u"
password = "hidden"
[[group.upstream]]
id = "a"
address = "127.0.0.1:1"
data_centre = "east"
slots = 2
connections = 16
[[group.upstream]]
id = "b"
address = "127.0.0.1:2"
data_centre = "west"
slots = 2
connections = 16
`

const callerFile = "[[caller]]\nname = \"desk\"\nverifier = \"" + exampleVerifier + "\"\n"

const routeFile = "[[route]]\nname = \"r\"\ngroup = \"plugs\"\ntag = \"t\"\nread_only = true\n"

func files(texts ...string) []bundle.File {
	var all []bundle.File
	for i, text := range texts {
		all = append(all, bundle.File{Name: fmt.Sprintf("%d.toml", i), Data: []byte(text)})
	}
	return all
}

func lines(problems []bundle.Problem) []string {
	return strings.Split(strings.TrimSpace(bundle.FormatProblems(problems)), "\n")
}

func merged(texts ...string) *bundle.Bundle {
	b, problems := bundle.Merge(files(texts...))
	Expect(problems).To(BeEmpty())
	return b
}

func folder(name string) []bundle.File {
	paths, err := filepath.Glob("../../../examples/" + name + "/*.toml")
	Expect(err).NotTo(HaveOccurred())
	var all []bundle.File
	for _, path := range paths {
		data, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		all = append(all, bundle.File{Name: filepath.Base(path), Data: data})
	}
	return all
}

var _ = Describe("Merge", func() {
	It("merges files in the order of their names, not of the argument", func() {
		ordered := files(groupFile, callerFile, routeFile)
		reversed := slices.Clone(ordered)
		slices.Reverse(reversed)
		one, problems := bundle.Merge(ordered)
		Expect(problems).To(BeEmpty())
		other, problems := bundle.Merge(reversed)
		Expect(problems).To(BeEmpty())
		_, digest, err := bundle.Encode(one)
		Expect(err).NotTo(HaveOccurred())
		_, again, err := bundle.Encode(other)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(digest))
	})

	It("reports every problem of every file at once", func() {
		_, problems := bundle.Merge(files(
			groupFile+"[[group]]\nid = \"plugs\"\ncolour = 1\n",
			callerFile,
			"[[caller]]\nname = \"desk\"\nverifier = \"secret\"\nweight = 0\n",
			routeFile+"max_age = \"2h\"\nwait_replicas = 1\ncallers = [\"none\"]\n",
			"[[route]]\nname = \"r2\"\ngroup = \"none\"\nmax_age = \"1s\"\ndeadline = 5\n",
			"leaving = [\"z\"]\n",
		))
		Expect(lines(problems)).To(Equal([]string{
			`0.toml:18: group[1]: "plugs" is defined twice in this file, first on line 1`,
			`0.toml:20: group[1].colour: unknown key; allowed are id, override, remove, database, user, password, primary, timeline, upstream`,
			`2.toml:1: caller[0]: "desk" is already defined at 1.toml:1; set override = true to replace it`,
			`3.toml:6: route[0].max_age: must be from 0s to 1h0m0s, not 2h0m0s`,
			`3.toml:7: route[0].wait_replicas: must be 0 if read_only = true, as a read is not replicated`,
			`3.toml:8: route[0].callers: caller "none" is not defined`,
			`4.toml:3: route[0].group: group "none" is not defined`,
			`4.toml:4: route[0].max_age: requires read_only = true, as only a read can accept stale data`,
			`4.toml:5: route[0].deadline: must be a duration such as "250ms"`,
			`5.toml:1: leaving[0]: no group has an upstream "z"`,
		}))
	})

	It("lets a later file override and remove entries and mark upstreams as leaving", func() {
		before := merged(groupFile, callerFile, routeFile)
		after := merged(groupFile, callerFile, routeFile,
			"leaving = [\"b\"]\n[[route]]\nname = \"r\"\nremove = true\n"+strings.Replace(callerFile, "]]\n", "]]\noverride = true\nweight = 9\n", 1))
		Expect(after.Routes).To(BeEmpty())
		Expect(bundle.Diff(before, after)).To(ConsistOf(
			HaveField("String()", "removed route r"),
			HaveField("String()", "changed upstream b: leaving false -> true"),
			HaveField("String()", "changed caller desk: weight 1 -> 9"),
		))
	})

	It("rejects the removal of an entry that no earlier file defines", func() {
		_, problems := bundle.Merge(files("[[group]]\nid = \"g\"\nremove = true\n"))
		Expect(lines(problems)).To(ConsistOf(ContainSubstring("nothing to override or remove")))
	})

	It("rejects two routes that match the same statements", func() {
		_, problems := bundle.Merge(files(groupFile, callerFile, routeFile, strings.Replace(routeFile, `"r"`, `"s"`, 1)))
		Expect(lines(problems)).To(ConsistOf(HavePrefix(`3.toml:1: route[0]: matches the same statements as route "r"`)))
	})

	It("rejects an upstream in two groups, and a connection limit without the reserve", func() {
		second := strings.NewReplacer(`"plugs"`, `"other"`, `connections = 16`, `connections = 3`).Replace(groupFile)
		_, problems := bundle.Merge(files(groupFile, second))
		Expect(lines(problems)).To(ContainElements(
			`0.toml:7: group[0].upstream[0].id: "a" is already an upstream of group "other"`,
			`1.toml:11: group[0].upstream[0].connections: must be from 4 to 100000, not 3`,
		))
	})
})

var _ = Describe("Diff", func() {
	It("masks secrets", func() {
		before := merged(groupFile)
		after := merged(strings.Replace(groupFile, "hidden", "changed", 1))
		changes := fmt.Sprint(bundle.Diff(before, after), after.Groups)
		Expect(changes).To(ContainSubstring("password"))
		Expect(changes).NotTo(Or(ContainSubstring("hidden"), ContainSubstring("changed to")))
		Expect(changes).NotTo(ContainSubstring("-> changed"))
	})

	It("logs no secret of a bundle or its entries", func() {
		b := merged(groupFile, callerFile)
		var out bytes.Buffer
		for _, logger := range []*slog.Logger{slog.New(slog.NewJSONHandler(&out, nil)), slog.New(slog.NewTextHandler(&out, nil))} {
			logger.Info("logged", "bundle", b, "group", b.Groups[0], "caller", &b.Callers[0])
		}
		fmt.Fprintf(&out, "%v %+v", b, b.Callers)
		Expect(out.String()).To(ContainSubstring("desk"))
		Expect(out.String()).NotTo(Or(ContainSubstring("hidden"), ContainSubstring("SCRAM")))
	})
})

var _ = Describe("RouteFor", func() {
	It("prefers a route with the tag, then one that names the caller", func() {
		b := merged(groupFile, callerFile, routeFile,
			"[[route]]\nname = \"any\"\ngroup = \"plugs\"\n[[route]]\nname = \"desk\"\ngroup = \"plugs\"\ncallers = [\"desk\"]\n")
		chosen := func(tag string, caller model.CallerName) string {
			route, ok := b.RouteFor("plugs", tag, caller)
			Expect(ok).To(BeTrue())
			return route.Name
		}
		Expect(chosen("t", "desk")).To(Equal("r"))
		Expect(chosen("u", "desk")).To(Equal("desk"))
		Expect(chosen("u", "other")).To(Equal("any"))
	})
})

var _ = Describe("Decode", func() {
	It("accepts only data that matches the digest and passes the checks", func() {
		data, digest, err := bundle.Encode(merged(groupFile))
		Expect(err).NotTo(HaveOccurred())
		decoded, err := bundle.Decode(data, digest)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded).To(Equal(merged(groupFile)))
		_, err = bundle.Decode(append(data, ' '), digest)
		Expect(err).To(HaveOccurred())
		bad, badDigest, err := bundle.Encode(&bundle.Bundle{Groups: []bundle.Group{{ID: "g"}}})
		Expect(err).NotTo(HaveOccurred())
		_, err = bundle.Decode(bad, badDigest)
		Expect(err).To(HaveOccurred())
	})
})

var _ = DescribeTable("the example folders are valid",
	func(name string, slots, connections int) {
		b, problems := bundle.Merge(folder(name))
		Expect(lines(problems)).To(Equal([]string{""}))
		Expect(b.Groups).To(HaveLen(3))
		for _, group := range b.Groups {
			Expect(group.Upstreams).To(HaveLen(3))
			for _, upstream := range group.Upstreams {
				Expect(upstream.Slots).To(Equal(slots))
				Expect(upstream.Connections).To(Equal(connections))
			}
		}
	},
	Entry("tregwynt", "tregwynt", 2, 16),
	Entry("lankapower", "lankapower", 5, 55),
)

var _ = Describe("docs/OPERATING.md", func() {
	It("shows a configuration that is valid except for the omitted verifier", func() {
		page, err := os.ReadFile("../../../docs/OPERATING.md")
		Expect(err).NotTo(HaveOccurred())
		_, rest, _ := strings.Cut(string(page), "```toml\n")
		text, _, found := strings.Cut(rest, "```")
		Expect(found).To(BeTrue())
		_, problems := bundle.Merge(files(text))
		Expect(lines(problems)).To(ConsistOf(ContainSubstring("caller[0].verifier")))
	})
})

func FuzzMerge(f *testing.F) {
	f.Add([]byte(groupFile), []byte(callerFile+routeFile))
	f.Add([]byte(groupFile), []byte("leaving = [\"b\"]\n[[group]]\nid = \"plugs\"\nremove = true\n"))
	f.Add([]byte("group = [{id = \"g\", upstream = [{}]}]\n"), []byte("[group.upstream]\n"))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		b, problems := bundle.Merge(files(string(first), string(second)))
		if (b == nil) != (len(problems) > 0) {
			t.Fatal("Merge must return either a bundle or problems")
		}
		if b == nil {
			return
		}
		data, digest, err := bundle.Encode(b)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := bundle.Decode(data, digest); err != nil {
			t.Fatal(err)
		}
	})
}
