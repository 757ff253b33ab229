package hosted_test

import (
	"bufio"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/hosted"
)

var _ = Describe("client accounts with rates", func() {
	const timeout = time.Second
	loud := hosted.Account{Name: "loud", Keys: []string{"key-7f31aa"}, Rate: 40, Burst: 20}
	calm := hosted.Account{Name: "calm", Keys: []string{"key-90be12"}, Rate: 60, Burst: 20}
	small := hosted.Account{Name: "small", Keys: []string{"key-c44d03"}, Rate: 30, Burst: 10}

	startAccounts := func(linkMbps float64, accounts ...hosted.Account) *hosted.System {
		options := hosted.DefaultOptions()
		options.Instances, options.LinkMbps = 6, linkMbps
		options.Group.MaxConnections = 70
		options.Accounts, options.RevocationTime = accounts, 5*time.Second
		return startWith(options)
	}

	// Guards against instances that each admit an account by their own count, so that
	// it exceeds its rate, and against a lost instance's share that is used twice.
	It("keep an account at five times its rate within its limit while instances fail", func() {
		system := startAccounts(200, loud, calm, small)
		load, ctx := startLoad(system)
		load.send(ctx, loud, 5*loud.Rate, 2)
		load.send(ctx, calm, 0.4*calm.Rate, 1)
		load.send(ctx, small, 0.4*small.Rate, 1)
		load.awaitServed(calm, small)

		begun := time.Now()
		time.Sleep(6 * time.Second)
		ended := time.Now()
		for _, account := range []hosted.Account{calm, small} {
			answers := load.between(account.Name, begun, ended)
			GinkgoWriter.Printf("%s: %d of %d served\n", account.Name, served(answers), len(answers))
			Expect(answers).NotTo(BeEmpty())
			Expect(float64(served(answers))).To(BeNumerically(">=", 0.95*float64(len(answers))), account.Name)
		}
		refused := 0
		for _, reply := range load.between(loud.Name, begun, ended) {
			if strings.Contains(reply.Text, "over the rate limit") {
				Expect(reply.Code).To(Equal("BUSY"))
				Expect(reply.Text).To(MatchRegexp(retryTime.String()))
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 0))

		killed, paused, cut := system.Instances[1], system.Instances[2], system.Instances[3]
		cut.ToStore.Reset()
		Expect(killed.Process().Kill()).To(Succeed())
		time.Sleep(time.Second)
		Expect(paused.Signal(syscall.SIGSTOP)).To(Succeed())
		time.Sleep(2 * time.Second)
		Expect(paused.Signal(syscall.SIGCONT)).To(Succeed())
		Expect(killed.Start()).To(Succeed())
		time.Sleep(4 * time.Second)
		cut.ToStore.Heal()
		load.awaitServed(calm, small)
		load.end()
		for _, account := range []hosted.Account{loud, calm, small} {
			expectWithin(system, account, time.Time{}, time.Time{})
		}
		Expect(system.Group.Violations()).To(BeEmpty())
	})

	// Guards against a changed limit that only the instance which read it first
	// applies, and against a burst that is granted again at each change.
	It("follow a limit that is lowered and raised under load", func() {
		const applied = 5 * time.Second
		high, low := loud, loud
		high.Rate, low.Rate, low.Burst = 80, 15, 5
		system := startAccounts(200, high, calm)
		load, ctx := startLoad(system)
		load.send(ctx, high, 5*high.Rate, 2)
		load.send(ctx, calm, 0.4*calm.Rate, 1)
		load.awaitServed(calm)
		aboveLow := func(from time.Time) func() float64 {
			return func() float64 {
				return float64(hosted.MostInWindow(system.Group.Ran(), loud.Name, hosted.DefaultRateBounds.Window, from, time.Time{}))
			}
		}
		Eventually(aboveLow(time.Time{}), patience, 100*time.Millisecond).Should(BeNumerically(">", hosted.DefaultRateBounds.Most(low)))

		time.Sleep(hosted.DefaultRateBounds.Window)
		system.SetAccounts(timeout, low, calm)
		lowered := time.Now().Add(applied)
		time.Sleep(time.Until(lowered.Add(2 * hosted.DefaultRateBounds.Window)))
		raised := time.Now()
		system.SetAccounts(timeout, high, calm)
		Eventually(aboveLow(raised), patience, 100*time.Millisecond).Should(BeNumerically(">", hosted.DefaultRateBounds.Most(low)))
		time.Sleep(hosted.DefaultRateBounds.Window)
		load.end()
		expectWithin(system, high, time.Time{}, time.Time{})
		expectWithin(system, low, lowered, raised)
		expectWithin(system, calm, time.Time{}, time.Time{})
	})

	// Guards against a connection that serves several accounts, and against a first
	// line to a database that contains the caller's key.
	It("have connections of their own at the databases, and show them no key", func() {
		unlimited := hosted.Account{Name: "free", Keys: []string{"key-e8a655"}}
		accounts := []hosted.Account{calm, small, unlimited}
		// With little bandwidth two instances are no members, and forward.
		system := startAccounts(5, accounts...)
		load, ctx := startLoad(system)
		load.send(ctx, calm, 60, 2)
		load.send(ctx, small, 60, 2)
		load.send(ctx, unlimited, 120, 2)
		load.awaitServed(unlimited)
		system.Group.Primary().Wire().Drop()
		load.awaitServed(unlimited)
		time.Sleep(2 * time.Second)
		load.end()
		Expect(system.Group.Violations()).To(BeEmpty())
		ran := map[string]int{}
		for _, r := range system.Group.Ran() {
			ran[r.Account]++
		}
		starts := strings.Join(system.Group.Starts(), "\n")
		for _, account := range accounts {
			Expect(ran[account.Name]).To(BeNumerically(">", 0), account.Name)
			Expect(starts).To(ContainSubstring(" " + account.Name + " "))
			Expect(starts).NotTo(ContainSubstring(account.Keys[0]))
			for _, instance := range system.Instances {
				Expect(logOf(instance)).NotTo(ContainSubstring(account.Keys[0]))
			}
		}
	})
})

// logOf returns what an instance has logged.
func logOf(instance *hosted.Instance) string {
	logged, err := os.ReadFile(instance.LogPath())
	Expect(err).NotTo(HaveOccurred())
	return string(logged)
}

// The checks on connections and rates rest on what the databases note.
var _ = Describe("the databases of a group", func() {
	It("note a request of another account than the connection's, and each operation", func() {
		store, err := hosted.StartStore()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(store.Close)
		options := hosted.DefaultOptions().Group
		group, err := hosted.StartGroup(store, options)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(group.Close)
		socket, err := net.Dial("tcp", group.Primary().Wire().Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(socket.Close)
		reader := bufio.NewReader(socket)
		say := func(line string) {
			_, err := socket.Write([]byte(line + "\r\n"))
			Expect(err).NotTo(HaveOccurred())
			for read := ""; !strings.HasPrefix(read, "READY "); {
				read, err = reader.ReadString('\n')
				Expect(err).NotTo(HaveOccurred())
			}
		}
		say("START " + options.Name + " calm " + group.Primary().ID)
		for _, text := range []string{"READ a", "WRITE a 1", "BEGIN", "READ a", "WRITE a 2", "COMMIT", "READ a"} {
			say("QUERY calm/1-1 " + text)
		}
		Expect(group.Violations()).To(BeEmpty())
		Expect(hosted.MostInWindow(group.Ran(), "calm", time.Hour, time.Time{}, time.Time{})).To(Equal(4))
		Expect(hosted.MostInWindow(group.Ran(), "calm", time.Nanosecond, time.Time{}, time.Time{})).To(Equal(1))
		say("QUERY loud/1-1 READ a")
		Expect(group.Violations()).To(ConsistOf("request loud/1-1 came on a connection of account calm"))
	})
})
