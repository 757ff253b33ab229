package faultproxy_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/faultproxy"
)

func TestFaultproxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "faultproxy")
}

// echo starts a server that returns what it receives and reports it.
func echo() (string, <-chan string) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	received := make(chan string, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buffer := make([]byte, 64)
				for {
					count, err := conn.Read(buffer)
					if err != nil {
						return
					}
					received <- string(buffer[:count])
					_, _ = conn.Write(buffer[:count])
				}
			}()
		}
	}()
	return listener.Addr().String(), received
}

var _ = Describe("a proxy", func() {
	var (
		proxy    *faultproxy.Proxy
		received <-chan string
	)

	BeforeEach(func() {
		var target string
		target, received = echo()
		var err error
		proxy, err = faultproxy.Start("127.0.0.1:0", target)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
	})

	dial := func() net.Conn {
		GinkgoHelper()
		conn, err := net.Dial("tcp", proxy.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		return conn
	}
	send := func(conn net.Conn, text string) {
		GinkgoHelper()
		_, err := conn.Write([]byte(text))
		Expect(err).NotTo(HaveOccurred())
	}
	read := func(conn net.Conn, count int) (string, error) {
		buffer := make([]byte, count)
		got, err := io.ReadFull(conn, buffer)
		return string(buffer[:got]), err
	}

	It("silences one direction only, and delivers late once healed", func() {
		conn := dial()
		send(conn, "a")
		Expect(read(conn, 1)).To(Equal("a"))
		Eventually(received).Should(Receive(Equal("a")))
		proxy.Silence(faultproxy.ToClient)
		send(conn, "b")
		Eventually(received).Should(Receive(Equal("b")))
		Expect(conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))).To(Succeed())
		_, err := read(conn, 1)
		Expect(err).To(MatchError(ContainSubstring("timeout")))
		Expect(conn.SetReadDeadline(time.Time{})).To(Succeed())
		proxy.Heal()
		Expect(read(conn, 1)).To(Equal("b"))
	})

	It("resets connections and refuses new ones until healed", func() {
		conn := dial()
		send(conn, "a")
		Expect(read(conn, 1)).To(Equal("a"))
		proxy.Reset()
		_, err := read(conn, 1)
		Expect(err).To(HaveOccurred())
		// The reset of a new connection shows in the connect or in a read.
		refused, err := net.Dial("tcp", proxy.Address())
		if err == nil {
			_, err = read(refused, 1)
			_ = refused.Close()
		}
		Expect(err).To(MatchError(syscall.ECONNRESET))
		proxy.Heal()
		healed := dial()
		send(healed, "b")
		Expect(read(healed, 1)).To(Equal("b"))
	})

	It("truncates a stream and ends it", func() {
		conn := dial()
		proxy.Truncate(faultproxy.ToClient, 3)
		send(conn, "abcde")
		got, err := read(conn, 5)
		Expect(err).To(HaveOccurred())
		Expect(got).To(Equal("abc"))
	})

	It("holds a connection made in silence until it heals", func() {
		proxy.Silence(faultproxy.ToServer)
		conn := dial()
		send(conn, "a")
		Consistently(received, "20ms").ShouldNot(Receive())
		proxy.Heal()
		Expect(read(conn, 1)).To(Equal("a"))
	})
})
