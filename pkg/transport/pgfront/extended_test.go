package pgfront_test

import (
	"context"
	"net"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rawClient exchanges single protocol messages over a connection that pgx has
// authenticated.
type rawClient struct{ *pgproto3.Frontend }

func (b *testbed) rawClient() rawClient {
	GinkgoHelper()
	raw := rawConn(b.connect(nil))
	return rawClient{pgproto3.NewFrontend(raw, raw)}
}

// rawConn returns the connection under conn, for direct use. It ends the read that
// pgx may have left in the background.
func rawConn(conn *pgx.Conn) net.Conn {
	GinkgoHelper()
	Expect(conn.PgConn().SyncConn(context.Background())).To(Succeed())
	return conn.PgConn().Conn()
}

// exchange sends messages and returns a summary of each answer, up to the given number
// of ReadyForQuery messages. Errors are shown with their SQLSTATE, and a completed
// command by its tag.
func (c rawClient) exchange(ready int, messages ...pgproto3.FrontendMessage) []string {
	GinkgoHelper()
	for _, message := range messages {
		c.Send(message)
	}
	Expect(c.Flush()).To(Succeed())
	return c.collect(ready)
}

// collect reads and summarizes answers as described at exchange.
func (c rawClient) collect(ready int) []string {
	GinkgoHelper()
	answers := []string(nil)
	for ready > 0 {
		message, err := c.Receive()
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
		b      *testbed
		client rawClient
	)

	BeforeEach(func() {
		b = newTestbed(1, nil)
		client = b.rawClient()
	})

	It("keeps the unnamed statement from one batch to the next", func() {
		Expect(client.exchange(1, parse("", "select a"), syncAll)).To(Equal([]string{"parsed", "ready I"}))
		other := b.rawClient()
		Expect(other.exchange(1, parse("", "select b"), syncAll)).To(HaveLen(2))
		Expect(client.exchange(1, bind(""), execute, syncAll)).To(Equal([]string{"bound", "row", "SELECT 1", "ready I"}))
		Expect(b.upstream.log()).To(Equal([]string{"select a"}))
	})

	It("keeps the connection from a Flush to the Sync", func() {
		client.Send(parse("s", "insert a"))
		client.Send(bind("s"))
		client.Send(execute)
		answers := client.exchange(1, flush, syncAll)
		Expect(answers).To(Equal([]string{"parsed", "bound", "INSERT 0 1", "ready I"}))
		Expect(b.engine.AcknowledgedPositions()).To(HaveLen(1))
		Expect(b.engine.InFlight()).To(BeZero())
	})

	It("skips messages from an error to the Sync, also after a Flush", func() {
		answers := client.exchange(1, parse("", "fail"), bind(""), execute, flush,
			parse("t", "insert a"), bind("t"), execute, syncAll)
		Expect(answers).To(Equal([]string{"parsed", "bound", "error 22012", "ready I"}))
		Expect(client.exchange(1, bind("t"), syncAll)).To(Equal([]string{"error 26000", "ready I"}))
		Expect(b.upstream.log()).To(Equal([]string{"fail"}))
		Expect(b.engine.InFlight()).To(BeZero())
	})

	It("rolls back a batch of which the proxy refuses a part", func() {
		answers := client.exchange(1, parse("", "insert a"), bind(""), execute,
			parse("", "copy t from stdin"), bind(""), execute, syncAll)
		Expect(answers).To(Equal([]string{"parsed", "bound", "INSERT 0 1", "error 0A000", "ready I"}))
		Expect(b.upstream.failedBatches.Load()).To(BeEquivalentTo(1))
		Expect(client.exchange(1, query("select on"))).To(ContainElement("SELECT 1"))
	})

	It("fails a transaction if the proxy refuses one of its statements", func() {
		Expect(client.exchange(1, query("begin"))).To(Equal([]string{"BEGIN", "ready T"}))
		Expect(client.exchange(1, query("insert a"))).To(Equal([]string{"INSERT 0 1", "ready T"}))
		Expect(client.exchange(1, query("copy t to stdout"))).To(Equal([]string{"error 0A000", "ready E"}))
		Expect(client.exchange(1, query("commit"))).To(Equal([]string{"ROLLBACK", "ready I"}))
		Expect(b.engine.AcknowledgedPositions()).To(BeEmpty())
	})

	It("never reports COMMIT for a transaction that the proxy has aborted", func() {
		Expect(client.exchange(1, parse("c", "commit"), syncAll)).To(HaveLen(2))
		Expect(client.exchange(1, query("begin"))).To(HaveLen(2))
		Expect(client.exchange(1, query("insert a"))).To(HaveLen(2))
		Expect(client.exchange(1, query("die"))).To(Equal([]string{"error 08007", "ready E"}))
		Expect(client.exchange(1, query("insert b"))).To(Equal([]string{"error 25P02", "ready E"}))
		Expect(client.exchange(1, bind("c"), execute, syncAll)).To(Equal([]string{"bound", "ROLLBACK", "ready I"}))
		Expect(b.upstream.log()).NotTo(ContainElement("insert b"))
	})

	It("answers a pipeline with several Syncs in order", func() {
		answers := client.exchange(3, query("select a"), parse("s", "insert a"), bind("s"), execute, syncAll, query("select b"))
		Expect(answers).To(Equal([]string{
			"rows", "row", "SELECT 1", "ready I",
			"parsed", "bound", "INSERT 0 1", "ready I",
			"rows", "row", "SELECT 1", "ready I",
		}))
	})

	It("runs a batch that is larger than the socket buffers", func() {
		messages := []pgproto3.FrontendMessage{parse("s", "select rows 500")}
		for range 200 {
			messages = append(messages, bind("s"), execute)
		}
		messages = append(messages, syncAll)
		go func() {
			defer GinkgoRecover()
			for _, message := range messages {
				client.Send(message)
			}
			_ = client.Flush()
		}()
		rows := 0
		for _, answer := range client.collect(1) {
			if answer == "row" {
				rows++
			}
		}
		Expect(rows).To(Equal(200 * 500))
	})

	It("closes a caller's prepared statement and keeps those of other callers", func() {
		other := b.rawClient()
		Expect(client.exchange(1, parse("s", "select a"), syncAll)).To(HaveLen(2))
		Expect(other.exchange(1, parse("s", "select a"), syncAll)).To(HaveLen(2))
		Expect(client.exchange(1, &pgproto3.Close{ObjectType: 'S', Name: "s"}, syncAll)).To(Equal([]string{"closed", "ready I"}))
		Expect(client.exchange(1, bind("s"), syncAll)).To(Equal([]string{"error 26000", "ready I"}))
		Expect(other.exchange(1, bind("s"), execute, syncAll)).To(ContainElement("SELECT 1"))
	})

	It("removes a caller's prepared statement at DEALLOCATE", func() {
		Expect(client.exchange(1, parse("s", "select a"), syncAll)).To(HaveLen(2))
		Expect(client.exchange(1, query("deallocate s"))).To(Equal([]string{"DEALLOCATE", "ready I"}))
		Expect(client.exchange(1, parse("s", "select b"), syncAll)).To(Equal([]string{"parsed", "ready I"}))
		Expect(client.exchange(1, query("deallocate all"))).To(HaveLen(2))
		Expect(client.exchange(1, bind("s"), syncAll)).To(Equal([]string{"error 26000", "ready I"}))
	})

	It("refuses to prepare a statement under a name that is in use", func() {
		Expect(client.exchange(1, parse("s", "select a"), syncAll)).To(HaveLen(2))
		Expect(client.exchange(1, parse("s", "select b"), syncAll)).To(Equal([]string{"error 42P05", "ready I"}))
	})

	It("begins no transaction on an upstream before its first statement", func() {
		Expect(client.exchange(1, query("begin"))).To(Equal([]string{"BEGIN", "ready T"}))
		Expect(b.engine.InFlight()).To(BeZero())
		Expect(client.exchange(1, query("rollback"))).To(Equal([]string{"ROLLBACK", "ready I"}))
		Expect(b.upstream.accepted.Load()).To(BeZero())
	})
})
