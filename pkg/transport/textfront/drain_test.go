package textfront

import (
	"bufio"
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/transport/lines"
)

// connPair returns both ends of a connection.
func connPair() (caller, served net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	caller, err = net.Dial("tcp", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	served, err = listener.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(caller.Close)
	DeferCleanup(served.Close)
	return caller, served
}

var _ = Describe("a drain", func() {
	newServer := func() *Server {
		return New(Config{Stop: StopTimes{IdleCloseStart: time.Millisecond, IdleCloseEnd: 2 * time.Millisecond}})
	}

	// Guards against a busy loop: the read deadline of a session that was due
	// to be closed lay in the past, so that it could not read the input that it
	// saw.
	It("reads a statement that arrives when the session is due to be closed", func() {
		caller, served := connPair()
		s := newSession(newServer(), served)
		current := &drain{startedAt: time.Now().Add(-time.Second)}
		s.server.drain.Store(current)
		s.closeDrain = current
		s.closeAt = time.Now().Add(-time.Second)
		_, err := caller.Write([]byte("QUERY i READ a\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.input.HasInput).Should(BeTrue())
		done := make(chan bool, 1)
		go func() { done <- s.awaitInput() }()
		Eventually(done).Should(Receive(BeTrue()))
	})

	It("closes an idle session when its close time is reached", func() {
		_, served := connPair()
		s := newSession(newServer(), served)
		s.server.drain.Store(&drain{startedAt: time.Now().Add(-time.Second)})
		done := make(chan bool, 1)
		go func() { done <- s.awaitInput() }()
		Eventually(done).Should(Receive(BeFalse()))
	})

	It("wakes waiting sessions, and leaves them open if it ends", func() {
		caller, served := connPair()
		server := New(Config{Stop: StopTimes{IdleCloseStart: time.Hour, IdleCloseEnd: 2 * time.Hour}})
		s := newSession(server, served)
		server.add(s)
		done := make(chan bool, 1)
		go func() { done <- s.awaitInput() }()
		server.SetDraining(true)
		server.SetDraining(true)
		server.SetDraining(false)
		Expect(server.drain.Load()).To(BeNil())
		_, err := caller.Write([]byte("Q"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(done).Should(Receive(BeTrue()))
	})

	// Load: callers that connect, or whose statements arrive in parts, while a drain
	// starts. Such sessions were closed without an answer.
	Describe("that starts while a message is read", func() {
		var (
			f     *fixture
			conn  net.Conn
			reply *bufio.Reader
		)

		BeforeEach(func() {
			f = newFixture(catalog.Route{}, startUpstream())
			f.server.config.Stop = StopTimes{IdleCloseStart: time.Hour, IdleCloseEnd: 2 * time.Hour}
			var err error
			conn, err = net.Dial("tcp", f.address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			reply = bufio.NewReader(conn)
		})

		// send sends text and waits until the session has read it.
		send := func(text string) {
			Eventually(f.server.SessionCount).Should(Equal(1))
			var probe *lines.InputProbe
			f.server.mu.Lock()
			for open := range f.server.sessions {
				probe = lines.NewInputProbe(open.socket)
			}
			f.server.mu.Unlock()
			_, err := conn.Write([]byte(text))
			Expect(err).NotTo(HaveOccurred())
			Eventually(probe.HasInput).Should(BeFalse())
		}
		expectLine := func(expected string) {
			line, err := reply.ReadString('\n')
			Expect(err).NotTo(HaveOccurred())
			Expect(line).To(HavePrefix(expected))
		}

		It("does not end a session that has not read its first line", func() {
			send("START ")
			f.server.SetDraining(true)
			_, err := fmt.Fprintf(conn, "%s me\r\n", name)
			Expect(err).NotTo(HaveOccurred())
			expectLine("READY")
		})

		It("ends it when the last statement of a stop must have been answered", func() {
			f.server.config.Stop.AnswerBy = 20 * time.Millisecond
			send("START ")
			f.server.startDrain(&drain{startedAt: time.Now(), stopping: true})
			Eventually(f.server.SessionCount).Should(BeZero())
		})

		It("does not end a session whose statement has begun to arrive", func() {
			_, err := fmt.Fprintf(conn, "START %s me\r\n", name)
			Expect(err).NotTo(HaveOccurred())
			expectLine("READY")
			send("QUERY ")
			send("i ")
			f.server.SetDraining(true)
			_, err = conn.Write([]byte("READ a\r\n"))
			Expect(err).NotTo(HaveOccurred())
			expectLine("DATAROW")
		})
	})

	// Load: callers of a data centre whose instances are all away connect again and
	// again. Each session was closed right after its start, and a write that was sent
	// meanwhile had an unknown outcome.
	It("that has lasted long answers the first statement of a new session", func() {
		f := newFixture(catalog.Route{}, startUpstream())
		f.server.config.Stop = StopTimes{IdleCloseStart: time.Minute, IdleCloseEnd: 2 * time.Minute}
		f.server.startDrain(&drain{startedAt: time.Now().Add(-time.Hour)})
		caller := f.dial()
		Consistently(caller.isOpen, 20*time.Millisecond).Should(BeTrue())
		Expect(caller.query("READ a")).To(HavePrefix("DATAROW"))
		Eventually(caller.isOpen).Should(BeFalse())
	})

	// Load: callers that connect to an instance that is away set values and prepare
	// statements first. Each session was closed after the first of these.
	It("closes a session after a unit of work, and not after what precedes it", func() {
		f := newFixture(catalog.Route{}, startUpstream())
		f.server.config.Stop = StopTimes{IdleCloseStart: time.Minute, IdleCloseEnd: 2 * time.Minute}
		f.server.startDrain(&drain{startedAt: time.Now().Add(-time.Hour)})
		caller := f.dial()
		for _, text := range []string{"SET mode x", "PREPARE s READ q1", "DEALLOCATE s", "BEGIN", "READ a"} {
			caller.query(text)
			Consistently(caller.isOpen, 20*time.Millisecond).Should(BeTrue(), text)
		}
		caller.query("COMMIT")
		Eventually(caller.isOpen).Should(BeFalse())
	})

	// A connection without a first line must not hold up a stop.
	It("of a stop closes a session that has sent nothing", func() {
		f := newFixture(catalog.Route{}, startUpstream())
		f.server.config.Stop = StopTimes{IdleCloseStart: time.Millisecond, IdleCloseEnd: 2 * time.Millisecond}
		conn, err := net.Dial("tcp", f.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Eventually(f.server.SessionCount).Should(Equal(1))
		f.server.startDrain(&drain{startedAt: time.Now(), stopping: true})
		Eventually(f.server.SessionCount).Should(BeZero())
	})

	It("of a stop is not ended by SetDraining", func() {
		server := newServer()
		server.startDrain(&drain{startedAt: time.Now(), stopping: true})
		server.SetDraining(false)
		Expect(server.drain.Load().stopping).To(BeTrue())
	})
})

var _ = DescribeTable("closeTime",
	func(stopping bool, sessionStart time.Duration, share float64, expected time.Duration) {
		begin := time.Now()
		d := &drain{startedAt: begin, stopping: stopping}
		times := StopTimes{IdleCloseStart: 2 * time.Second, IdleCloseEnd: 4 * time.Second}
		Expect(d.closeTime(times, begin.Add(sessionStart), share).Sub(begin)).To(Equal(expected))
	},
	Entry("of an open session, first", false, -time.Minute, 0.0, 2*time.Second),
	Entry("of an open session, last", true, -time.Minute, 1.0, 4*time.Second),
	Entry("of a session that started in a long drain", false, time.Minute, 0.5, time.Minute+3*time.Second),
	Entry("of a session that started in a stop", true, time.Second, 0.5, 4*time.Second),
	Entry("of a session that started in a stop, early", true, time.Second, 0.0, 3*time.Second),
	Entry("of a session that started at the end of a stop", true, 4*time.Second, 0.0, 4*time.Second),
)
