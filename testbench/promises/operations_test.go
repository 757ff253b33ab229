package promises_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/cluster"
	"gypsumdock/testbench/history"
	"gypsumdock/testbench/platformd"
	"gypsumdock/testbench/profile"
	"gypsumdock/testbench/upstreamd"
)

// The exit codes of gypsumctl that the tests look at.
const (
	exitDone     = 0
	exitConflict = 3
)

// leavingTime is the time after which a leaving upstream gets nothing new.
const leavingTime = 5 * time.Second

// change copies the operators' folder with one more file.
func (w *world) change(name, text string) string {
	GinkgoHelper()
	folder := GinkgoT().TempDir()
	for _, file := range []string{profile.GroupsFile, profile.CallersFile, profile.RoutesFile} {
		data, err := os.ReadFile(filepath.Join(w.Folder, file))
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(filepath.Join(folder, file), data, 0o644)).To(Succeed())
	}
	Expect(os.WriteFile(filepath.Join(folder, name), []byte(text), 0o644)).To(Succeed())
	return folder
}

// workOn counts the statements of callers that an upstream executed.
func (w *world) workOn(ctx context.Context, upstream string) int {
	GinkgoHelper()
	all, err := w.Upstreams.Status(ctx)
	Expect(err).NotTo(HaveOccurred())
	for _, status := range all {
		if status.Upstream == upstream {
			return int(status.Reads + status.Writes)
		}
	}
	Fail("no upstream " + upstream)
	return 0
}

var _ = Describe("a leaving upstream gets no new work after a few seconds", func() {
	It("also while the platform is slow", func(ctx context.Context) {
		w := start(ctx, quick())
		running := w.run(ctx, nil)
		awaitWrites(running)
		leaving := w.group().Upstreams[1].ID
		work := func() int { return w.workOn(ctx, leaving) }
		Eventually(work, recoverTimeout).Should(BeNumerically(">", 0), "the upstream had no work before")
		Expect(w.Platform.SetFaults(ctx, platformd.Faults{BeforeMS: 200})).To(Succeed())
		output, code, err := w.ApplyFolder(ctx, w.change("50-leaving.toml", fmt.Sprintf("leaving = [%q]\n", leaving)))
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(exitDone), output)
		time.Sleep(leavingTime)
		before := w.workOn(ctx, leaving)
		awaitWrites(running)
		Expect(w.workOn(ctx, leaving)).To(Equal(before))
		w.check(ctx, running)
	})
})

var _ = Describe("a planned stop cuts no request in flight", func() {
	It("finishes statements and transactions, and exits with 0", func(ctx context.Context) {
		w := start(ctx, quick())
		running := w.run(ctx, nil)
		awaitWrites(running)
		stopping := w.Instances[0]
		tx, err := w.dial(ctx, 0, "in-transaction").Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		value := history.Value{Key: "in-transaction", Session: "in-transaction", Number: 1}.String()
		_, err = tx.Exec(ctx, upsert, "in-transaction", value)
		Expect(err).NotTo(HaveOccurred())
		slow := make(chan error, 1)
		sleeper := w.dial(ctx, 0, "sleeper")
		go func() {
			_, err := sleeper.Exec(ctx, "SELECT pg_sleep(2)")
			slow <- err
		}()
		Eventually(func() int { return w.busySlots(ctx) }, recoverTimeout).Should(BeNumerically(">", 0))
		Expect(stopping.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(func() bool { return stopping.Ready(ctx) }, recoverTimeout).Should(BeFalse())
		_, err = tx.Exec(ctx, upsert, "in-transaction", value)
		Expect(err).NotTo(HaveOccurred(), "a statement of an open transaction was cut")
		Expect(tx.Commit(ctx)).To(Succeed())
		Expect(<-slow).NotTo(HaveOccurred())
		Eventually(stopping.Done(), recoverTimeout).Should(BeClosed())
		Expect(stopping.ExitCode()).To(BeZero())
		awaitWrites(running)
		w.check(ctx, running)
		for _, op := range running.Log.Ops() {
			Expect(op.Outcome).NotTo(Equal(history.OutcomeUnknown), "%s was cut: %s", op.Value, op.Error)
		}
	})
})

var _ = Describe("a stop that is not planned", func() {
	It("cuts requests in flight, which the test of the planned stop would find", func(ctx context.Context) {
		w := start(ctx, quick())
		slow := make(chan error, 1)
		sleeper := w.dial(ctx, 0, "sleeper")
		go func() {
			_, err := sleeper.Exec(ctx, "SELECT pg_sleep(2)")
			slow <- err
		}()
		Eventually(func() int { return w.busySlots(ctx) }, recoverTimeout).Should(BeNumerically(">", 0))
		Expect(w.Instances[0].Kill()).To(Succeed())
		Expect(<-slow).To(HaveOccurred())
	})
})

func (w *world) busySlots(ctx context.Context) int {
	GinkgoHelper()
	all, err := w.Upstreams.Status(ctx)
	Expect(err).NotTo(HaveOccurred())
	busy := 0
	for _, status := range all {
		if status.Group == w.group().ID {
			busy += status.SlotsBusy
		}
	}
	return busy
}

// revisions asks instances for their revision.
func revisions(ctx context.Context, instances ...*cluster.Instance) ([]uint64, error) {
	var all []uint64
	for _, instance := range instances {
		status, err := instance.Status(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, status.Revision)
	}
	return all, nil
}

// raceOutcome is how an operator's command ended.
type raceOutcome struct {
	code   int
	output string
}

// race lets two operators apply different folders at once, from the revision
// base, and returns the exit codes.
func (w *world) race(ctx context.Context, base uint64) []int {
	GinkgoHelper()
	folders := []string{
		w.change("50-a.toml", extraRoute("a", w.group())),
		w.change("50-b.toml", extraRoute("b", w.group())),
	}
	outcomes := make(chan raceOutcome, len(folders))
	for _, folder := range folders {
		go func() {
			output, code, err := w.ApplyFolder(ctx, folder, "--base", fmt.Sprint(base))
			if err != nil {
				code, output = -1, err.Error()
			}
			outcomes <- raceOutcome{code, output}
		}()
	}
	codes := []int{}
	for range folders {
		outcome := <-outcomes
		AddReportEntry("operator", outcome.output)
		codes = append(codes, outcome.code)
	}
	return codes
}

var _ = Describe("an accepted configuration is in force everywhere and never reverts", func() {
	var w *world

	BeforeEach(func(ctx context.Context) { w = start(ctx, quick()) })

	inForce := func(ctx context.Context, instances ...*cluster.Instance) func() ([]uint64, error) {
		return func() ([]uint64, error) { return revisions(ctx, instances...) }
	}

	It("when two operators race, an answer is lost, the platform fails and an instance is replaced", func(ctx context.Context) {
		before, err := revisions(ctx, w.Instances...)
		Expect(err).NotTo(HaveOccurred())
		base := before[0]
		Expect(before).To(HaveEach(base))
		Expect(w.Platform.SetFaults(ctx, platformd.Faults{BeforeMS: 100, LoseCommits: 1, LosePrefix: "head"})).To(Succeed())
		Expect(w.race(ctx, base)).To(ConsistOf(exitDone, exitConflict))
		counts, err := w.Platform.Counts(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(counts.LostAnswers).To(Equal(1), "no answer was lost, the test shows less")
		after, err := revisions(ctx, w.Instances...)
		Expect(err).NotTo(HaveOccurred())
		won := after[0]
		Expect(won).To(Equal(base + 1))
		Expect(after).To(HaveEach(won))

		Expect(w.Platform.SetFaults(ctx, platformd.Faults{Down: true})).To(Succeed())
		Consistently(inForce(ctx, w.Instances...), "2s").Should(HaveEach(won))
		Expect(w.Instances[0].Kill()).To(Succeed())
		Expect(w.Platform.SetFaults(ctx, platformd.Faults{})).To(Succeed())
		replaced, err := w.StartInstance(ctx, w.Profile().DataCentres[0])
		Expect(err).NotTo(HaveOccurred())
		ready, cancel := context.WithTimeout(ctx, recoverTimeout)
		defer cancel()
		Expect(replaced.WaitReady(ready)).To(Succeed())
		Expect(revisions(ctx, replaced)).To(HaveEach(won))
		Consistently(inForce(ctx, w.Instances[1:]...), "1s").Should(HaveEach(won))
	})

	It("on an instance that starts while the platform is down", func(ctx context.Context) {
		before, err := revisions(ctx, w.Instances...)
		Expect(err).NotTo(HaveOccurred())
		Expect(w.Platform.SetFaults(ctx, platformd.Faults{Down: true})).To(Succeed())
		added, err := w.StartInstance(ctx, w.Profile().DataCentres[0])
		Expect(err).NotTo(HaveOccurred())
		Eventually(inForce(ctx, added), recoverTimeout).Should(HaveEach(before[0]), "the new instance takes it from its peers")
	})
})

func extraRoute(name string, group upstreamd.GroupLayout) string {
	return fmt.Sprintf("[[route]]\nname = %q\ngroup = %q\ntag = %q\nread_only = true\n", "extra."+name, group.ID, "extra_"+name)
}
