package textfront

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/dispatcher"
	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/lines"
	"gypsumdock/pkg/transport/textback"
	"gypsumdock/platform"
)

// fakeUpstream is an upstream whose answers a test sets.
type fakeUpstream struct {
	listener net.Listener
	mu       sync.Mutex
	// answers returns the lines of an answer without READY. Nil closes the
	// connection, and an empty list sends no answer.
	answers  func(text string) []string
	received []string
	conns    int
}

func startUpstream() *fakeUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	u := &fakeUpstream{listener: listener, answers: func(string) []string { return []string{"DATAROW v", "COMPLETE sig"} }}
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
}

func (u *fakeUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	state := "I"
	if _, err := reader.ReadString('\n'); err != nil {
		return
	}
	u.mu.Lock()
	u.conns++
	u.mu.Unlock()
	_, _ = fmt.Fprint(conn, "READY I 1.10\r\n")
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		text := strings.TrimSuffix(strings.SplitN(line, " ", 3)[2], "\r\n")
		id := strings.SplitN(line, " ", 3)[1]
		u.mu.Lock()
		u.received = append(u.received, id+" "+text)
		answers := u.answers
		u.mu.Unlock()
		lines := answers(text)
		if lines == nil {
			return
		}
		if len(lines) == 0 {
			continue
		}
		switch {
		case strings.Contains(text, "BEGIN"):
			state = "T"
		case text == "COMMIT" || text == "ROLLBACK":
			state = "I"
		}
		_, _ = fmt.Fprintf(conn, "%s\r\nREADY %s 1.11\r\n", strings.Join(lines, "\r\n"), state)
	}
}

func (u *fakeUpstream) setAnswers(answers func(string) []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answers = answers
}

func (u *fakeUpstream) statements() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.received...)
}

// clock is a region.Clock that counts from the start of the test.
type clock struct{ startedAt time.Time }

func (c clock) Now() time.Duration { return time.Since(c.startedAt) }

const (
	group = model.GroupID("g")
	name  = "berths"
)

// fixture is a server in front of fake upstreams.
type fixture struct {
	server   *Server
	dispatch *dispatcher.Dispatcher
	snapshot *region.Snapshot
	address  string
}

// useAll returns a callback that gives the pools all upstreams, without bounds.
func useAll(pools *textback.Pools) func(dispatcher.Topology) {
	return func(topology dispatcher.Topology) { pools.SetUpstreams(topology.Upstreams, nil) }
}

func newFixture(route catalog.Route, upstreams ...*fakeUpstream) *fixture {
	now := clock{startedAt: time.Now()}
	wire := platform.LineCodec{}
	pools := textback.New(wire, "test")
	f := &fixture{dispatch: dispatcher.New(dispatcher.Config{Clock: now, UseTopology: useAll(pools)})}
	route.Database, route.Group = name, group
	if route.Timeout == 0 {
		route.Timeout = 2 * time.Second
	}
	known := map[model.UpstreamID]catalog.Upstream{}
	for i, u := range upstreams {
		id := model.UpstreamID(fmt.Sprintf("u%d", i))
		known[id] = catalog.Upstream{ID: id, Group: group, Address: u.listener.Addr().String(), Slots: 2}
	}
	f.snapshot = &region.Snapshot{
		Catalog:   catalog.New(1, []catalog.Route{route}, []catalog.Group{{ID: group, MaxConnections: 20}}, catalog.Limits{}),
		Upstreams: known,
		Serving:   map[model.GroupID]region.Serving{group: {Servers: []model.Member{{ID: "self"}}, Local: true}},

		TopologyVersion: 1,
		View: failover.View{Groups: []failover.GroupView{{
			ID: group, Generation: 1, Primary: "u0", Timeline: 1, PermitUntil: time.Hour,
		}}},
	}
	f.dispatch.Publish(f.snapshot)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f.address = listener.Addr().String()
	server := New(Config{
		Listener: listener, Codec: wire, Dispatch: f.dispatch, Pools: pools,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	go func() { _ = server.Serve() }()
	DeferCleanup(listener.Close)
	f.server = server
	return f
}

// replacePrimary publishes that the next generation has started, at another
// primary.
func (f *fixture) replacePrimary() {
	changed := *f.snapshot
	changed.View.Groups = []failover.GroupView{{ID: group, Generation: 2, Primary: "u1", Timeline: 2, PermitUntil: time.Hour}}
	f.dispatch.Publish(&changed)
}

// testCaller is a session with the server.
type testCaller struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dial starts a session.
func (f *fixture) dial() *testCaller {
	conn, err := net.Dial("tcp", f.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	c := &testCaller{conn: conn, reader: bufio.NewReader(conn)}
	_, _ = fmt.Fprintf(conn, "START %s me\r\n", name)
	Expect(c.answer()).To(Equal("READY I -"))
	return c
}

// answer returns the lines of the next answer.
func (c *testCaller) answer() string {
	var all []string
	for {
		line, err := c.reader.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		all = append(all, strings.TrimSuffix(line, "\r\n"))
		if strings.HasPrefix(line, "READY") {
			return strings.Join(all, "|")
		}
	}
}

// isOpen reports whether the server has not closed the session. There must be no
// unread answer.
func (c *testCaller) isOpen() bool { return !lines.NewInputProbe(c.conn).HasInput() }

// query sends a statement and returns its answer.
func (c *testCaller) query(text string) string {
	_, _ = fmt.Fprintf(c.conn, "QUERY id1 %s\r\n", text)
	return c.answer()
}
