package pgfront_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/pgfront"
	"gypsumdock/pkg/verdict"
)

var _ = Describe("the outcome that a caller gets", func() {
	var (
		b   *testbed
		ctx = context.Background()
	)

	BeforeEach(func() { b = newTestbed(2, nil) })

	DescribeTable("is MayHaveRun for a write whose upstream is lost, and the write is not sent again",
		func(adjust func(*pgx.ConnConfig)) {
			conn := b.connect(adjust)
			_, err := conn.Exec(ctx, "die $1", "now")
			Expect(sqlStateOf(err)).To(Equal("08007"))
			Expect(queryText(conn, "select on")).To(Equal("on"))
			Expect(b.upstream.log()).To(HaveLen(2))
			Expect(b.engine.InFlight()).To(BeZero())
		},
		Entry("extended", nil),
		Entry("simple", simpleProtocol),
	)

	It("comes after two retries for a read whose upstream is lost before any answer", func() {
		conn := b.connect(simpleProtocol)
		_, err := conn.Exec(ctx, "select die")
		Expect(sqlStateOf(err)).To(Equal("08007"))
		Expect(b.upstream.log()).To(Equal([]string{"select die", "select die", "select die"}))
	})

	It("is never NotRun after a first attempt was sent", func() {
		b.engine.OnAdmit = func(t *traffic.Ticket) *verdict.Error {
			if t.Statement.Attempt == 0 {
				return nil
			}
			return verdict.New(verdict.Overloaded, verdict.NotRun, "too many retries")
		}
		conn := b.connect(simpleProtocol)
		_, err := conn.Exec(ctx, "select die")
		Expect(sqlStateOf(err)).To(Equal("08007"))
	})

	It("comes without a retry for a read that may run at most once", func() {
		b.engine.OnAdmit = func(t *traffic.Ticket) *verdict.Error {
			t.Route = &bundle.Route{AtMostOnce: true}
			return nil
		}
		conn := b.connect(simpleProtocol)
		_, err := conn.Exec(ctx, "select die")
		Expect(sqlStateOf(err)).To(Equal("08007"))
		Expect(b.upstream.log()).To(HaveLen(1))
	})

	It("is an error, never a result, when the upstream is lost during an answer", func() {
		conn := b.connect(nil)
		rows, err := conn.Query(ctx, "select half 5000")
		Expect(err).NotTo(HaveOccurred())
		for rows.Next() {
		}
		Expect(sqlStateOf(rows.Err())).To(Equal("08007"))
		Expect(queryText(conn, "select $1", "on")).To(Equal("on"))
	})

	It("is NotRun, and nothing is sent, when the engine refuses to send", func() {
		attempts := atomic.Int32{}
		b.engine.OnMaySend = func(*traffic.Ticket) *verdict.Error {
			attempts.Add(1)
			return verdict.New(verdict.NoPermit, verdict.NotRun, "no permit").WithRetryAfter(time.Second)
		}
		conn := b.connect(nil)
		_, err := conn.Exec(ctx, "insert $1", "a")
		Expect(sqlStateOf(err)).To(Equal("25006"))
		var pgError *pgconn.PgError
		Expect(errors.As(err, &pgError)).To(BeTrue())
		Expect(pgError.Detail).To(Equal("The request was not run. Retry after 1000 ms."))
		Expect(b.upstream.log()).To(BeEmpty())
		Expect(b.engine.InFlight()).To(BeZero())
	})

	DescribeTable("replaces the answer to a write that the engine does not acknowledge",
		func(adjust func(*pgx.ConnConfig), sql string, argument ...any) {
			b.engine.OnAcknowledge = func(*traffic.Ticket, model.LSN) *verdict.Error {
				return verdict.New(verdict.PermitLapsed, verdict.MayHaveRun, "the permit lapsed")
			}
			conn := b.connect(adjust)
			tag, err := conn.Exec(ctx, sql, argument...)
			Expect(sqlStateOf(err)).To(Equal("08007"))
			Expect(tag.String()).To(BeElementOf("", "BEGIN"))
			Expect(queryText(conn, "select on")).To(Equal("on"))
			Expect(b.engine.AcknowledgedPositions()).To(HaveLen(1))
		},
		Entry("extended", nil, "insert $1", "a"),
		Entry("simple", simpleProtocol, "insert a"),
		Entry("with rows", nil, "insert $1 returning id", "a"),
		Entry("with its transaction in one query", simpleProtocol, "begin; insert a; commit"),
		Entry("several statements", simpleProtocol, "insert a; insert b"),
	)

	It("replaces the answer to a commit", func() {
		b.engine.OnAcknowledge = func(*traffic.Ticket, model.LSN) *verdict.Error {
			return verdict.New(verdict.PermitLapsed, verdict.MayHaveRun, "the permit lapsed")
		}
		conn := b.connect(nil)
		tx, err := conn.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "insert $1", "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(sqlStateOf(tx.Commit(ctx))).To(Equal("08007"))
	})

	It("acknowledges with the position that the commit has reached", func() {
		conn := b.connect(nil)
		_, err := conn.Exec(ctx, "insert $1", "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(b.engine.AcknowledgedPositions()).To(Equal([]model.LSN{0x110}))
		Expect(queryText(conn, "select $1", "x")).To(Equal("x"))
		Expect(b.engine.AcknowledgedPositions()).To(HaveLen(1))
	})

	It("acknowledges a write on a route that is declared read-only", func() {
		b.engine.OnAdmit = func(t *traffic.Ticket) *verdict.Error {
			t.Route = &bundle.Route{ReadOnly: true}
			return nil
		}
		conn := b.connect(nil)
		_, err := conn.Exec(ctx, "insert $1", "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(b.engine.AcknowledgedPositions()).To(HaveLen(1))
	})

	It("comes at the deadline, and the connection is not used again", func() {
		b.engine.OnAdmit = func(t *traffic.Ticket) *verdict.Error {
			if t.Statement.Tag == "short" {
				t.Deadline = time.Now().Add(500 * time.Millisecond)
			}
			return nil
		}
		conn := b.connect(simpleProtocol)
		_, err := conn.Exec(ctx, "select pause /*route='short'*/")
		Expect(sqlStateOf(err)).To(Equal("08007"))
		Expect(queryText(conn, "select next")).To(Equal("next"))
		b.upstream.resume()
		for range 3 {
			Expect(queryText(conn, "select later")).To(Equal("later"))
		}
		Expect(b.upstream.accepted.Load()).To(BeEquivalentTo(2))
	})

	It("aborts a transaction that is idle past its deadline", func() {
		b.engine.OnAdmit = func(t *traffic.Ticket) *verdict.Error {
			t.Deadline = time.Now().Add(500 * time.Millisecond)
			return nil
		}
		conn := b.connect(nil)
		tx, err := conn.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "insert a")
		Expect(err).NotTo(HaveOccurred())
		Eventually(b.engine.InFlight).Should(BeZero())
		_, err = tx.Exec(ctx, "insert b")
		Expect(sqlStateOf(err)).To(Equal("57014"))
		Expect(tx.Commit(ctx)).To(MatchError(pgx.ErrTxCommitRollback))
		Expect(b.upstream.log()).To(Equal([]string{"begin", "insert a"}))
	})

	It("is an error when the held part of an answer exceeds MaxHeldBytes", func() {
		small := newTestbed(1, func(c *pgfront.Config) { c.MaxHeldBytes = 1000 })
		conn := small.connect(simpleProtocol)
		_, err := conn.Exec(ctx, "insert a; select rows 100")
		Expect(sqlStateOf(err)).To(Equal("08007"))
		Expect(small.engine.InFlight()).To(BeZero())
	})
})

var _ = Describe("a caller that disconnects", func() {
	It("leaves no transaction, connection or ticket open", func() {
		b := newTestbed(1, nil)
		ctx := context.Background()
		conn := b.connect(nil)
		_, err := conn.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Exec(ctx, "insert a")
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.PgConn().Conn().Close()).To(Succeed())
		Eventually(b.engine.InFlight).Should(BeZero())
		Eventually(b.upstream.openConns).Should(BeZero())
		Expect(b.upstream.log()).To(Equal([]string{"begin", "insert a"}))
		other := b.connect(nil)
		Expect(queryText(other, "select $1", "on")).To(Equal("on"))
	})

	It("has its waiting statement dropped", func() {
		b := newTestbed(1, nil)
		ctx := context.Background()
		first := b.connect(simpleProtocol)
		_, err := first.Exec(ctx, "begin")
		Expect(err).NotTo(HaveOccurred())
		_, err = first.Exec(ctx, "insert a")
		Expect(err).NotTo(HaveOccurred())
		second := b.connect(simpleProtocol)
		raw := rawConn(second)
		_, err = raw.Write(encode(&pgproto3.Query{String: "insert b"}))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return b.pools.StatsOf("plugs-1").Waiting }).Should(Equal(1))
		time.Sleep(10 * time.Millisecond)
		Expect(raw.Close()).To(Succeed())
		_, err = first.Exec(ctx, "commit")
		Expect(err).NotTo(HaveOccurred())
		Eventually(b.server.SessionCount).Should(Equal(1))
		Expect(b.upstream.log()).To(Equal([]string{"begin", "insert a", "commit"}))
	})
})
