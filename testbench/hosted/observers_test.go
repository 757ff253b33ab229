package hosted_test

import (
	"context"
	"os"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/hosted"
)

// startLarge starts a system in which four of seven instances are members; the
// others forward the units of work of their callers. It returns both.
func startLarge() (system *hosted.System, members, observers []*hosted.Instance) {
	options := hosted.DefaultOptions()
	options.Instances = 7
	options.LinkMbps = 5
	system = startWith(options)
	Eventually(func() int {
		var err error
		members, err = system.Members(context.Background())
		Expect(err).NotTo(HaveOccurred())
		return len(members)
	}, patience, 50*time.Millisecond).Should(Equal(4))
	for _, instance := range system.Instances {
		if !slices.Contains(members, instance) {
			observers = append(observers, instance)
		}
	}
	return system, members, observers
}

var _ = Describe("a system with more instances than members", func() {
	It("serves callers at every instance, and shows sessions their writes", func() {
		system, _, _ := startLarge()
		for i := range system.Instances {
			client := dial(system, i, hosted.DatabaseSession)
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
		}
		Expect(system.Group.Violations()).To(BeEmpty())
	})

	// A configuration of this size is fetched in parts. Without the store, members are
	// the only ones that observers can have it from.
	It("serves each database of a large configuration at every instance", func() {
		system, members, observers := startLarge()
		for _, instance := range observers {
			Expect(instance.ToStore.Close()).To(Succeed())
		}
		const further = 3000
		system.AddRoutes(further, time.Second)
		for _, instance := range slices.Concat(members, observers) {
			for _, database := range []string{hosted.FurtherDatabase(0), hosted.FurtherDatabase(further - 1)} {
				Eventually(func() error {
					client, err := hosted.Dial(instance.Callers(), database, "client")
					if err != nil {
						return err
					}
					defer client.Close()
					_, err = client.Do("READ a")
					return err
				}, patience, 50*time.Millisecond).Should(Succeed(), "%s at instance %d", database, instance.Index)
			}
		}
		for _, instance := range observers {
			log, err := os.ReadFile(instance.LogPath())
			Expect(err).NotTo(HaveOccurred())
			Expect(string(log)).To(ContainSubstring(`"event":558`), "instance %d", instance.Index)
		}
		Expect(system.Group.Violations()).To(BeEmpty())
	})

	It("goes on when members are lost", func() {
		system, members, observers := startLarge()
		for _, member := range members[:2] {
			Expect(member.Process().Kill()).To(Succeed())
		}
		for _, instance := range observers {
			client := dial(system, instance.Index, hosted.DatabaseLatest)
			Eventually(func() string { return do(client, "WRITE a 1").Code }, patience, 50*time.Millisecond).Should(BeEmpty())
			Expect(must(client, "READ a").Rows).To(Equal([]string{"1"}))
		}
		Expect(system.Group.Violations()).To(BeEmpty())
	})

	It("replaces a primary that crashes", func() {
		system, _, observers := startLarge()
		client := dial(system, observers[0].Index, hosted.DatabaseLatest)
		must(client, "WRITE a 1")
		before := system.Group.Primary()
		Eventually(func() int { return len(system.Group.Databases()) }).Should(Equal(3))
		before.Crash()
		Eventually(func() string { return do(client, "WRITE a 2").Code }, patience, 50*time.Millisecond).Should(BeEmpty())
		Expect(system.Group.Primary().ID).NotTo(Equal(before.ID))
		Expect(must(client, "READ a").Rows).To(Equal([]string{"2"}))
		Expect(system.Group.Violations()).To(BeEmpty())
	})

	// The store turns all members away and serves the others, which take their
	// place.
	It("goes on when the store turns all members away", func() {
		system, members, observers := startLarge()
		must(dial(system, observers[0].Index, hosted.DatabaseLatest), "WRITE a 1")
		before := system.Group.Primary()
		for _, member := range members {
			Expect(member.ToStore.Close()).To(Succeed())
		}
		before.Crash()
		client := dial(system, observers[0].Index, hosted.DatabaseLatest)
		Eventually(func() string { return do(client, "WRITE a 2").Code }, patience, 50*time.Millisecond).Should(BeEmpty())
		Expect(system.Group.Primary().ID).NotTo(Equal(before.ID))
		Expect(system.Group.Violations()).To(BeEmpty())
	})
})
