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

// slowConn is a socket whose writes return only once the answer to them has
// been read by somebody else, who then reads on. Package pgconn reads in the
// background during such a write.
type slowConn struct {
	net.Conn

	mu       sync.Mutex
	changed  *sync.Cond
	returned int
	reading  bool
	// asWritten ends the slowness of writes.
	asWritten bool
}

func newSlowConn(connection net.Conn) *slowConn {
	c := &slowConn{Conn: connection}
	c.changed = sync.NewCond(&c.mu)
	return c
}

func (c *slowConn) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	c.changed.Broadcast()
}

func (c *slowConn) Read(p []byte) (int, error) {
	c.set(func() { c.reading = true })
	n, err := c.Conn.Read(p)
	c.set(func() {
		c.reading = false
		if n > 0 {
			c.returned++
		}
	})
	return n, err
}

func (c *slowConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	before := c.returned
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	for err == nil && !c.asWritten && (c.returned == before || !c.reading) {
		c.changed.Wait()
	}
	return n, err
}

var _ = Describe("a login whose writes are slow", func() {
	// The goroutine that read in the background during the login went on to
	// read, and took the first answer to the connection's first user.
	It("leaves nobody else reading from the connection", func() {
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
		slow.set(func() { slow.asWritten = true })
		Expect(backend.SetDeadline(time.Now().Add(longWait))).To(Succeed())
		backend.Send(&pgproto3.Query{String: "select 1"})
		Expect(backend.Flush()).To(Succeed())
		message, err := backend.Receive()
		Expect(err).NotTo(HaveOccurred())
		Expect(message).To(BeAssignableToTypeOf(&pgproto3.CommandComplete{}))
		backend.Release(pgback.ReuseNever)
	})
})
