package textfront

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"log/slog"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
	"gypsumdock/pkg/transport/textforward"
)

// newFrontWithAccounts returns a front that forwards to these servers. All of them
// have version 2 of the configuration with testKey.
func newFrontWithAccounts(mesh *fakeMesh, servers map[model.InstanceID]*fixture, order ...model.InstanceID) *fixture {
	for _, server := range servers {
		server.useAccounts(2, testKey)
	}
	front := newFront(mesh, catalog.Route{}, order...)
	front.useAccounts(2, testKey)
	return front
}

var _ = Describe("a forwarded unit with an account", func() {
	var (
		mesh   *fakeMesh
		u1, u2 *fakeUpstream
		s1, s2 *fixture
		front  *fixture
	)

	BeforeEach(func() {
		mesh, u1, u2 = newFakeMesh(), startUpstream(), startUpstream()
		s1, s2 = addServer(mesh, "s1", u1), addServer(mesh, "s2", u2)
		front = newFrontWithAccounts(mesh, map[model.InstanceID]*fixture{"s1": s1, "s2": s2}, "s1", "s2")
	})

	It("is checked for its key at the front, whose confirmation may be old", func() {
		front.confirmedBefore(time.Hour)
		c := front.dial()
		Expect(c.query("WRITE a 1")).To(HavePrefix("DATAROW"))
		front.useAccounts(3)
		Expect(c.query("WRITE a 1")).To(Equal(denied + "|READY I -"))
		Expect(u1.statements()).To(HaveLen(1))
	})

	It("is denied if the server knows that the key was removed, without a try at another", func() {
		c := front.dial()
		s1.useAccounts(3)
		Expect(c.query("WRITE a 1")).To(Equal(denied + "|READY I -"))
		c.query("BEGIN")
		Expect(c.query("WRITE a 1")).To(Equal(denied + "|READY E -"))
		Expect(mesh.streams("s2")).To(BeZero())
		Expect(u1.statements()).To(BeEmpty())
	})

	DescribeTable("goes to the next server if the first one cannot tell whether the key is valid",
		func(change func()) {
			change()
			c := front.dial()
			Expect(c.query("WRITE a 1")).To(HavePrefix("DATAROW"))
			c.query("BEGIN")
			Expect(c.query("WRITE a 2")).To(HavePrefix("DATAROW"))
			Expect(c.query("COMMIT")).To(HaveSuffix("READY I -"))
			Expect(u1.statements()).To(BeEmpty())
		},
		Entry("confirmation too old", func() { s1.confirmedBefore(testRevocationTime) }),
		// The key was just added, and the server has not got the configuration yet.
		Entry("configuration too old", func() {
			s1.useAccounts(1)
		}),
	)

	It("is refused at once as not run if no server can tell, and neither can the front", func() {
		for _, f := range []*fixture{s1, s2, front} {
			f.confirmedBefore(time.Hour)
		}
		Expect(front.dial().query("WRITE a 1")).To(MatchRegexp(`^ERROR BUSY not run: .*, retry after \d+ ms\|READY I -$`))
		// One round, so that an outage of the store does not multiply the load.
		Expect(mesh.streams("s1")).To(Equal(1))
		Expect(mesh.streams("s2")).To(Equal(1))
	})

	It("waits for the servers to get a configuration that the front already has", func() {
		s1.useAccounts(1)
		s2.useAccounts(1)
		c := front.dial()
		caughtUp := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			Eventually(func() int { return mesh.streams("s1") }).Should(BeNumerically(">", 1))
			s1.useAccounts(2, testKey)
			close(caughtUp)
		}()
		Expect(c.query("READ a")).To(HavePrefix("DATAROW"))
		Eventually(caughtUp).Should(BeClosed())
	})

	DescribeTable("is rolled back within a transaction",
		func(change func(), text, answer string) {
			c := front.dial()
			c.query("BEGIN")
			Expect(c.query("WRITE a 1")).To(HaveSuffix("READY T -"))
			change()
			Expect(c.query(text)).To(MatchRegexp(answer))
			Eventually(u1.statements).Should(Equal([]string{"- BEGIN", "id1 WRITE a 1", "- ROLLBACK"}))
		},
		Entry("key removed at the server", func() { s1.useAccounts(3) }, "WRITE a 2", `^`+denied+`\|READY E -$`),
		Entry("key removed at the server before the commit", func() { s1.useAccounts(3) }, "COMMIT", `^`+denied+`\|READY I -$`),
		Entry("key removed at the front", func() { front.useAccounts(3) }, "WRITE a 2", `^`+denied+`\|READY E -$`),
		Entry("server without confirmation", func() { s1.confirmedBefore(time.Hour) }, "WRITE a 2", `^ERROR ABORTED .*READY E -$`),
		Entry("server without confirmation before the commit", func() { s1.confirmedBefore(time.Hour) }, "COMMIT",
			`^ERROR ABORTED .*READY I -$`),
	)

	It("belongs to the account at the server too", func() {
		request := &meshpb.UnitRequest{
			Unit: front.sessionWithAccount().open(), Kind: uint32(statement.Read), Text: "READ a",
		}
		unit, refusal := s1.server.openUnit(nil, request)
		Expect(refusal).To(Equal(meshpb.UnitRefusal_UNIT_REFUSAL_UNSPECIFIED))
		defer s1.server.endUnit(unit)
		Expect(newUnit(unit, unit.forwarded, false).spec.Caller).To(Equal(model.CallerName("acme")))

		request.Unit.Caller = "other"
		_, refusal = s1.server.openUnit(nil, request)
		Expect(refusal).To(Equal(meshpb.UnitRefusal_UNIT_REFUSAL_DENIED))
	})

	// Guards against a server with an old confirmation that refuses its own callers
	// although other servers can run their units.
	It("is forwarded by a server that cannot tell itself", func() {
		s1.server.config.Forwarder = front.server.config.Forwarder
		s1.server.config.Self = "s1"
		s1.confirmedBefore(time.Hour)
		c := s1.dial()
		Expect(c.query("WRITE a 1")).To(HavePrefix("DATAROW"))
		Expect(u2.statements()).To(Equal([]string{"id1 WRITE a 1"}))
		Expect(mesh.streams("s1")).To(BeZero())
	})
})

// sessionWithAccount returns a unit of a session that was accepted for "acme".
func (f *fixture) sessionWithAccount() *forwarding {
	s := &session{server: f.server, caller: "acme"}
	s.start.Key = model.DigestKey(testKey)
	return newForwarding(s, &catalog.Route{Group: group})
}

// lockedBuffer collects the log of several goroutines.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

var _ = Describe("the log and the metrics", func() {
	// Guards against keys that readers of the log or the metrics could use.
	It("contain neither a key nor its digest, and name the reason of each refusal", func() {
		const valid, removed, unknown = "valid-key-1f3a", "removed-key-77b2", "unknown-key-9c04"
		logged := &lockedBuffer{}
		logger := slog.New(slog.NewJSONHandler(logged, &slog.HandlerOptions{Level: slog.LevelDebug}))
		mesh := newFakeMesh()
		server := addServer(mesh, "s1", startUpstream())
		front := newFront(mesh, catalog.Route{}, "s1")
		forwarder := textforward.New(logger)
		forwarder.SetNode(mesh)
		forwarder.SetOrders(textforward.Orders{group: {"s1"}})
		front.server.config.Forwarder = forwarder
		for _, f := range []*fixture{server, front} {
			f.server.config.Logger = logger
			f.server.recorder = newRecorder(logger)
			f.useAccounts(2, valid, removed)
		}
		sessions := make(map[string]*testCaller)
		for _, key := range []string{valid, removed} {
			sessions[key] = front.dialWith(key)
			Expect(sessions[key].query("READ a")).To(HavePrefix("DATAROW"))
		}
		Expect(front.start("START " + name + " " + unknown)).To(HavePrefix("ERROR DENIED"))
		Expect(front.start("START " + name + " " + unknown + " x")).To(HavePrefix("ERROR DENIED"))
		Expect(front.start("START  " + unknown)).To(HavePrefix("ERROR MALFORMED"))
		server.useAccounts(3, valid)
		Expect(sessions[removed].query("READ a")).To(HavePrefix("ERROR DENIED"))
		front.useAccounts(3, valid)
		Expect(sessions[removed].query("READ a")).To(HavePrefix("ERROR DENIED"))
		front.removeAccount(4)
		Expect(sessions[valid].query("READ a")).To(HavePrefix("ERROR DENIED"))
		server.confirmedBefore(time.Hour)
		front.useAccounts(5, valid)
		front.confirmedBefore(time.Hour)
		Expect(sessions[valid].query("READ a")).To(HavePrefix("ERROR BUSY"))

		var metrics bytes.Buffer
		telemetry.WriteMetrics(&metrics)
		for _, reason := range []string{"key unknown", "key removed", "account removed", "confirmation too old"} {
			Expect(logged.String()).To(ContainSubstring(`"cause":"` + reason + `"`))
			Expect(metrics.String()).To(ContainSubstring(`gypsumdock_access_refused_total{reason="` + reason + `"}`))
		}
		for _, key := range []string{valid, removed, unknown} {
			digest := model.DigestKey(key)
			for _, secret := range []string{key, hex.EncodeToString(digest[:]), string(digest[:])} {
				Expect(logged.String()).NotTo(ContainSubstring(secret))
				Expect(metrics.String()).NotTo(ContainSubstring(secret))
			}
		}
	})
})

// dialWith starts a session with a key.
func (f *fixture) dialWith(key string) *testCaller {
	conn, err := net.Dial("tcp", f.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	c := &testCaller{conn: conn, reader: bufio.NewReader(conn)}
	_, err = conn.Write([]byte("START " + name + " " + key + "\r\n"))
	Expect(err).NotTo(HaveOccurred())
	Expect(c.answer()).To(Equal("READY I -"))
	return c
}
