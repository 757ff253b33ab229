package operator

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/platform/platformfake"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/admin"
)

// shows starts an instance with the callers in its status and returns its line in
// the list of peers.
func shows(id model.InstanceID, revision model.Revision, callers admin.CallersStatus) admin.PeerStatus {
	shown := &instance{status: admin.Status{Instance: id, Revision: revision, Callers: callers}}
	return admin.PeerStatus{ID: id, Live: true, Admin: shown.listen()}
}

// listed returns a status with one caller.
func listed(rate float64, usage *admin.CallerUsage) admin.CallersStatus {
	return admin.CallersStatus{Listed: []admin.CallerStatus{
		{Name: "desk", Rate: rate, Burst: rate, Priority: 1, Weight: 2, Usage: usage},
	}}
}

var _ = Describe("gypsumctl with callers", func() {
	var line *commandLine

	BeforeEach(func() { line = &commandLine{fake: platformfake.New()} })

	// status runs gypsumctl status on an instance with callers and its peers.
	status := func(first admin.CallersStatus, peers ...admin.PeerStatus) string {
		asked := &instance{status: admin.Status{Instance: "i1", Revision: 1, Peers: peers, Callers: first}}
		Expect(line.run("--instance", asked.listen(), "status")).To(Equal(ExitOK))
		return line.stdout.String()
	}

	It("sums up the use of a caller over the instances that report it", func() {
		out := status(listed(20, &admin.CallerUsage{UsedPerSecond: 4, Refused: 1, Limit: 20}),
			shows("i2", 1, listed(20, &admin.CallerUsage{UsedPerSecond: 5.5, Refused: 2, Limit: 20})),
			shows("i3", 1, listed(20, nil)))
		Expect(out).To(MatchRegexp(`CALLER +PRIORITY +WEIGHT +RATE +BURST +LIMIT IN FORCE +USED/S +REFUSED +REPORTED BY\n`))
		Expect(out).To(MatchRegexp(`\ndesk +1 +2 +20 +20 +20 +9.5 +3 +2 of 3\n`))
	})

	It("shows the rate of the newest revision, and each limit in force while they differ", func() {
		out := status(listed(20, &admin.CallerUsage{UsedPerSecond: 1, Limit: 20}),
			shows("i2", 2, listed(5, &admin.CallerUsage{UsedPerSecond: 1, Limit: 5})))
		Expect(out).To(MatchRegexp(`\ndesk +1 +2 +5 +5 +5 to 20 +2.0 +0 +2 of 2\n`))
	})

	It("says that the use is unknown, and that a caller has no limit", func() {
		out := status(listed(0, nil))
		Expect(out).To(MatchRegexp(`\ndesk +1 +2 +none +0 +unknown +unknown +unknown +0 of 1\n`))
	})

	It("shows the callers that are not listed in one line", func() {
		callers := listed(20, nil)
		callers.Rest = &admin.OtherCallers{
			Count: 7, Unlimited: 3, Rate: 40, Usage: &admin.CallerUsage{UsedPerSecond: 2, Refused: 9, Limit: 40},
		}
		Expect(status(callers)).To(MatchRegexp(`\n7 others \(3 without a limit\) +- +- +40 +- +40 +2.0 +9 +1 of 1\n`))
	})

	It("counts the callers with a rate in the output of check", func() {
		Expect(line.run("check", example)).To(Equal(ExitOK))
		Expect(line.stdout.String()).To(HaveSuffix("\nrate limits: 1 of 3 callers, 200 operations per second together\n"))
		Expect(line.run("--output", "json", "check", example)).To(Equal(ExitOK))
		var shown checkResult
		Expect(json.Unmarshal(line.stdout.Bytes(), &shown)).To(Succeed())
		Expect(shown.LimitedCallers).To(Equal(1))
		Expect(shown.TotalRate).To(Equal(200.0))
		Expect(line.run("check", "../../examples/lankapower")).To(Equal(ExitOK))
		Expect(line.stdout.String()).NotTo(ContainSubstring("rate limits"))
	})

	It("reports a problem of a rate with file and line, and applies nothing", func() {
		dir := GinkgoT().TempDir()
		copyFolder(example, dir)
		file := filepath.Join(dir, "90-rate.toml")
		Expect(os.WriteFile(file, []byte("[[caller]]\nname = \"shipping-desk\"\nrate = -3\n"), 0o600)).To(Succeed())
		for _, command := range []string{"check", "diff", "apply"} {
			Expect(line.run(command, dir)).To(Equal(ExitUsage))
			Expect(line.stderr.String()).To(ContainSubstring(file + ":1: caller[0]: \"shipping-desk\" is already defined at"))
		}
		Expect(os.WriteFile(file, []byte("[[caller]]\nname = \"new\"\nrate = -3\n"), 0o600)).To(Succeed())
		for _, command := range []string{"check", "diff", "apply"} {
			Expect(line.run(command, dir)).To(Equal(ExitUsage))
			Expect(line.stderr.String()).To(ContainSubstring(file + ":3: caller[0].rate: must be a finite number of 0 or more, not -3"))
		}
		Expect(line.run("history")).To(Equal(ExitOK))
		Expect(strings.Count(line.stdout.String(), "\n")).To(Equal(1))
	})

	// A verifier can be attacked offline, so it is as secret as the password.
	DescribeTable("shows no verifier and no upstream password, also where one has changed or is malformed",
		func(output string) {
			var shown strings.Builder
			run := func(expected int, args ...string) {
				Expect(line.run(append([]string{"--output", output}, args...)...)).To(Equal(expected))
				shown.WriteString(line.stdout.String() + line.stderr.String())
			}
			dir := GinkgoT().TempDir()
			copyFolder(example, dir)
			run(ExitOK, "check", dir)
			run(ExitOK, "apply", dir)
			callers := filepath.Join(dir, "20-callers.toml")
			text, err := os.ReadFile(callers)
			Expect(err).NotTo(HaveOccurred())
			changed := strings.NewReplacer("VAviIj4+", "VAviIj5+", "rate = 200", "rate = 100").Replace(string(text))
			Expect(changed).NotTo(Equal(string(text)))
			Expect(os.WriteFile(callers, []byte(changed), 0o600)).To(Succeed())
			run(ExitOK, "diff", dir)
			run(ExitOK, "apply", dir)
			run(ExitOK, "history")
			Expect(shown.String()).To(And(ContainSubstring("verifier"), ContainSubstring("rate")))
			malformed := strings.ReplaceAll(changed, "SCRAM-SHA-256$", "SCRAM-SHA-1$")
			Expect(os.WriteFile(callers, []byte(malformed), 0o600)).To(Succeed())
			run(ExitUsage, "check", dir)
			asked := &instance{status: admin.Status{Instance: "i1", Callers: listed(20, nil)}}
			run(ExitOK, "--instance", asked.listen(), "status")
			Expect(shown.String()).To(ContainSubstring("desk"))
			for _, secret := range []string{"4096:", "VAviIj", "RCT0r", "xARdDzTo1", "eJxg/2pZ", `"example"`} {
				Expect(shown.String()).NotTo(ContainSubstring(secret))
			}
		},
		Entry("as text", "text"),
		Entry("as JSON", "json"),
	)
})
