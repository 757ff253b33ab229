package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/xdg-go/scram"

	"gypsumdock/pkg/coordination/platform/platformfake"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/admin"
)

const example = "../../examples/tregwynt"

// instance serves an admin listener with a status that the test sets.
type instance struct{ status admin.Status }

func (i *instance) Status() admin.Status { return i.status }

func (i *instance) Switch(_ context.Context, group model.GroupID, target model.UpstreamID) error {
	i.status.Groups = []admin.GroupStatus{{ID: group, Primary: target, Generation: 2}}
	return nil
}

// listen starts the admin listener and returns its address.
func (i *instance) listen() string {
	server := httptest.NewServer(admin.NewHandler(i))
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// commandLine runs gypsumctl against a fake platform and records its output.
type commandLine struct {
	fake           *platformfake.Platform
	stdin          string
	stdout, stderr bytes.Buffer
}

func (c *commandLine) run(args ...string) int {
	c.stdout.Reset()
	c.stderr.Reset()
	a := &app{
		ctx: context.Background(),
		env: Env{Stdin: strings.NewReader(c.stdin), Stdout: &c.stdout, Stderr: &c.stderr},
	}
	a.newPublisher = func() (*Publisher, error) { return publisherOf(c.fake, "ann"), nil }
	return a.run(args)
}

var _ = Describe("gypsumctl", func() {
	var line *commandLine

	BeforeEach(func() { line = &commandLine{fake: platformfake.New()} })

	It("states the exit codes in its help", func() {
		Expect(line.run("--help")).To(Equal(ExitOK))
		Expect(line.stdout.String()).To(ContainSubstring("3 another operator's revision came between"))
	})

	It("reports file and line of a problem in a folder and changes nothing", func() {
		dir := GinkgoT().TempDir()
		file := filepath.Join(dir, "10.toml")
		Expect(os.WriteFile(file, []byte("[[group]]\nid = 5\n"), 0o600)).To(Succeed())
		Expect(line.run("apply", dir)).To(Equal(ExitUsage))
		Expect(line.stderr.String()).To(ContainSubstring(file + ":2: group[0].id: must be a string"))
		Expect(line.run("--output", "json", "check", dir)).To(Equal(ExitUsage))
		var shown failure
		Expect(json.Unmarshal(line.stderr.Bytes(), &shown)).To(Succeed())
		Expect(shown.Problems).To(ContainElement(bundle.Problem{File: file, Line: 2, Key: "group[0].id", Reason: "must be a string"}))
		Expect(line.run("history")).To(Equal(ExitOK))
		Expect(strings.Count(line.stdout.String(), "\n")).To(Equal(1))
	})

	It("reports which instances have adopted the revision", func() {
		first := &instance{status: admin.Status{Instance: "i1", Revision: 1, Peers: []admin.PeerStatus{
			{ID: "i2", Revision: 1, Live: true},
			{ID: "i3", Revision: 0, Live: true},
			{ID: "i4", Revision: 0, Live: false},
		}}}
		address := first.listen()
		Expect(line.run("--instance", address, "--wait", "1ms", "apply", example)).To(Equal(ExitIncomplete))
		Expect(line.stdout.String()).To(MatchRegexp(`i1 +1 +yes\ni2 +1 +yes\ni3 +0 +no\n`))
		first.status.Peers[1].Revision = 1
		Expect(line.run("--instance", address, "--output", "json", "apply", example)).To(Equal(ExitOK))
		var applied applyResult
		Expect(json.Unmarshal(line.stdout.Bytes(), &applied)).To(Succeed())
		Expect(applied.Unchanged).To(BeTrue())
		Expect(applied.Rollout.missing()).To(BeZero())
	})

	It("applies only if the active revision is the one given by --base", func() {
		Expect(line.run("apply", "--base", "4", example)).To(Equal(ExitConflict))
		Expect(line.run("apply", "--base", "0", example)).To(Equal(ExitOK))
		Expect(line.run("apply", "--base", "0", "../../examples/lankapower")).To(Equal(ExitConflict))
	})

	It("refuses to apply a tracked folder over a later revision of another operator", func() {
		mine, other := GinkgoT().TempDir(), "../../examples/lankapower"
		copyFolder(example, mine)
		Expect(line.run("apply", "--track", mine)).To(Equal(ExitOK))
		Expect(line.run("apply", other)).To(Equal(ExitOK))
		Expect(line.run("apply", mine)).To(Equal(ExitConflict))
		Expect(line.stderr.String()).To(ContainSubstring("revision 2 by ann came after revision 1"))
		Expect(line.run("apply", "--base", "2", mine)).To(Equal(ExitOK))
		Expect(line.run("apply", mine)).To(Equal(ExitOK))
		Expect(os.WriteFile(filepath.Join(mine, baseFile), []byte("western-lk 3\n"), baseMode)).To(Succeed())
		Expect(line.run("apply", mine)).To(Equal(ExitUsage))
	})

	It("switches a group and waits until the switch is complete", func() {
		address := (&instance{}).listen()
		Expect(line.run("--instance", address, "group", "switch", "plugs", "b")).To(Equal(ExitOK))
		Expect(line.stdout.String()).To(Equal("group plugs: primary b, generation 2\n"))
		Expect(line.run("--instance", address, "group", "show", "plugs")).To(Equal(ExitOK))
		Expect(line.run("--instance", address, "group", "show", "none")).To(Equal(ExitFailed))
	})

	It("also queries the peers of the given instance", func() {
		second := &instance{status: admin.Status{Instance: "i2", Revision: 5}}
		first := &instance{status: admin.Status{Instance: "i1", Peers: []admin.PeerStatus{
			{ID: "i2", Live: true, Admin: second.listen()},
			{ID: "i3", Live: true, Admin: "127.0.0.1:1"},
		}}}
		Expect(line.run("--instance", first.listen(), "--output", "json", "status")).To(Equal(ExitOK))
		var shown statusResult
		Expect(json.Unmarshal(line.stdout.Bytes(), &shown)).To(Succeed())
		Expect(shown.Instances).To(HaveLen(2))
		Expect(shown.Instances[1].Revision).To(Equal(model.Revision(5)))
	})

	It("fails when an instance does not answer", func() {
		server := httptest.NewServer(nil)
		address := strings.TrimPrefix(server.URL, "http://")
		server.Close()
		Expect(line.run("--instance", address, "status")).To(Equal(ExitFailed))
		Expect(line.run("--instance", address, "--wait", "1ms", "group", "switch", "plugs", "b")).To(Equal(ExitOutcomeUnknown))
	})

	It("creates a verifier that accepts only its password", func() {
		line.stdin = "pass wort\n"
		Expect(line.run("verifier")).To(Equal(ExitOK))
		verifier, err := bundle.ParseVerifier(strings.TrimSpace(line.stdout.String()))
		Expect(err).NotTo(HaveOccurred())
		Expect(logsIn(verifier, "pass wort")).To(BeTrue())
		Expect(logsIn(verifier, "other")).To(BeFalse())
	})
})

// copyFolder copies the TOML files of a directory to another.
func copyFolder(from, to string) {
	paths, err := filepath.Glob(filepath.Join(from, "*.toml"))
	Expect(err).NotTo(HaveOccurred())
	for _, path := range paths {
		data, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(filepath.Join(to, filepath.Base(path)), data, 0o600)).To(Succeed())
	}
}

// logsIn reports whether a SCRAM login with the password succeeds against the
// verifier.
func logsIn(verifier bundle.Verifier, password string) bool {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: string(verifier.Salt), Iters: verifier.Iterations},
			StoredKey:  verifier.StoredKey,
			ServerKey:  verifier.ServerKey,
		}, nil
	})
	Expect(err).NotTo(HaveOccurred())
	client, err := scram.SHA256.NewClient("desk", password, "")
	Expect(err).NotTo(HaveOccurred())
	clientSide, serverSide := client.NewConversation(), server.NewConversation()
	message := ""
	for !serverSide.Done() {
		if message, err = clientSide.Step(message); err != nil {
			return false
		}
		if message, err = serverSide.Step(message); err != nil {
			return false
		}
	}
	return serverSide.Valid()
}
