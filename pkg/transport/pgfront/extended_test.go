package pgfront_test

import (
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// wire speaks the protocol message by message over a connection that a stock
// client has logged in.
type wire struct{ *pgproto3.Frontend }

func (b *bench) wire() wire {
	GinkgoHelper()
	raw := b.connect(nil).PgConn().Conn()
	return wire{pgproto3.NewFrontend(raw, raw)}
}

// exchange sends messages and returns the types of the answers, up to the
// number of ReadyForQuery messages given. Errors are followed by their
// SQLSTATE, completions by their tag.
func (w wire) exchange(ready int, messages ...pgproto3.FrontendMessage) []string {
	GinkgoHelper()
	for _, message := range messages {
		w.Send(message)
	}
	Expect(w.Flush()).To(Succeed())
	return w.collect(ready)
}

// collect reads the answers of exchange.
func (w wire) collect(ready int) []string {
	GinkgoHelper()
	answers := []string(nil)
	for ready > 0 {
		message, err := w.Receive()
		Expect(err).NotTo(HaveOccurred())
		switch message := message.(type) {
		case *pgproto3.ErrorResponse:
			answers = append(answers, "error "+message.Code)
		case *pgproto3.CommandComplete:
			answers = append(answers, string(message.CommandTag))
		case *pgproto3.ReadyForQuery:
			answers = append(answers, "ready "+string(message.TxStatus))
			ready--
		case *pgproto3.ParseComplete:
			answers = append(answers, "parsed")
		case *pgproto3.BindComplete:
			answers = append(answers, "bound")
		case *pgproto3.CloseComplete:
			answers = append(answers, "closed")
		case *pgproto3.DataRow:
			answers = append(answers, "row")
		case *pgproto3.RowDescription:
			answers = append(answers, "rows")
		default:
			answers = append(answers, "other")
		}
	}
	return answers
}

func parse(name, query string) *pgproto3.Parse { return &pgproto3.Parse{Name: name, Query: query} }

func bind(name string) *pgproto3.Bind { return &pgproto3.Bind{PreparedStatement: name} }

var (
	execute = &pgproto3.Execute{}
	syncAll = &pgproto3.Sync{}
	flush   = &pgproto3.Flush{}
)

func query(text string) *pgproto3.Query { return &pgproto3.Query{String: text} }

var _ = Describe("the extended protocol", func() {
	var (
		b *bench
		w wire
	)

	BeforeEach(func() {
		b = newBench(1, nil)
		w = b.wire()
	})

	It("keeps the unnamed statement from one batch to the next", func() {
		Expect(w.exchange(1, parse("", "select a"), syncAll)).To(Equal([]string{"parsed", "ready I"}))
		other := b.wire()
		Expect(other.exchange(1, parse("", "select b"), syncAll)).To(HaveLen(2))
		Expect(w.exchange(1, bind(""), execute, syncAll)).To(Equal([]string{"bound", "row", "SELECT 1", "ready I"}))
		Expect(b.upstream.log()).To(Equal([]string{"select a"}))
	})

	It("holds the connection through flushes until the sync", func() {
		w.Send(parse("s", "insert a"))
		w.Send(bind("s"))
		w.Send(execute)
		answers := w.exchange(1, flush, syncAll)
		Expect(answers).To(Equal([]string{"parsed", "bound", "INSERT 0 1", "ready I"}))
		Expect(b.engine.AcknowledgedPositions()).To(HaveLen(1))
		Expect(b.engine.InFlight()).To(BeZero())
	})

	It("skips from an error to the sync, in a flushed batch too", func() {
		answers := w.exchange(1, parse("", "fail"), bind(""), execute, flush,
			parse("t", "insert a"), bind("t"), execute, syncAll)
		Expect(answers).To(Equal([]string{"parsed", "bound", "error 22012", "ready I"}))
		Expect(w.exchange(1, bind("t"), syncAll)).To(Equal([]string{"error 26000", "ready I"}))
		Expect(b.upstream.log()).To(Equal([]string{"fail"}))
		Expect(b.engine.InFlight()).To(BeZero())
	})

	It("rolls a batch back where the proxy itself refuses a part of it", func() {
		answers := w.exchange(1, parse("", "insert a"), bind(""), execute,
			parse("", "copy t from stdin"), bind(""), execute, syncAll)
		Expect(answers).To(Equal([]string{"parsed", "bound", "INSERT 0 1", "error 0A000", "ready I"}))
		Expect(b.upstream.failedBatches.Load()).To(BeEquivalentTo(1))
		Expect(w.exchange(1, query("select on"))).To(ContainElement("SELECT 1"))
	})

	It("fails a transaction for what the proxy refuses", func() {
		Expect(w.exchange(1, query("begin"))).To(Equal([]string{"BEGIN", "ready T"}))
		Expect(w.exchange(1, query("insert a"))).To(Equal([]string{"INSERT 0 1", "ready T"}))
		Expect(w.exchange(1, query("copy t to stdout"))).To(Equal([]string{"error 0A000", "ready E"}))
		Expect(w.exchange(1, query("commit"))).To(Equal([]string{"ROLLBACK", "ready I"}))
		Expect(b.engine.AcknowledgedPositions()).To(BeEmpty())
	})

	It("never says committed for a transaction that was given up", func() {
		Expect(w.exchange(1, parse("c", "commit"), syncAll)).To(HaveLen(2))
		Expect(w.exchange(1, query("begin"))).To(HaveLen(2))
		Expect(w.exchange(1, query("insert a"))).To(HaveLen(2))
		Expect(w.exchange(1, query("die"))).To(Equal([]string{"error 08007", "ready E"}))
		Expect(w.exchange(1, query("insert b"))).To(Equal([]string{"error 25P02", "ready E"}))
		Expect(w.exchange(1, bind("c"), execute, syncAll)).To(Equal([]string{"bound", "ROLLBACK", "ready I"}))
		Expect(b.upstream.log()).NotTo(ContainElement("insert b"))
	})

	It("answers a pipeline of several syncs in order", func() {
		answers := w.exchange(3, query("select a"), parse("s", "insert a"), bind("s"), execute, syncAll, query("select b"))
		Expect(answers).To(Equal([]string{
			"rows", "row", "SELECT 1", "ready I",
			"parsed", "bound", "INSERT 0 1", "ready I",
			"rows", "row", "SELECT 1", "ready I",
		}))
	})

	It("carries a batch that is larger than the buffers between both sides", func() {
		messages := []pgproto3.FrontendMessage{parse("s", "select rows 500")}
		for range 200 {
			messages = append(messages, bind("s"), execute)
		}
		messages = append(messages, syncAll)
		go func() {
			defer GinkgoRecover()
			for _, message := range messages {
				w.Send(message)
			}
			_ = w.Flush()
		}()
		rows := 0
		for _, answer := range w.collect(1) {
			if answer == "row" {
				rows++
			}
		}
		Expect(rows).To(Equal(200 * 500))
	})

	It("closes a caller's statement without losing it for others", func() {
		other := b.wire()
		Expect(w.exchange(1, parse("s", "select a"), syncAll)).To(HaveLen(2))
		Expect(other.exchange(1, parse("s", "select a"), syncAll)).To(HaveLen(2))
		Expect(w.exchange(1, &pgproto3.Close{ObjectType: 'S', Name: "s"}, syncAll)).To(Equal([]string{"closed", "ready I"}))
		Expect(w.exchange(1, bind("s"), syncAll)).To(Equal([]string{"error 26000", "ready I"}))
		Expect(other.exchange(1, bind("s"), execute, syncAll)).To(ContainElement("SELECT 1"))
	})

	It("drops a caller's statement by DEALLOCATE", func() {
		Expect(w.exchange(1, parse("s", "select a"), syncAll)).To(HaveLen(2))
		Expect(w.exchange(1, query("deallocate s"))).To(Equal([]string{"DEALLOCATE", "ready I"}))
		Expect(w.exchange(1, parse("s", "select b"), syncAll)).To(Equal([]string{"parsed", "ready I"}))
		Expect(w.exchange(1, query("deallocate all"))).To(HaveLen(2))
		Expect(w.exchange(1, bind("s"), syncAll)).To(Equal([]string{"error 26000", "ready I"}))
	})

	It("reports a prepared name that is taken", func() {
		Expect(w.exchange(1, parse("s", "select a"), syncAll)).To(HaveLen(2))
		Expect(w.exchange(1, parse("s", "select b"), syncAll)).To(Equal([]string{"error 42P05", "ready I"}))
	})

	It("begins no transaction on an upstream before its first statement", func() {
		Expect(w.exchange(1, query("begin"))).To(Equal([]string{"BEGIN", "ready T"}))
		Expect(b.engine.InFlight()).To(BeZero())
		Expect(w.exchange(1, query("rollback"))).To(Equal([]string{"ROLLBACK", "ready I"}))
		Expect(b.upstream.accepted.Load()).To(BeZero())
	})
})
