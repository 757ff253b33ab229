package textfront

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/textback"
	"gypsumdock/pkg/transport/textforward"
)

const (
	smallCaller = model.CallerName("small")
	largeCaller = model.CallerName("large")
)

// keyOf returns the access key of a caller.
func keyOf(caller model.CallerName) string { return "key-of-" + string(caller) }

// newServing returns a server of the group that knows the callers, with an upstream.
func newServing(u *fakeUpstream) *fixture {
	f := newFixture(catalog.Route{}, u)
	known := *f.snapshot
	known.Catalog = known.Catalog.WithCallers([]catalog.Caller{
		{Name: smallCaller, Keys: []model.KeyDigest{model.DigestKey(keyOf(smallCaller))}},
		{Name: largeCaller, Keys: []model.KeyDigest{model.DigestKey(keyOf(largeCaller))}},
	})
	known.TopologyVersion++
	f.snapshot = &known
	f.dispatch.Publish(f.snapshot)
	return f
}

// newServingWithHome is newServing for a server that is not the home of the
// caller: the home is the instance "home" of the mesh.
func newServingWithHome(mesh *fakeMesh, u *fakeUpstream) *fixture {
	f := newServing(u)
	f.setHome(mesh)
	return f
}

// setHome makes the instance "home" of the mesh the home of the small caller.
func (f *fixture) setHome(mesh *fakeMesh) {
	forwarder := textforward.New(slog.New(slog.NewTextHandler(io.Discard, nil)))
	forwarder.SetNode(mesh)
	forwarder.SetOrders(textforward.Orders{group: {"self", "home"}})
	forwarder.SetCallerOrder("self", func(_ model.GroupID, caller model.CallerName) ([]model.InstanceID, bool) {
		return []model.InstanceID{"home", "self"}, caller == smallCaller
	})
	f.server.config.Forwarder = forwarder
}

// dialAs starts a session of a caller.
func (f *fixture) dialAs(caller model.CallerName) *testCaller {
	near, far := loopback()
	s := newSession(f.server, far)
	go s.serve()
	DeferCleanup(near.Close)
	c := &testCaller{conn: near, reader: bufio.NewReader(near)}
	_, _ = fmt.Fprintf(near, "START %s %s\r\n", name, keyOf(caller))
	Expect(c.answer()).To(Equal("READY I -"))
	return c
}

var _ = Describe("a unit at a server that is not the home of its caller", func() {
	var (
		mesh       *fakeMesh
		here, away *fakeUpstream
		f          *fixture
	)
	BeforeEach(func() {
		mesh, here, away = newFakeMesh(), startUpstream(), startUpstream()
		home := newServing(away)
		mesh.serve["home"] = func(conn net.Conn) { home.server.ServeForwarded("self", conn) }
		f = newServingWithHome(mesh, here)
	})
	transaction := func(c *testCaller) {
		Expect(c.query("BEGIN")).To(Equal("COMPLETE -|READY T -"))
		Expect(c.query("WRITE a 2")).To(HavePrefix("DATAROW v"))
		Expect(c.query("COMMIT")).To(HaveSuffix("READY I -"))
	}

	// Guards against connections of a small caller at each server through which its
	// units come.
	It("runs at the home", func() {
		c := f.dialAs(smallCaller)
		Expect(c.query("READ a")).To(HavePrefix("DATAROW v"))
		Expect(c.query("WRITE a 1")).To(HavePrefix("DATAROW v"))
		transaction(c)
		Expect(here.statements()).To(BeEmpty())
		Expect(away.statements()).To(ContainElements("id1 READ a", "id1 WRITE a 1", "id1 WRITE a 2"))
	})

	It("runs here for a caller without a home, and without accounts", func() {
		Expect(f.dialAs(largeCaller).query("READ a")).To(HavePrefix("DATAROW v"))
		Expect(here.statements()).To(HaveLen(1))
		open := newFixture(catalog.Route{}, here)
		open.setHome(mesh)
		Expect(open.dialAs(smallCaller).query("READ a")).To(HavePrefix("DATAROW v"))
		Expect(here.statements()).To(HaveLen(2))
		Expect(away.statements()).To(BeEmpty())
	})

	// Guards against the refusal of a unit that this server can run, while it is
	// cut off from the home.
	DescribeTable("runs here, once, if the home does not take it", func(fail func()) {
		fail()
		c := f.dialAs(smallCaller)
		transaction(c)
		Expect(c.query("READ a")).To(HavePrefix("DATAROW v"))
		Expect(c.query("WRITE a 1")).To(HavePrefix("DATAROW v"))
		Expect(here.statements()).To(ContainElements("id1 READ a", "id1 WRITE a 1", "id1 WRITE a 2"))
		Expect(away.statements()).To(BeEmpty())
	},
		Entry("as it cannot be reached", func() { delete(mesh.serve, "home") }),
		Entry("as it refuses the unit", func() {
			refusing := newFixture(catalog.Route{})
			refusing.server.startDrain(&drain{stopping: true})
			mesh.serve["home"] = func(conn net.Conn) { refusing.server.ServeForwarded("self", conn) }
		}),
		Entry("as it has just failed", func() { f.server.config.Forwarder.Avoid("home", "test") }),
	)

	It("runs here if the home is lost before it answers a read", func() {
		mesh.serve["home"] = dropAfterRequest
		Expect(f.dialAs(smallCaller).query("READ a")).To(HavePrefix("DATAROW v"))
		Expect(here.statements()).To(Equal([]string{"id1 READ a"}))
	})

	// Guards against a write that runs twice.
	It("does not run here too if a write was sent to the home", func() {
		mesh.serve["home"] = dropAfterRequest
		Expect(f.dialAs(smallCaller).query("WRITE a 1")).To(HavePrefix("ERROR INDOUBT"))
		Expect(here.statements()).To(BeEmpty())
	})
})

var _ = Describe("the upstreams with an idle connection", func() {
	It("are told to the dispatcher for the reads of a caller", func() {
		f := newServing(startUpstream())
		pools := f.server.config.Pools
		conn, _, err := pools.Get(context.Background(), textback.GetOptions{Upstream: "u0", Caller: smallCaller})
		Expect(err).NotTo(HaveOccurred())
		pools.Put(conn, true)
		idleAt := func(caller model.CallerName, writes bool) []model.UpstreamID {
			s := newSession(f.server, nil)
			s.caller = caller
			u := newUnit(s, &catalog.Route{Name: name, Group: group, Consistency: catalog.ReadYourWrites}, writes)
			u.findIdle()
			u.findIdle()
			return u.spec.IdleAt
		}
		Expect(idleAt(smallCaller, false)).To(Equal([]model.UpstreamID{"u0"}))
		Expect(idleAt(smallCaller, true)).To(BeEmpty())
		Expect(idleAt("other", false)).To(BeEmpty())
		Expect(idleAt("", false)).To(BeEmpty())
	})
})
