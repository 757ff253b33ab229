package hosted_test

import (
	"os"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/hosted"
)

var _ = Describe("a key that was removed", func() {
	const (
		timeout    = time.Second
		revocation = 5 * time.Second
		// dial starts its sessions with clientKey.
		clientKey = "client"
		otherKey  = "other"
		// loggedKey starts sessions without statements, as the IDs of the statements
		// that the client sends begin with its key.
		loggedKey = "key-5d1e77"
	)

	startWithKeys := func() (*hosted.System, []*hosted.Client) {
		options := hosted.DefaultOptions()
		options.Keys, options.RevocationTime = []string{clientKey, otherKey, loggedKey}, revocation
		system := startWith(options)
		var clients []*hosted.Client
		for i := range system.Instances {
			client := dial(system, i, hosted.DatabaseLatest)
			must(client, "WRITE a 1")
			unused, err := hosted.Dial(system.Instances[i].Callers(), hosted.DatabaseLatest, loggedKey)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(unused.Close)
			clients = append(clients, client)
		}
		return system, clients
	}

	// A session with a removed key went on on an instance that was paused or could
	// not reach the store.
	It("has no effect on an instance that is paused, or cut off from the store", func() {
		system, clients := startWithKeys()
		system.Instances[1].ToStore.Reset()
		Expect(system.Instances[2].Signal(syscall.SIGSTOP)).To(Succeed())
		system.SetKeys(timeout, otherKey)
		removed := time.Now()
		for _, i := range []int{0, 1, 3} {
			Eventually(func() string { return do(clients[i], "WRITE a 2").Code }, patience, 50*time.Millisecond).Should(Equal("DENIED"))
		}
		time.Sleep(time.Until(removed.Add(revocation)))
		Expect(system.Instances[2].Signal(syscall.SIGCONT)).To(Succeed())
		Expect(do(clients[2], "WRITE a 3").Code).To(BeElementOf("DENIED", "BUSY"))
		Eventually(func() string { return do(clients[2], "WRITE a 3").Code }, patience, 50*time.Millisecond).Should(Equal("DENIED"))
		_, err := hosted.Dial(system.Instances[0].Callers(), hosted.DatabaseLatest, clientKey)
		Expect(err).To(MatchError("DENIED"))
		_, err = hosted.Dial(system.Instances[0].Callers(), hosted.DatabaseLatest, loggedKey)
		Expect(err).To(MatchError("DENIED"))
		valid, err := hosted.Dial(system.Instances[0].Callers(), hosted.DatabaseLatest, otherKey)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(valid.Close)
		must(valid, "WRITE a 4")
		for _, instance := range system.Instances {
			logged, err := os.ReadFile(instance.LogPath())
			Expect(err).NotTo(HaveOccurred())
			Expect(string(logged)).To(ContainSubstring("caller keys changed"))
			Expect(string(logged)).NotTo(ContainSubstring(loggedKey))
		}
	})

	// While no instance reaches the store, none hears of the removal.
	It("has no effect after its time while no instance reaches the store", func() {
		system, clients := startWithKeys()
		for _, instance := range system.Instances {
			instance.ToStore.Reset()
		}
		system.SetKeys(timeout, otherKey)
		time.Sleep(revocation)
		for _, client := range clients {
			Expect(do(client, "WRITE a 2").Code).To(Equal("BUSY"))
		}
		Eventually(system.Instances[0].Ready, patience, 50*time.Millisecond).Should(BeFalse())
		for _, instance := range system.Instances {
			instance.ToStore.Heal()
		}
		for _, client := range clients {
			Eventually(func() string { return do(client, "WRITE a 3").Code }, patience, 50*time.Millisecond).Should(Equal("DENIED"))
		}
		Eventually(system.Instances[0].Ready, patience, 50*time.Millisecond).Should(BeTrue())
	})
})
