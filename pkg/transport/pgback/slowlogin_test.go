package pgback_test

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/transport/pgback"
)

// slowConn is a socket whose writes return only after another goroutine has read
// the answer to them and has started the next read. Package pgconn reads in the
// background during such a write.
type slowConn struct {
	net.Conn

	mu            sync.Mutex
	stateChanged  *sync.Cond
	readsReturned int
	reading       bool
	// unblocked makes writes return at once.
	unblocked bool
}

func newSlowConn(connection net.Conn) *slowConn {
	c := &slowConn{Conn: connection}
	c.stateChanged = sync.NewCond(&c.mu)
	return c
}

func (c *slowConn) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	c.stateChanged.Broadcast()
}

func (c *slowConn) Read(p []byte) (int, error) {
	c.update(func() { c.reading = true })
	n, err := c.Conn.Read(p)
	c.update(func() {
		c.reading = false
		if n > 0 {
			c.readsReturned++
		}
	})
	return n, err
}

func (c *slowConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	before := c.readsReturned
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	for err == nil && !c.unblocked && (c.readsReturned == before || !c.reading) {
		c.stateChanged.Wait()
	}
	return n, err
}

var _ = Describe("a login with slow writes", func() {
	// Guards against pgconn's background read, started during a slow write of the
	// login: it used to continue after the login and consume the answer to the
	// connection's first request.
	It("leaves no background read on the connection", func() {
		d := newDatabase()
		pools, err := pgback.New(pgback.Config{DefaultLimit: 1})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(pools.Close)
		opened := make(chan *slowConn, 1)
		pgback.SetDialFunc(pools, func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			slow := newSlowConn(connection)
			opened <- slow
			return slow, nil
		})
		backend, refused := pools.Acquire(context.Background(), d.ticket(1, longWait))
		Expect(refused).To(BeNil())
		slow := <-opened
		slow.update(func() { slow.unblocked = true })
		Expect(backend.SetDeadline(time.Now().Add(longWait))).To(Succeed())
		backend.Send(&pgproto3.Query{String: "select 1"})
		Expect(backend.Flush()).To(Succeed())
		message, err := backend.Receive()
		Expect(err).NotTo(HaveOccurred())
		Expect(message).To(BeAssignableToTypeOf(&pgproto3.CommandComplete{}))
		backend.Release(pgback.ReuseNever)
	})
})
