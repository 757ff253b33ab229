package mesh_test

import (
	"net"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/transport/mesh"
)

// lingeringConn is a connection whose reads do not end when it is closed, before
// release is called: the session on it stays in the middle of closing.
type lingeringConn struct {
	net.Conn
	closed   chan struct{}
	released chan struct{}
}

func newLingeringConn(conn net.Conn) *lingeringConn {
	return &lingeringConn{Conn: conn, closed: make(chan struct{}), released: make(chan struct{})}
}

func (c *lingeringConn) Close() error {
	close(c.closed)
	return c.Conn.Close()
}

func (c *lingeringConn) release() { close(c.released) }

func (c *lingeringConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		<-c.released
	}
	return n, err
}

// readTimeout ends a spec whose read does not return.
const readTimeout = 20 * time.Second

var _ = Describe("a session that closes", func() {
	var near *lingeringConn
	var session *mesh.MuxSession
	var peer *yamux.Session
	var stream net.Conn
	var closing chan struct{}

	BeforeEach(func() {
		left, right := net.Pipe()
		near = newLingeringConn(left)
		var err error
		session, err = mesh.NewMuxClient(near)
		Expect(err).NotTo(HaveOccurred())
		peer, err = yamux.Server(right, nil)
		Expect(err).NotTo(HaveOccurred())
		stream, err = session.OpenStream()
		Expect(err).NotTo(HaveOccurred())
		closing = make(chan struct{})
	})

	// closeSession starts to close the session, and ends all at the end of the spec.
	closeSession := func() {
		go func() {
			defer close(closing)
			_ = session.Close()
		}()
		DeferCleanup(func() {
			near.release()
			<-closing
			_ = peer.Close()
		})
	}

	It("ends a read of a stream before the session has closed its streams", func(ctx SpecContext) {
		read := make(chan error, 1)
		go func() {
			_, err := stream.Read(make([]byte, 1))
			read <- err
		}()
		closeSession()
		Eventually(ctx, read).Should(Receive(MatchError(yamux.ErrSessionShutdown)))
		Expect(closing).NotTo(BeClosed())
	}, SpecTimeout(readTimeout))

	It("ends a read that starts while it closes, whatever deadline is set", func(ctx SpecContext) {
		closeSession()
		Eventually(ctx, near.closed).Should(BeClosed())
		Expect(stream.SetReadDeadline(time.Time{})).To(Succeed())
		_, err := stream.Read(make([]byte, 1))
		Expect(err).To(MatchError(yamux.ErrSessionShutdown))
		Expect(closing).NotTo(BeClosed())
	}, SpecTimeout(readTimeout))
})
