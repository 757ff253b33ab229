package settings_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

// minimal is the shortest valid settings file.
const minimal = `[instance]
region = "cymru-south"
data_centre = "quay-east"
[platform]
address = "127.0.0.1:9000"
`

// lines formats each problem as a line.
func lines(problems []settings.Problem) []string {
	var all []string
	for _, problem := range problems {
		all = append(all, problem.String())
	}
	return all
}

var _ = Describe("Parse", func() {
	It("applies a minimal file over the defaults", func() {
		parsed, problems := settings.Parse("i.toml", []byte(minimal+"[permits]\nlifetime = \"4s\"\n"))
		Expect(problems).To(BeEmpty())
		Expect(parsed.Permits.Lifetime).To(Equal(4 * time.Second))
		Expect(parsed.Admin.Listen).To(HavePrefix("127.0.0.1:"))
	})

	It("reports every problem at once, each on one line", func() {
		text := `[instance]
region = 7
data_centre = "quay east"
hostname = "a"
[callers]
listen = "localhost:5432"
tls_key = "key.pem"
startup_timeout = "soon"
max_connections = 0
max_connections = 1
[mesh]
peers = ["10.0.0.1:0", 5]
[platform]
address = "10.0.0.9:80"
[permits]
read_interval = "2s"
[log]
format = "xml"
[[traces]]
sample_ratio = 2
`
		_, problems := settings.Parse("i.toml", []byte(text))
		Expect(lines(problems)).To(ConsistOf(
			`i.toml:2: instance.region: must be a string`,
			`i.toml:3: instance.data_centre: must have 1 to 63 letters, digits, '-', '_' or '.', not "quay east"`,
			`i.toml:4: instance.hostname: unknown key; allowed are id, region, data_centre`,
			`i.toml:5: callers.tls_certificate: must name a file, as the other files of this listener are given`,
			`i.toml:6: callers.listen: must be IP:port, not "localhost:5432"`,
			`i.toml:8: callers.startup_timeout: must be a duration such as "250ms", not "soon"`,
			`i.toml:10: callers.max_connections: given twice, first on line 9`,
			`i.toml:12: mesh.peers[0]: must be IP:port with a port above 0 and an IP of one machine, not "10.0.0.1:0"`,
			`i.toml:12: mesh.peers[1]: must be a string`,
			`i.toml:16: permits.read_interval: must be from 10ms to 1.5s, not 2s`,
			`i.toml:18: log.format: must be one of ["json" "text"], not "xml"`,
			`i.toml:19: traces: must be a table, not an array of tables`,
		))
	})

	It("reports the line of a syntax error", func() {
		_, problems := settings.Parse("i.toml", []byte(minimal+"listen = = 1\n"))
		Expect(lines(problems)).To(ConsistOf(HavePrefix("i.toml:6: not valid TOML")))
	})
})

var _ = Describe("Load", func() {
	It("reads a secret from its file and masks it in all output", func() {
		dir := GinkgoT().TempDir()
		token := filepath.Join(dir, "token")
		Expect(os.WriteFile(token, []byte("s3cr3t\n"), 0o600)).To(Succeed())
		file := filepath.Join(dir, "i.toml")
		Expect(os.WriteFile(file, []byte(minimal+"token_file = \""+token+"\"\n"), 0o600)).To(Succeed())
		loaded, problems := settings.Load(file)
		Expect(problems).To(BeEmpty())
		Expect(loaded.Platform.Token.Reveal()).To(Equal("s3cr3t"))
		Expect(fmt.Sprintf("%v %+v %#v", loaded, loaded, loaded)).NotTo(ContainSubstring("s3cr3t"))
		var out bytes.Buffer
		Expect(loaded.WriteEffective(&out)).To(Succeed())
		Expect(out.String()).NotTo(ContainSubstring("s3cr3t"))
	})

	It("reports files that are missing", func() {
		_, problems := settings.Load(filepath.Join(GinkgoT().TempDir(), "none.toml"))
		Expect(problems).To(HaveLen(1))
	})
})

var _ = Describe("WriteEffective", func() {
	It("prints TOML that reads back as the same settings", func() {
		parsed, problems := settings.Parse("i.toml", []byte(minimal+"[mesh]\npeers = [\"10.0.0.1:1\"]\n"))
		Expect(problems).To(BeEmpty())
		var out bytes.Buffer
		Expect(parsed.WriteEffective(&out)).To(Succeed())
		again, problems := settings.Parse("effective", out.Bytes())
		Expect(problems).To(BeEmpty())
		Expect(again).To(Equal(parsed))
	})
})

var _ = Describe("the example", func() {
	It("lists every key with its default value", func() {
		path := "../../examples/settings/instance.toml"
		loaded, problems := settings.Load(path)
		Expect(problems).To(BeEmpty())
		expected := settings.Defaults()
		expected.Instance.Region, expected.Instance.DataCentre = "cymru-south", "quay-east"
		expected.Platform.Address = "127.0.0.1:9000"
		Expect(loaded).To(Equal(expected))
		text, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		var effective bytes.Buffer
		Expect(loaded.WriteEffective(&effective)).To(Succeed())
		Expect(keys(string(text))).To(Equal(keys(effective.String())))
	})
})

// keys returns the table headers and keys of TOML text, in order.
func keys(text string) []string {
	var all []string
	for line := range strings.Lines(text) {
		key, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		if key != "" && key != "#" {
			all = append(all, key)
		}
	}
	return all
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte("[[instance]]\nid.x = {a = [1, {b = 2}]}\n"))
	f.Add([]byte("instance = {id = \"a\", id = 0x1}\n[mesh]\npeers = [[\"a\"]]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, problems := settings.Parse("fuzz", data)
		if (parsed == nil) != (len(problems) > 0) {
			t.Fatal("Parse must return either settings or problems")
		}
	})
}
