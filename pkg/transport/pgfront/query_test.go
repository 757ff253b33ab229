package pgfront_test

import (
	"context"
	"sync"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/transport/pgfront"
)

func queryText(conn *pgx.Conn, sql string, args ...any) (string, error) {
	value := ""
	err := conn.QueryRow(context.Background(), sql, args...).Scan(&value)
	return value, err
}

var _ = Describe("the pgx client", func() {
	var (
		b   *testbed
		ctx = context.Background()
	)

	BeforeEach(func() { b = newTestbed(1, nil) })

	It("uses the simple protocol", func() {
		conn := b.connect(simpleProtocol)
		Expect(queryText(conn, "select hello")).To(Equal("hello"))
		_, err := conn.Exec(ctx, "fail")
		Expect(sqlStateOf(err)).To(Equal("22012"))
		Expect(queryText(conn, "select again")).To(Equal("again"))
	})

	It("keeps prepared statements of two callers apart on one connection", func() {
		first := b.connect(nil)
		second := b.connect(nil)
		for range 3 {
			Expect(queryText(first, "select $1", "one")).To(Equal("one"))
			Expect(queryText(second, "select $1", "two")).To(Equal("two"))
		}
		_, err := first.Prepare(ctx, "s", "select a$1")
		Expect(err).NotTo(HaveOccurred())
		_, err = second.Prepare(ctx, "s", "select b$1")
		Expect(err).NotTo(HaveOccurred())
		Expect(queryText(first, "s", "x")).To(Equal("ax"))
		Expect(queryText(second, "s", "x")).To(Equal("bx"))
		Expect(b.upstream.accepted.Load()).To(BeEquivalentTo(1))
	})

	It("can prepare a statement under a name whose first Parse failed", func() {
		conn := b.connect(nil)
		_, err := conn.Prepare(ctx, "s", "select syntax error")
		Expect(sqlStateOf(err)).To(Equal("42601"))
		_, err = conn.Prepare(ctx, "s", "select $1")
		Expect(err).NotTo(HaveOccurred())
		Expect(queryText(conn, "s", "x")).To(Equal("x"))
	})

	It("runs pipelines and stops at the first error", func() {
		conn := b.connect(nil)
		batch := &pgx.Batch{}
		batch.Queue("select $1", "one")
		batch.Queue("fail")
		batch.Queue("select $1", "three")
		results := conn.SendBatch(ctx, batch)
		_, err := results.Exec()
		Expect(err).NotTo(HaveOccurred())
		_, err = results.Exec()
		Expect(sqlStateOf(err)).To(Equal("22012"))
		Expect(results.Close()).To(HaveOccurred())
		Expect(queryText(conn, "select $1", "after")).To(Equal("after"))
	})

	It("reads a large result completely", func() {
		conn := b.connect(nil)
		rows, err := conn.Query(ctx, "select rows 20000")
		Expect(err).NotTo(HaveOccurred())
		count := 0
		for rows.Next() {
			count++
		}
		Expect(rows.Err()).NotTo(HaveOccurred())
		Expect(count).To(Equal(20000))
	})

	It("does not leak session settings to the next caller", func() {
		first := b.connect(simpleProtocol)
		second := b.connect(simpleProtocol)
		_, err := first.Exec(ctx, "set search_path = first")
		Expect(err).NotTo(HaveOccurred())
		Expect(queryText(second, "select setting")).To(BeEmpty())
		Expect(b.upstream.log()).To(ContainElement("DISCARD ALL"))
	})

	It("keeps one connection during a transaction", func() {
		conn := b.connect(nil)
		tx, err := conn.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "insert $1", "a")
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "insert $1", "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(b.engine.AcknowledgedPositions()).To(BeEmpty())
		Expect(tx.Commit(ctx)).To(Succeed())
		Expect(b.upstream.log()).To(Equal([]string{"begin", "insert a", "insert b", "commit"}))
		Expect(b.engine.AcknowledgedPositions()).To(HaveLen(1))
		Expect(b.engine.InFlight()).To(BeZero())
	})

	It("needs no upstream for an empty transaction", func() {
		conn := b.connect(nil)
		tx, err := conn.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(tx.Commit(ctx)).To(Succeed())
		Expect(b.upstream.log()).To(BeEmpty())
	})

	It("continues after a refused COPY", func() {
		conn := b.connect(nil)
		_, err := conn.Exec(ctx, "copy plugs from stdin")
		Expect(sqlStateOf(err)).To(Equal("0A000"))
		_, err = conn.CopyFrom(ctx, pgx.Identifier{"plugs"}, []string{"id"}, pgx.CopyFromRows(nil))
		Expect(err).To(HaveOccurred())
		Expect(queryText(conn, "select $1", "on")).To(Equal("on"))
	})
})

// spanRecorder records the name of each span with that of its parent.
type spanRecorder struct {
	mu    sync.Mutex
	names []string
}

type spanKey struct{}

func (r *spanRecorder) Join(ctx context.Context, traceparent string) context.Context {
	return context.WithValue(ctx, spanKey{}, traceparent)
}

func (r *spanRecorder) Start(ctx context.Context, name string) (context.Context, func()) {
	parent, _ := ctx.Value(spanKey{}).(string)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names = append(r.names, parent+" > "+name)
	return context.WithValue(ctx, spanKey{}, name), func() {}
}

var _ = Describe("tracing", func() {
	It("records a span for each step of a request, below the span that the caller passes", func() {
		spans := &spanRecorder{}
		b := newTestbed(1, func(c *pgfront.Config) { c.Tracer = spans })
		conn := b.connect(simpleProtocol)
		_, err := conn.Exec(context.Background(), "insert a /*traceparent='00-1-2-01'*/")
		Expect(err).NotTo(HaveOccurred())
		spans.mu.Lock()
		defer spans.mu.Unlock()
		Expect(spans.names).To(Equal([]string{
			"00-1-2-01 > caller", "caller > admission", "caller > upstream.acquire", "caller > upstream",
			"caller > acknowledge",
		}))
	})
})
