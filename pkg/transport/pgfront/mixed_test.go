package pgfront_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/verdict"
)

const (
	mixedCallers     = 12
	mixedSteps       = 60
	mixedConnections = 3
)

// mixedCaller runs a random sequence of caller operations, and checks that each
// answer belongs to its own request.
type mixedCaller struct {
	testbed *testbed
	random  *rand.Rand
	id      int
	step    int
	conn    *pgx.Conn
}

func (m *mixedCaller) run() {
	defer GinkgoRecover()
	for m.step = range mixedSteps {
		m.connect()
		m.runRandomStep()
	}
	if m.conn != nil {
		_ = m.conn.Close(context.Background())
	}
}

func (m *mixedCaller) connect() {
	if m.conn != nil && !m.conn.IsClosed() {
		return
	}
	adjust := []func(*pgx.ConnConfig){nil, simpleProtocol}[m.random.IntN(2)]
	conn, err := m.testbed.dial(adjust)
	Expect(err).NotTo(HaveOccurred())
	m.conn = conn
}

// value returns text that is unique to the caller and the step.
func (m *mixedCaller) value() string { return fmt.Sprintf("c%ds%d", m.id, m.step) }

func (m *mixedCaller) runRandomStep() {
	ctx := context.Background()
	value := m.value()
	switch m.random.IntN(10) {
	case 0, 1, 2:
		got, err := queryText(m.conn, "select "+value)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(value))
	case 3, 4:
		m.runTransaction(value)
	case 5:
		_, err := m.conn.Exec(ctx, "die "+value)
		Expect(sqlStateOf(err)).To(Equal("08007"))
	case 6:
		_, err := m.conn.Exec(ctx, "fail")
		Expect(sqlStateOf(err)).To(Equal("22012"))
	case 7:
		m.cancelStatement()
	case 8:
		m.disconnect(value)
	case 9:
		m.readRows()
	}
}

func (m *mixedCaller) runTransaction(value string) {
	ctx := context.Background()
	tx, err := m.conn.Begin(ctx)
	Expect(err).NotTo(HaveOccurred())
	for range m.random.IntN(3) + 1 {
		_, err := tx.Exec(ctx, "insert "+value)
		Expect(err).NotTo(HaveOccurred())
		got := ""
		Expect(tx.QueryRow(ctx, "select "+value).Scan(&got)).To(Succeed())
		Expect(got).To(Equal(value))
	}
	Expect(tx.Commit(ctx)).To(Succeed())
}

// cancelStatement runs a statement and sends cancel requests until it ends.
func (m *mixedCaller) cancelStatement() {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan struct{})
	pgConn := m.conn.PgConn()
	go func() {
		defer close(done)
		// A cancel request that arrives before the statement has no effect, so requests
		// are repeated. Each is awaited, so that none arrives after the statement.
		for ctx.Err() == nil {
			_ = pgConn.CancelRequest(context.Background())
		}
	}()
	_, err := m.conn.Exec(context.Background(), "select wait")
	stop()
	<-done
	Expect(sqlStateOf(err)).To(Equal("57014"))
}

// disconnect closes the connection during a transaction, in half of the cases also
// during an answer.
func (m *mixedCaller) disconnect(value string) {
	ctx := context.Background()
	_, err := m.conn.Exec(ctx, "begin")
	Expect(err).NotTo(HaveOccurred())
	_, err = m.conn.Exec(ctx, "insert "+value+"-lost")
	Expect(err).NotTo(HaveOccurred())
	if m.random.IntN(2) == 0 {
		_, _ = m.conn.PgConn().Conn().Write(encode(query("select rows 3000")))
	}
	_ = m.conn.PgConn().Conn().Close()
	m.conn = nil
}

func (m *mixedCaller) readRows() {
	rows, err := m.conn.Query(context.Background(), "select rows 300")
	Expect(err).NotTo(HaveOccurred())
	count := 0
	for rows.Next() {
		count++
	}
	Expect(rows.Err()).NotTo(HaveOccurred())
	Expect(count).To(Equal(300))
}

var _ = Describe("many callers at once", func() {
	It("get the answers to their own requests, and leave no session, ticket or connection in use", func() {
		b := newTestbed(mixedConnections, nil)
		b.engine.OnAdmit = func(t *traffic.Ticket) *verdict.Error {
			t.Deadline = time.Now().Add(time.Minute)
			return nil
		}
		group := sync.WaitGroup{}
		for id := range mixedCallers {
			caller := &mixedCaller{testbed: b, random: rand.New(rand.NewPCG(1, uint64(id))), id: id}
			group.Go(caller.run)
		}
		group.Wait()
		Eventually(b.engine.InFlight).Should(BeZero())
		Eventually(b.server.SessionCount).Should(BeZero())
		expectConsistentCounters(b)
		expectSeparateTransactions(b.upstream)
	})
})

// expectConsistentCounters checks that the counters agree when no request is in
// progress.
func expectConsistentCounters(b *testbed) {
	GinkgoHelper()
	Eventually(func() bool {
		stats := b.pools.StatsOf("plugs-1")
		return stats.Opened == stats.Closed+uint64(stats.Open) && stats.Open == stats.Idle
	}).Should(BeTrue())
	stats := b.server.Stats()
	Expect(stats.Requests).To(Equal(stats.Answered + stats.Abandoned))
	Expect(b.upstream.maxOpenConns()).To(BeNumerically("<=", mixedConnections))
}

// expectSeparateTransactions checks that each transaction at the upstream holds
// statements of one caller and step only, and that no transaction of a disconnected
// caller was committed.
func expectSeparateTransactions(u *upstream) {
	GinkgoHelper()
	for _, transaction := range u.transactions() {
		owners := map[string]bool{}
		for _, statement := range transaction.statements {
			if value, found := strings.CutPrefix(statement, "insert "); found {
				owners[value] = true
			}
		}
		Expect(len(owners)).To(BeNumerically("<=", 1), "%v", transaction.statements)
		if transaction.committed {
			Expect(strings.Join(transaction.statements, ";")).NotTo(ContainSubstring("-lost"))
		}
	}
}
