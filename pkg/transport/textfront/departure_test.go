package textfront

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// pair returns both ends of a connection.
func pair() (caller, served net.Conn) {
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

var _ = Describe("a departure", func() {
	newServer := func() *Server {
		return New(Config{Stop: StopTimes{IdleCloseStart: time.Millisecond, IdleCloseEnd: 2 * time.Millisecond}})
	}

	// The deadline of a session that was due to be closed lay in the past, so
	// that it could not read what had arrived, and looked for it for ever.
	It("reads a statement that arrives as the session is due to be closed", func() {
		caller, served := pair()
		s := newSession(newServer(), served)
		present := &departure{begun: time.Now().Add(-time.Second)}
		s.server.departure.Store(present)
		s.leftWith = present
		s.closeAt = time.Now().Add(-time.Second)
		_, err := caller.Write([]byte("QUERY i READ a\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.quiet.HasInput).Should(BeTrue())
		done := make(chan bool, 1)
		go func() { done <- s.awaitInput() }()
		Eventually(done).Should(Receive(BeTrue()))
	})

	It("closes a session that is idle when its time has come", func() {
		_, served := pair()
		s := newSession(newServer(), served)
		s.server.departure.Store(&departure{begun: time.Now().Add(-time.Second)})
		done := make(chan bool, 1)
		go func() { done <- s.awaitInput() }()
		Eventually(done).Should(Receive(BeFalse()))
	})

	It("wakes sessions that wait, and lets them stay if it ends", func() {
		caller, served := pair()
		server := New(Config{Stop: StopTimes{IdleCloseStart: time.Hour, IdleCloseEnd: 2 * time.Hour}})
		s := newSession(server, served)
		server.add(s)
		done := make(chan bool, 1)
		go func() { done <- s.awaitInput() }()
		server.SetDraining(true)
		server.SetDraining(true)
		server.SetDraining(false)
		Expect(server.departure.Load()).To(BeNil())
		_, err := caller.Write([]byte("Q"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(done).Should(Receive(BeTrue()))
	})

	It("for a stop is not ended by anything else", func() {
		server := newServer()
		server.depart(&departure{begun: time.Now(), final: true})
		server.SetDraining(false)
		Expect(server.departure.Load().final).To(BeTrue())
	})
})
