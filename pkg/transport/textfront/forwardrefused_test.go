package textfront

import (
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// The load of a cut: many callers at an instance none of whose servers holds a
// permit.
var _ = Describe("units whose servers hold no permit", func() {
	servers := []model.InstanceID{"s1", "s2", "s3", "s4"}

	// dropPermit makes a server lose its permit, and returns a function that gives
	// it back.
	dropPermit := func(server *fixture) (regain func()) {
		held := server.snapshot
		expired := *held
		expired.View.Groups = []failover.GroupView{{ID: group, Generation: 1, Primary: "u0", Timeline: 1}}
		server.dispatch.Publish(&expired)
		return func() { server.dispatch.Publish(held) }
	}

	// Guards against units that ask the same servers again and again without news:
	// 44 to 48 tries of one unit within 0.6 s were seen.
	It("are refused as not run, with few tries", func() {
		mesh := newFakeMesh()
		for _, id := range servers {
			dropPermit(addServer(mesh, id, startUpstream()))
		}
		front := newFront(mesh, catalog.Route{}, servers...)
		// How many units are on their way before the first refusal is known depends on
		// the machine. From then on servers get trials only.
		Expect(front.dial().query("WRITE a 1")).To(ContainSubstring("ERROR"))
		const callers = 40
		var ended sync.WaitGroup
		for range callers {
			c := front.dial()
			ended.Go(func() {
				defer GinkgoRecover()
				Expect(c.query("WRITE a 1")).To(ContainSubstring("ERROR"))
			})
		}
		ended.Wait()
		for _, id := range servers {
			Expect(mesh.streams(id)).To(BeNumerically("<", callers), "%s", id)
		}
	})

	It("run as soon as a trial finds a server with a permit", func() {
		mesh, u := newFakeMesh(), startUpstream()
		regain := dropPermit(addServer(mesh, "s1", u))
		front := newFront(mesh, catalog.Route{}, "s1")
		const callers = 10
		var ended sync.WaitGroup
		for i := range callers {
			c := front.dial()
			ended.Go(func() {
				defer GinkgoRecover()
				Eventually(func() string { return c.query(fmt.Sprintf("WRITE a%d 1", i)) }).Should(HavePrefix("DATAROW v"))
			})
		}
		Eventually(func() int { return mesh.streams("s1") }).Should(BeNumerically(">=", 2))
		regain()
		ended.Wait()
		Expect(u.statements()).To(HaveLen(callers))
	})
})
