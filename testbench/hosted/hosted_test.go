package hosted_test

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/hosted"
)

func TestHosted(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hosted")
}

// patience is a bound that only a hang exceeds.
const patience = time.Minute

// logTailBytes is how much of each instance's log a failed spec prints.
const logTailBytes = 16 << 10

func start() *hosted.System { return startWith(hosted.DefaultOptions()) }

func startWith(options hosted.Options) *hosted.System {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	system, err := hosted.Start(ctx, options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() error {
		if CurrentSpecReport().Failed() {
			system.PrintLogs(GinkgoWriter, logTailBytes)
		}
		return system.Close()
	})
	return system
}

// Failures are repeated at the end, since a long output may be cut at its start.
var _ = ReportAfterSuite("failures", func(report Report) {
	for _, spec := range report.SpecReports {
		if spec.Failed() {
			fmt.Printf("failed: %s: %s\n", spec.LeafNodeText, spec.Failure.Message)
		}
	}
})

func dial(system *hosted.System, instance int, database string) *hosted.Client {
	client, err := hosted.Dial(system.Instances[instance].Callers(), database, "client")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(client.Close)
	return client
}

func do(client *hosted.Client, text string) hosted.Reply {
	reply, err := client.Do(text)
	Expect(err).NotTo(HaveOccurred())
	return reply
}

// must runs a statement until it succeeds; only promises may come before.
func must(client *hosted.Client, text string) hosted.Reply {
	var reply hosted.Reply
	Eventually(func() string {
		reply = do(client, text)
		if reply.Code != "" {
			Expect(reply.IsPromise()).To(BeTrue(), "%s: %s", text, reply.Code)
		}
		return reply.Code
	}, patience, 50*time.Millisecond).Should(BeEmpty())
	return reply
}

// awaitSwitchFrom waits until another database is primary.
func awaitSwitchFrom(system *hosted.System, before *hosted.Database) {
	Eventually(func() bool {
		primary := system.Group.Primary()
		return primary != nil && primary.ID != before.ID
	}, patience, 50*time.Millisecond).Should(BeTrue())
}

// expectRunning checks that no process has ended.
func expectRunning(system *hosted.System) {
	for _, instance := range system.Instances {
		Expect(instance.Process().Exited()).To(BeFalse())
	}
}

var _ = Describe("a hosted system", func() {
	It("shows a session its writes, with transactions, values and prepared statements", func() {
		system := start()
		client := dial(system, 0, hosted.DatabaseSession)
		must(client, "WRITE a 1")
		Expect(must(client, "READ a").Rows).To(Equal([]string{"1"}))
		must(client, "SET mode x")
		must(client, "PREPARE s WRITE q1")
		must(client, "EXECUTE s a 2")
		Expect(must(client, "READ a").Rows).To(Equal([]string{"2"}))
		Expect(do(client, "BEGIN").State).To(Equal("T"))
		do(client, "WRITE a 3")
		Expect(do(client, "READ b").State).To(Equal("T"))
		Expect(do(client, "COMMIT").State).To(Equal("I"))
		Expect(must(client, "READ a").Rows).To(Equal([]string{"3"}))
		do(client, "BEGIN")
		do(client, "WRITE a 4")
		Expect(do(client, "ROLLBACK").State).To(Equal("I"))
		Expect(must(client, "READ a").Rows).To(Equal([]string{"3"}))
	})

	It("refuses what it cannot read, and does not pass it on", func() {
		system := start()
		client := dial(system, 1, hosted.DatabaseLatest)
		for _, text := range []string{"STATUS", "STEPDOWN 9", "SINCE 1.0 READ a", "READ", "RESET", "COMMIT"} {
			Expect(do(client, text).Code).To(Equal("MALFORMED"), text)
		}
		Expect(do(client, "EXECUTE none a").Code).To(Equal("UNPREPARED"))
		must(client, "READ a")
		_, err := hosted.Dial(system.Instances[1].Callers(), "nowhere", "client")
		Expect(err).To(MatchError("NODATABASE"))
	})

	It("replaces a primary that crashes, and keeps every rule meanwhile", func() {
		system := start()
		client := dial(system, 2, hosted.DatabaseLatest)
		must(client, "WRITE a 1")
		before := system.Group.Primary()
		Eventually(func() int { return len(system.Group.Databases()) }).Should(Equal(3))
		before.Crash()
		must(client, "READ a")
		must(client, "WRITE a 2")
		Expect(system.Group.Primary().ID).NotTo(Equal(before.ID))
		Expect(before.Start()).To(Succeed())
		Expect(must(client, "READ a").Rows).To(Equal([]string{"2"}))
		Expect(system.Group.Violations()).To(BeEmpty())
	})

	// What resets each connection looks like what is full.
	It("replaces a primary that resets each connection", func() {
		system := start()
		client := dial(system, 2, hosted.DatabaseLatest)
		must(client, "WRITE a 1")
		before := system.Group.Primary()
		before.Wire().Reset()
		must(client, "WRITE a 2")
		Expect(system.Group.Primary().ID).NotTo(Equal(before.ID))
		before.Wire().Heal()
	})

	It("moves away from a primary that drains, and loses nothing", func() {
		system := start()
		client := dial(system, 0, hosted.DatabaseLatest)
		must(client, "WRITE a 1")
		before := system.Group.Primary()
		before.SetDraining(true)
		awaitSwitchFrom(system, before)
		Expect(must(client, "READ a").Rows).To(Equal([]string{"1"}))
		must(client, "WRITE a 2")
	})

	// The instance that was to order the switch was not the one that knew the
	// replicas, or was turned away by the store, so that nobody did.
	It("moves away from a primary that drains, whichever instance the store turns away", func() {
		system := start()
		client := dial(system, 0, hosted.DatabaseLatest)
		for _, instance := range system.Instances {
			instance.ToStore.Reset()
			before := system.Group.Primary()
			before.SetDraining(true)
			awaitSwitchFrom(system, before)
			instance.ToStore.Heal()
			before.SetDraining(false)
			must(client, "WRITE a 1")
		}
	})

	// Each question for a state was a new connection, which a database without
	// room refuses: nobody knew the positions, and no switch could end.
	It("moves away from a primary that drains while its connections are all taken", func() {
		options := hosted.DefaultOptions()
		options.Group.MaxConnections = options.Instances
		system := startWith(options)
		for instance := range system.Instances {
			must(dial(system, instance, hosted.DatabaseLatest), "WRITE a 1")
		}
		before := system.Group.Primary()
		before.SetDraining(true)
		awaitSwitchFrom(system, before)
		must(dial(system, 0, hosted.DatabaseLatest), "WRITE a 2")
	})

	It("says that the outcome is unknown if the answer to a write is lost", func() {
		system := start()
		client := dial(system, 0, hosted.DatabaseLatest)
		must(client, "WRITE a 1")
		primary := system.Group.Primary()
		primary.SetLoseAnswers(true)
		Expect(do(client, "WRITE a 2").Code).To(Equal("INDOUBT"))
		primary.SetLoseAnswers(false)
	})

	It("adopts configurations upwards, also when the store forgets its history", func() {
		system := start()
		system.Store.ForgetHistory()
		system.Configure(700 * time.Millisecond)
		system.Store.Put("op", "config", []byte("not a configuration"))
		system.Store.Put("servers", "stray", []byte(`{"service":7}`))
		must(dial(system, 3, hosted.DatabaseBounded), "READ a")
	})

	// Another writer's entry names no database to use, and may neither end a process nor stop what
	// follows the list. One with a port that does not exist counted as a replica that might have
	// every acknowledged write, so that a lost primary was never replaced.
	It("serves beside odd entries among those of the databases", func() {
		options := hosted.DefaultOptions()
		options.Group.SyncReplicas = 1
		system := startWith(options)
		client := dial(system, 0, hosted.DatabaseLatest)
		must(client, "WRITE a 1")
		for key, entry := range oddDatabases(system.Group.Name) {
			system.Store.Put("servers", key, []byte(entry))
		}
		before := system.Group.Primary()
		before.Crash()
		must(client, "WRITE a 2")
		Expect(before.Start()).To(Succeed())
		expectRunning(system)
		// A process that starts reads the whole list.
		Expect(system.Instances[1].Process().Kill()).To(Succeed())
		Expect(system.Instances[1].Start()).To(Succeed())
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		Expect(system.Instances[1].WaitReady(ctx)).To(Succeed())
		Expect(must(dial(system, 1, hosted.DatabaseLatest), "READ a").Rows).To(Equal([]string{"2"}))
		second := system.Group.Primary()
		second.SetDraining(true)
		awaitSwitchFrom(system, second)
		must(client, "WRITE a 3")
		expectRunning(system)
		Expect(system.Group.Violations()).To(BeEmpty())
	})

	It("serves writes while the store is away, and comes back from nothing with it", func() {
		system := start()
		client := dial(system, 0, hosted.DatabaseLatest)
		must(client, "WRITE a 1")
		system.Store.SetFault(hosted.StoreBusy)
		// Permits live for two seconds, so what is written later is written on
		// the promises of the instances.
		time.Sleep(4 * time.Second)
		must(client, "WRITE a 2")
		system.Store.SetFault(hosted.StoreWell)
		for _, instance := range system.Instances {
			Expect(instance.Process().Kill()).To(Succeed())
		}
		for _, instance := range system.Instances {
			Expect(instance.Start()).To(Succeed())
		}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		Expect(system.Instances[0].WaitReady(ctx)).To(Succeed())
		Expect(must(dial(system, 0, hosted.DatabaseLatest), "READ a").Rows).To(Equal([]string{"2"}))
	})

	It("stops gracefully: not ready at once, sessions end between statements", func() {
		system := start()
		instance := system.Instances[1]
		client := dial(system, 1, hosted.DatabaseSession)
		must(client, "WRITE a 1")
		Expect(instance.Signal(syscall.SIGHUP)).To(Succeed())
		Expect(instance.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(instance.Ready, patience, 20*time.Millisecond).Should(BeFalse())
		ended := 0
		for ended < 1000 {
			reply, err := client.Do("READ a")
			if err != nil {
				break
			}
			Expect(reply.Code == "" || reply.IsPromise()).To(BeTrue(), reply.Code)
			ended++
			time.Sleep(20 * time.Millisecond)
		}
		Expect(ended).To(BeNumerically(">", 0))
		Eventually(instance.Process().Exited, patience, 20*time.Millisecond).Should(BeTrue())
		Expect(instance.Process().ExitCode()).To(BeZero())
	})
})
