package textfront

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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

	It("of a stop is not ended by SetDraining", func() {
		server := newServer()
		server.startDrain(&drain{startedAt: time.Now(), stopping: true})
		server.SetDraining(false)
		Expect(server.drain.Load().stopping).To(BeTrue())
	})
})
