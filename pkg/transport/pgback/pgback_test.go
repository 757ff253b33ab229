package pgback_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/pgback"
	"gypsumdock/pkg/verdict"
)

func TestPgback(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pgback")
}

// database is a fake PostgreSQL server. It authenticates connections with a clear
// text password, counts them and answers each query with a CommandComplete.
type database struct {
	listener net.Listener
	// open is the number of connections now; maxOpen is the highest so far.
	open    atomic.Int64
	maxOpen atomic.Int64
	// logins counts the connections that have logged in.
	logins atomic.Int64
	// loginGate, if set, holds logins back until it is closed.
	loginGate atomic.Pointer[chan struct{}]

	mu      sync.Mutex
	queries []string
	conns   []net.Conn
}

func newDatabase() *database {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	d := &database{listener: listener}
	DeferCleanup(listener.Close)
	go d.serve()
	return d
}

func (d *database) serve() {
	for {
		connection, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		d.conns = append(d.conns, connection)
		d.mu.Unlock()
		d.addOpen(1)
		go d.run(connection)
	}
}

// addOpen changes the number of open connections and updates the highest.
func (d *database) addOpen(change int64) {
	now := d.open.Add(change)
	for {
		most := d.maxOpen.Load()
		if now <= most || d.maxOpen.CompareAndSwap(most, now) {
			return
		}
	}
}

// holdLogins makes logins wait until the returned channel is closed.
func (d *database) holdLogins() chan struct{} {
	gate := make(chan struct{})
	d.loginGate.Store(&gate)
	return gate
}

func (d *database) run(connection net.Conn) {
	// As in PostgreSQL, the connection is no longer counted when the client sees
	// that it is closed.
	defer connection.Close()
	defer d.addOpen(-1)
	if gate := d.loginGate.Load(); gate != nil {
		<-*gate
	}
	wire := pgproto3.NewBackend(connection, connection)
	if _, err := wire.ReceiveStartupMessage(); err != nil {
		return
	}
	wire.Send(&pgproto3.AuthenticationCleartextPassword{})
	_ = wire.Flush()
	message, err := wire.Receive()
	password, ok := message.(*pgproto3.PasswordMessage)
	if err != nil || !ok {
		return
	}
	if password.Password != "secret" {
		wire.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "28P01", Message: "no"})
		_ = wire.Flush()
		return
	}
	d.logins.Add(1)
	wire.Send(&pgproto3.AuthenticationOk{})
	wire.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	for {
		wire.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		if wire.Flush() != nil {
			return
		}
		message, err := wire.Receive()
		query, ok := message.(*pgproto3.Query)
		if err != nil || !ok {
			return
		}
		d.mu.Lock()
		d.queries = append(d.queries, query.String)
		d.mu.Unlock()
		wire.Send(&pgproto3.CommandComplete{CommandTag: []byte("DISCARD ALL")})
	}
}

func (d *database) receivedQueries() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.queries...)
}

// closeConnections closes all connections on the server's side.
func (d *database) closeConnections() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, connection := range d.conns {
		_ = connection.Close()
	}
}

// ticket returns a ticket for the database whose deadline is wait from now.
func (d *database) ticket(generation model.Generation, wait time.Duration) *traffic.Ticket {
	group := &bundle.Group{
		ID: "g", Database: "db", User: "proxy", Password: "secret",
		Upstreams: []bundle.Upstream{{ID: "u", Address: d.listener.Addr().String()}},
	}
	return &traffic.Ticket{
		Group:      group,
		Upstream:   &group.Upstreams[0],
		Generation: generation,
		Deadline:   time.Now().Add(wait),
	}
}

const (
	longWait  = 10 * time.Second
	shortWait = 20 * time.Millisecond
)

var _ = Describe("Pools", func() {
	var (
		ctx   = context.Background()
		d     *database
		pools *pgback.Pools
	)

	newPools := func(config pgback.Config) {
		GinkgoHelper()
		created, err := pgback.New(config)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(created.Close)
		pools = created
	}
	acquire := func(generation model.Generation) pgback.Backend {
		GinkgoHelper()
		backend, refused := pools.Acquire(ctx, d.ticket(generation, longWait))
		Expect(refused).To(BeNil())
		return backend
	}
	stats := func() pgback.Stats { return pools.StatsOf("u") }
	isBalanced := func() bool {
		s := stats()
		return s.Opened == s.Closed+uint64(s.Open)
	}

	BeforeEach(func() {
		d = newDatabase()
		newPools(pgback.Config{DefaultLimit: 2})
	})

	It("never opens more connections than the limit, and refuses at the deadline with outcome NotRun", func() {
		first := acquire(1)
		second := acquire(1)
		_, refused := pools.Acquire(ctx, d.ticket(1, shortWait))
		Expect(refused.Code).To(Equal(verdict.Overloaded))
		Expect(refused.Outcome).To(Equal(verdict.NotRun))
		first.Release(pgback.ReuseClean)
		second.Release(pgback.ReuseNever)
		Eventually(isBalanced).Should(BeTrue())
		Expect(stats().Idle).To(Equal(1))
		Expect(d.maxOpen.Load()).To(BeEquivalentTo(2))
	})

	It("stays within the limit while many goroutines close and open connections", func() {
		group := sync.WaitGroup{}
		for i := range 40 {
			group.Go(func() {
				defer GinkgoRecover()
				backend := acquire(1)
				backend.Release(pgback.Reuse(i % 3))
			})
		}
		group.Wait()
		Eventually(isBalanced).Should(BeTrue())
		Expect(d.maxOpen.Load()).To(BeNumerically("<=", 2))
	})

	It("gives a released connection to the unit that has waited longest", func() {
		first := acquire(1)
		second := acquire(1)
		order := make(chan int, 2)
		for i := range 2 {
			go func() {
				defer GinkgoRecover()
				backend := acquire(1)
				order <- i
				backend.Release(pgback.ReuseClean)
			}()
			Eventually(func() int { return stats().Waiting }).Should(Equal(i + 1))
		}
		first.Release(pgback.ReuseNever)
		Expect(<-order).To(Equal(0))
		Expect(<-order).To(Equal(1))
		second.Release(pgback.ReuseClean)
	})

	It("closes idle connections at once when the limit shrinks, and others on release", func() {
		first := acquire(1)
		second := acquire(1)
		first.Release(pgback.ReuseClean)
		pools.SetLimit("u", 1)
		Eventually(d.open.Load).Should(BeEquivalentTo(1))
		pools.SetLimit("u", 0)
		Expect(d.open.Load()).To(BeEquivalentTo(1))
		second.Release(pgback.ReuseClean)
		Eventually(d.open.Load).Should(BeEquivalentTo(0))
		Eventually(isBalanced).Should(BeTrue())
	})

	It("does not reuse an idle connection of an older generation", func() {
		acquire(1).Release(pgback.ReuseClean)
		acquire(2).Release(pgback.ReuseClean)
		Expect(d.logins.Load()).To(BeEquivalentTo(2))
		Eventually(d.open.Load).Should(BeEquivalentTo(1))
	})

	It("closes a connection of an older generation on its release", func() {
		inUse := acquire(1)
		acquire(2).Release(pgback.ReuseClean)
		inUse.Release(pgback.ReuseClean)
		Eventually(d.open.Load).Should(BeEquivalentTo(1))
		Expect(stats().Idle).To(Equal(1))
	})

	It("does not reuse a connection that the database has closed", func() {
		acquire(1).Release(pgback.ReuseClean)
		d.closeConnections()
		Eventually(d.open.Load).Should(BeEquivalentTo(0))
		backend := acquire(1)
		Expect(d.logins.Load()).To(BeEquivalentTo(2))
		backend.Release(pgback.ReuseClean)
	})

	It("reuses a connection after the deadline of its last use", func() {
		backend := acquire(1)
		Expect(backend.SetDeadline(time.Now().Add(-time.Second))).To(Succeed())
		backend.Release(pgback.ReuseClean)
		acquire(1).Release(pgback.ReuseClean)
		Expect(d.logins.Load()).To(BeEquivalentTo(1))
	})

	It("resets a connection before its next use", func() {
		acquire(1).Release(pgback.ReuseAfterReset)
		Expect(d.receivedQueries()).To(Equal([]string{"DISCARD ALL"}))
		Expect(stats().Idle).To(Equal(1))
	})

	It("does not answer a burst of work with a burst of logins", func() {
		newPools(pgback.Config{DefaultLimit: 16})
		gate := d.holdLogins()
		group := sync.WaitGroup{}
		for range 16 {
			group.Go(func() {
				defer GinkgoRecover()
				acquire(1).Release(pgback.ReuseClean)
			})
		}
		Eventually(func() int { return stats().Waiting }).Should(Equal(14))
		Consistently(d.open.Load, "20ms").Should(BeNumerically("<=", 2))
		close(gate)
		group.Wait()
		Expect(d.maxOpen.Load()).To(BeNumerically("<", 16))
	})

	It("opens connections in advance up to MinIdle", func() {
		newPools(pgback.Config{DefaultLimit: 5, MinIdle: 3})
		t := d.ticket(1, longWait)
		pools.Warm(t.Group, t.Upstream, 1)
		Eventually(func() int { return stats().Idle }).Should(Equal(3))
		Consistently(func() int { return stats().Open }, "30ms").Should(Equal(3))
	})

	It("returns NoUpstream with outcome NotRun if the database refuses the login", func() {
		t := d.ticket(1, longWait)
		t.Group.Password = "wrong"
		_, refused := pools.Acquire(ctx, t)
		Expect(refused.Code).To(Equal(verdict.NoUpstream))
		Expect(refused.Outcome).To(Equal(verdict.NotRun))
		Expect(refused.Error()).NotTo(ContainSubstring("wrong"))
		Eventually(func() int { return stats().Open }).Should(BeZero())
	})

	It("evicts the least recently used statement of a connection at the limit", func() {
		newPools(pgback.Config{DefaultLimit: 1, MaxStatements: 2})
		backend := acquire(1)
		Expect(backend.UsePrepared("a")).To(Equal(pgback.PreparedState{}))
		Expect(backend.UsePrepared("b")).To(Equal(pgback.PreparedState{}))
		Expect(backend.UsePrepared("a").Known).To(BeTrue())
		Expect(backend.UsePrepared("c")).To(Equal(pgback.PreparedState{Evicted: "b"}))
		Expect(backend.UsePrepared("a").Known).To(BeTrue())
		backend.Release(pgback.ReuseClean)
	})
})
