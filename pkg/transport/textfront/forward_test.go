package textfront

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/dispatcher"
	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/textback"
	"gypsumdock/pkg/transport/textforward"
	"gypsumdock/platform"
)

var errPeerGone = errors.New("peer gone")

// fakeMesh is a textforward.Node over loopback connections. It counts the streams
// opened to each server.
type fakeMesh struct {
	mu sync.Mutex
	// serve holds what each server does with a stream. A server that is missing
	// cannot be reached.
	serve map[model.InstanceID]func(net.Conn)
	// silent holds the servers that answer no ping.
	silent map[model.InstanceID]bool
	opened map[model.InstanceID]int
	pings  map[model.InstanceID]int
}

func newFakeMesh() *fakeMesh {
	return &fakeMesh{
		serve: map[model.InstanceID]func(net.Conn){}, silent: map[model.InstanceID]bool{}, opened: map[model.InstanceID]int{},
		pings: map[model.InstanceID]int{},
	}
}

func (m *fakeMesh) Forward(to model.InstanceID, _ *meshpb.ForwardOpen) (net.Conn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.opened[to]++
	serve := m.serve[to]
	if serve == nil {
		return nil, errPeerGone
	}
	near, far := loopback()
	go serve(far)
	return near, nil
}

func (m *fakeMesh) Call(ctx context.Context, to model.InstanceID, message *meshpb.Envelope) (*meshpb.Envelope, error) {
	m.mu.Lock()
	m.pings[to]++
	reachable := m.serve[to] != nil && !m.silent[to]
	m.mu.Unlock()
	if !reachable {
		return nil, errPeerGone
	}
	return message, nil
}

func (m *fakeMesh) pinged(to model.InstanceID) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pings[to]
}

func (m *fakeMesh) streams(to model.InstanceID) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.opened[to]
}

// loopback returns the two ends of a TCP connection.
func loopback() (near, far net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	near, err = net.Dial("tcp", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	far, err = listener.Accept()
	Expect(err).NotTo(HaveOccurred())
	return near, far
}

// newFront returns a server that serves no group itself: it forwards units to
// the named servers, in this order.
func newFront(mesh *fakeMesh, route catalog.Route, servers ...model.InstanceID) *fixture {
	route.Database, route.Group = name, group
	if route.Timeout == 0 {
		route.Timeout = 2 * time.Second
	}
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	forwarder := textforward.New(logger)
	forwarder.SetNode(mesh)
	forwarder.SetOrders(textforward.Orders{group: servers})
	wire := platform.LineCodec{}
	f := &fixture{dispatch: dispatcher.New(dispatcher.Config{
		Clock: clock{startedAt: time.Now()}, UseTopology: func(dispatcher.Topology) {},
	})}
	f.snapshot = &region.Snapshot{
		Catalog:         catalog.New(1, []catalog.Route{route}, []catalog.Group{{ID: group, MaxConnections: 20}}, catalog.Limits{}),
		Serving:         map[model.GroupID]region.Serving{group: {}},
		TopologyVersion: 1,
	}
	f.dispatch.Publish(f.snapshot)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	f.address = listener.Addr().String()
	f.server = New(Config{
		Listener: listener, Codec: wire, Dispatch: f.dispatch, Pools: textback.New(wire, "test"), Forwarder: forwarder, Logger: logger,
	})
	go func() { _ = f.server.Serve() }()
	return f
}

// addServer makes an instance with the given upstream a server in the mesh.
func addServer(mesh *fakeMesh, id model.InstanceID, upstreams ...*fakeUpstream) *fixture {
	server := newFixture(catalog.Route{}, upstreams...)
	mesh.serve[id] = func(conn net.Conn) { server.server.ServeForwarded("front", conn) }
	return server
}

// dropAfterRequest serves a stream by reading the request and closing it.
func dropAfterRequest(conn net.Conn) {
	_ = textforward.ReadFrame(bufio.NewReader(conn), &meshpb.UnitRequest{})
	_ = conn.Close()
}

// neverAnswers serves a stream by reading the request only.
func neverAnswers(conn net.Conn) {
	_ = textforward.ReadFrame(bufio.NewReader(conn), &meshpb.UnitRequest{})
}

var _ = Describe("a forwarded statement", func() {
	It("reaches the upstream unchanged, and the caller gets its answer", func() {
		mesh, u := newFakeMesh(), startUpstream()
		addServer(mesh, "s1", u)
		c := newFront(mesh, catalog.Route{}, "s1").dial()
		Expect(c.query("READ a")).To(Equal("DATAROW v|COMPLETE sig|READY I -"))
		Expect(c.query("WRITE a 1")).To(Equal("DATAROW v|COMPLETE sig|READY I -"))
		Expect(u.statements()).To(Equal([]string{"id1 READ a", "id1 WRITE a 1"}))
	})

	It("runs with the session values and prepared statements of its caller", func() {
		mesh, u := newFakeMesh(), startUpstream()
		addServer(mesh, "s1", u)
		c := newFront(mesh, catalog.Route{}, "s1").dial()
		Expect(c.query("SET tz utc")).To(HavePrefix("COMPLETE"))
		Expect(c.query("PREPARE p READ q1")).To(HavePrefix("COMPLETE"))
		Expect(c.query("EXECUTE p a")).To(HavePrefix("DATAROW v"))
		Expect(u.statements()).To(ContainElement("- SET tz utc"))
		Expect(u.statements()).To(ContainElement(HavePrefix("- PREPARE ")))
		Expect(u.statements()).To(ContainElement(HavePrefix("id1 EXECUTE ")))
	})

	It("goes to the next server if the first one cannot be reached, refuses it or stops", func() {
		mesh, u := newFakeMesh(), startUpstream()
		notServing := addServer(mesh, "s2", startUpstream())
		unserved := *notServing.snapshot
		unserved.Serving, unserved.TopologyVersion = map[model.GroupID]region.Serving{group: {}}, 2
		notServing.dispatch.Publish(&unserved)
		stopping := addServer(mesh, "s3", startUpstream())
		stopping.server.startDrain(&drain{startedAt: time.Now(), stopping: true})
		addServer(mesh, "s4", u)
		c := newFront(mesh, catalog.Route{}, "s1", "s2", "s3", "s4").dial()
		Expect(c.query("WRITE a 1")).To(Equal("DATAROW v|COMPLETE sig|READY I -"))
		Expect(u.statements()).To(Equal([]string{"id1 WRITE a 1"}))
		Expect(mesh.streams("s2")).To(Equal(1))
		Expect(mesh.streams("s3")).To(Equal(1))
	})

	// A server that is cut off from the store cannot use the primary, while others
	// can.
	It("goes to the next server if the first one holds no permit", func() {
		mesh, u := newFakeMesh(), startUpstream()
		without := addServer(mesh, "s1", startUpstream())
		expired := *without.snapshot
		expired.View.Groups = []failover.GroupView{{ID: group, Generation: 1, Primary: "u0", Timeline: 1}}
		without.dispatch.Publish(&expired)
		addServer(mesh, "s2", u)
		c := newFront(mesh, catalog.Route{}, "s1", "s2").dial()
		Expect(c.query("WRITE a 1")).To(HavePrefix("DATAROW v"))
		Expect(c.query("BEGIN")).To(Equal("COMPLETE -|READY T -"))
		Expect(c.query("WRITE a 2")).To(HavePrefix("DATAROW v"))
		Expect(c.query("COMMIT")).To(HaveSuffix("READY I -"))
	})

	It("that reads is sent to the next server if the first one is lost", func() {
		mesh, u := newFakeMesh(), startUpstream()
		mesh.serve["s1"] = dropAfterRequest
		addServer(mesh, "s2", u)
		c := newFront(mesh, catalog.Route{}, "s1", "s2").dial()
		Expect(c.query("READ a")).To(HavePrefix("DATAROW v"))
	})

	It("that reads is sent to the next server if the first one falls silent", func() {
		mesh, u := newFakeMesh(), startUpstream()
		mesh.serve["s1"] = neverAnswers
		mesh.silent["s1"] = true
		addServer(mesh, "s2", u)
		c := newFront(mesh, catalog.Route{Timeout: time.Minute}, "s1", "s2").dial()
		Expect(c.query("READ a")).To(HavePrefix("DATAROW v"))
	})

	It("that writes has an unknown outcome if the server is lost, and is sent once", func() {
		mesh, u := newFakeMesh(), startUpstream()
		mesh.serve["s1"] = dropAfterRequest
		addServer(mesh, "s2", u)
		c := newFront(mesh, catalog.Route{}, "s1", "s2").dial()
		Expect(c.query("WRITE a 1")).To(HavePrefix("ERROR INDOUBT"))
		Expect(u.statements()).To(BeEmpty())
		Expect(mesh.streams("s1")).To(Equal(1))
	})

	It("that writes is not sent to a server that answers no ping", func() {
		mesh, u := newFakeMesh(), startUpstream()
		mesh.serve["s1"] = dropAfterRequest
		mesh.silent["s1"] = true
		addServer(mesh, "s2", u)
		c := newFront(mesh, catalog.Route{}, "s1", "s2").dial()
		Expect(c.query("WRITE a 1")).To(HavePrefix("DATAROW v"))
		Expect(mesh.streams("s1")).To(BeZero())
	})

	It("is refused as not run, with a time to come back, if no server answers", func() {
		c := newFront(newFakeMesh(), catalog.Route{}, "s1").dial()
		Expect(c.query("WRITE a 1")).To(MatchRegexp(`^ERROR BUSY not run: .*, retry after \d+ ms`))
	})

	It("waits for a server that is expected soon, as after a start of all", func() {
		mesh, u := newFakeMesh(), startUpstream()
		c := newFront(mesh, catalog.Route{}, "s1").dial()
		started := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			Eventually(func() int { return mesh.streams("s1") + mesh.pinged("s1") }).Should(BeNumerically(">", 0))
			mesh.mu.Lock()
			server := newFixture(catalog.Route{}, u)
			mesh.serve["s1"] = func(conn net.Conn) { server.server.ServeForwarded("front", conn) }
			mesh.mu.Unlock()
			close(started)
		}()
		Expect(c.query("READ a")).To(HavePrefix("DATAROW v"))
		Eventually(started).Should(BeClosed())
	})

	It("has an unknown outcome if the server's upstream gives no answer", func() {
		mesh, u := newFakeMesh(), startUpstream()
		u.setAnswers(func(string) []string { return nil })
		addServer(mesh, "s1", u)
		c := newFront(mesh, catalog.Route{}, "s1").dial()
		Expect(c.query("WRITE a 1")).To(HavePrefix("ERROR INDOUBT"))
		Expect(u.statements()).To(HaveLen(1))
	})

	It("reads what its session has written, at any server", func() {
		mesh := newFakeMesh()
		primary, replica := startUpstream(), startUpstream()
		addServer(mesh, "s1", primary, replica)
		c := newFront(mesh, catalog.Route{Consistency: catalog.ReadYourWrites, MaxAge: time.Minute}, "s1").dial()
		Expect(c.query("WRITE a 1")).To(HavePrefix("DATAROW v"))
		for range 20 {
			Expect(c.query("READ a")).To(HavePrefix("DATAROW v"))
		}
		for _, text := range replica.statements() {
			Expect(text).To(ContainSubstring("SINCE 1.11 "))
		}
	})
})

var _ = Describe("a forwarded transaction", func() {
	It("runs on one connection of one server", func() {
		mesh, u := newFakeMesh(), startUpstream()
		addServer(mesh, "s1", u)
		c := newFront(mesh, catalog.Route{}, "s1").dial()
		Expect(c.query("BEGIN")).To(Equal("COMPLETE -|READY T -"))
		Expect(c.query("READ a")).To(Equal("DATAROW v|COMPLETE sig|READY T -"))
		Expect(c.query("WRITE a 1")).To(Equal("DATAROW v|COMPLETE sig|READY T -"))
		Expect(c.query("COMMIT")).To(Equal("COMPLETE sig|READY I -"))
		Expect(u.statements()).To(Equal([]string{"- BEGIN", "id1 READ a", "id1 WRITE a 1", "id1 COMMIT"}))
		Expect(u.conns).To(Equal(1))
		Expect(mesh.streams("s1")).To(Equal(1))
	})

	It("is rolled back at the server if its caller rolls back or leaves", func() {
		mesh, u := newFakeMesh(), startUpstream()
		addServer(mesh, "s1", u)
		front := newFront(mesh, catalog.Route{}, "s1")
		c := front.dial()
		Expect(c.query("BEGIN")).To(HaveSuffix("READY T -"))
		Expect(c.query("WRITE a 1")).To(HaveSuffix("READY T -"))
		Expect(c.query("ROLLBACK")).To(Equal("COMPLETE -|READY I -"))
		Eventually(u.statements).Should(ContainElement("- ROLLBACK"))
		Expect(c.query("BEGIN")).To(HaveSuffix("READY T -"))
		Expect(c.query("WRITE a 1")).To(HaveSuffix("READY T -"))
		_ = c.conn.Close()
		Eventually(func() int {
			return strings.Count(strings.Join(u.statements(), "|"), "- ROLLBACK")
		}).Should(Equal(2))
		Expect(slices.Contains(u.statements(), "id1 COMMIT")).To(BeFalse())
	})

	It("is aborted, with nothing kept, if its server is lost before the commit", func() {
		mesh, u := newFakeMesh(), startUpstream()
		server := addServer(mesh, "s1", u)
		c := newFront(mesh, catalog.Route{}, "s1").dial()
		Expect(c.query("BEGIN")).To(HaveSuffix("READY T -"))
		Expect(c.query("WRITE a 1")).To(HaveSuffix("READY T -"))
		server.server.mu.Lock()
		for unit := range server.server.units {
			_ = unit.socket.Close()
		}
		server.server.mu.Unlock()
		Expect(c.query("WRITE a 2")).To(HavePrefix("ERROR ABORTED"))
		Expect(c.query("ROLLBACK")).To(HaveSuffix("READY I -"))
	})

	It("has an unknown outcome if the answer to its commit is lost", func() {
		mesh, u := newFakeMesh(), startUpstream()
		u.setAnswers(func(text string) []string {
			if text == "COMMIT" {
				return nil
			}
			return []string{"COMPLETE sig"}
		})
		addServer(mesh, "s1", u)
		c := newFront(mesh, catalog.Route{}, "s1").dial()
		Expect(c.query("BEGIN")).To(HaveSuffix("READY T -"))
		Expect(c.query("WRITE a 1")).To(HaveSuffix("READY T -"))
		Expect(c.query("COMMIT")).To(HavePrefix("ERROR INDOUBT"))
	})
})
