package pgfront_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/transport/pgfront"
	"gypsumdock/pkg/verdict"
)

var _ = Describe("startup", func() {
	var (
		b   *testbed
		ctx = context.Background()
	)

	BeforeEach(func() {
		b = newTestbed(1, func(c *pgfront.Config) {
			c.MaxMessageBytes = 1 << 20
		})
	})

	DescribeTable("refuses",
		func(adjust func(*pgx.ConnConfig), state string) {
			_, err := b.dial(adjust)
			Expect(sqlStateOf(err)).To(Equal(state))
		},
		Entry("a wrong password", func(c *pgx.ConnConfig) { c.Password = "wrong" }, "28P01"),
		Entry("an unknown user, in the same way as a wrong password", func(c *pgx.ConnConfig) { c.User = "nobody" }, "28P01"),
		Entry("an unknown database", func(c *pgx.ConnConfig) { c.Database = "nothing" }, "3D000"),
		Entry("replication", func(c *pgx.ConnConfig) { c.RuntimeParams["replication"] = "database" }, "0A000"),
		Entry("a session setting, which the proxy does not support", func(c *pgx.ConnConfig) { c.RuntimeParams["search_path"] = "a" }, "0A000"),
	)

	It("distinguishes sessions of one user by a startup parameter", func() {
		seen := make(chan traffic.Statement, 2)
		b.engine.OnAdmit = func(t *traffic.Ticket) *verdict.Error {
			seen <- t.Statement
			return nil
		}
		conn := b.connect(func(c *pgx.ConnConfig) { c.RuntimeParams["gypsumdock.session"] = "desk-7" })
		Expect(queryText(conn, "select $1 /*route='free_sockets'*/", "x")).To(Equal("x"))
		statement := <-seen
		Expect(statement.Session).To(BeEquivalentTo("crane/desk-7"))
		Expect(statement.Tag).To(Equal("free_sockets"))
		Expect(statement.ReadOnly).To(BeTrue())
	})

	It("limits the connections of a caller", func() {
		b.engine.Config.Callers[0].MaxConnections = 1
		b.connect(nil)
		_, err := b.dial(nil)
		Expect(sqlStateOf(err)).To(Equal("53300"))
	})

	DescribeTable("closes a connection that sends",
		func(data []byte) {
			b := newTestbed(1, func(c *pgfront.Config) { c.StartupTimeout = 100 * time.Millisecond })
			conn, err := net.Dial("tcp", b.address)
			Expect(err).NotTo(HaveOccurred())
			_, err = conn.Write(data)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadAll(conn)
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.Close()).To(Succeed())
			Eventually(func() uint64 { return b.server.Stats().Closed }).Should(BeEquivalentTo(1))
		},
		Entry("garbage", []byte("GET / HTTP/1.1\r\n\r\n")),
		Entry("a huge length", []byte{0x7f, 0xff, 0xff, 0xff}),
		Entry("an incomplete packet", []byte{0, 0, 0, 50, 0, 3}),
	)

	It("refuses encryption if TLS is not configured", func() {
		conn, err := net.Dial("tcp", b.address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		request, err := (&pgproto3.SSLRequest{}).Encode(nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write(request)
		Expect(err).NotTo(HaveOccurred())
		answer := make([]byte, 1)
		_, err = io.ReadFull(conn, answer)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(Equal([]byte{'N'}))
	})

	It("answers a message above the limit with an error", func() {
		conn := b.connect(simpleProtocol)
		raw := rawConn(conn)
		header := binary.BigEndian.AppendUint32([]byte{'Q'}, 2<<20)
		_, err := raw.Write(header)
		Expect(err).NotTo(HaveOccurred())
		answer, err := pgproto3.NewFrontend(raw, raw).Receive()
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(BeAssignableToTypeOf(&pgproto3.ErrorResponse{}))
		Expect(answer.(*pgproto3.ErrorResponse).Code).To(Equal("54000"))
	})

	It("counts each request once", func() {
		conn := b.connect(nil)
		_, err := conn.Exec(ctx, "fail")
		Expect(err).To(HaveOccurred())
		Expect(queryText(conn, "select $1", "x")).To(Equal("x"))
		Eventually(func() bool {
			stats := b.server.Stats()
			return stats.Requests > 2 && stats.Requests == stats.Answered+stats.Abandoned
		}).Should(BeTrue())
	})
})

var _ = Describe("Shutdown", func() {
	It("does not wait long for a connection that sends nothing", func() {
		b := newTestbed(1, nil)
		silent, err := net.Dial("tcp", b.address)
		Expect(err).NotTo(HaveOccurred())
		defer silent.Close()
		Eventually(func() uint64 { return b.server.Stats().Accepted }).Should(BeEquivalentTo(1))
		Expect(b.server.Shutdown(context.Background())).To(Succeed())
	})

	It("closes idle sessions, refuses new ones and lets open transactions finish", func() {
		b := newTestbed(2, nil)
		ctx := context.Background()
		idle := b.connect(nil)
		busy := b.connect(nil)
		tx, err := busy.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "insert a")
		Expect(err).NotTo(HaveOccurred())
		stopped := make(chan error, 1)
		go func() { stopped <- b.server.Shutdown(ctx) }()
		Eventually(func() error { return idle.Ping(ctx) }).Should(HaveOccurred())
		_, err = b.dial(nil)
		Expect(sqlStateOf(err)).To(Equal("57P01"))
		Expect(stopped).NotTo(Receive())
		_, err = tx.Exec(ctx, "insert b")
		Expect(err).NotTo(HaveOccurred())
		Expect(tx.Commit(ctx)).To(Succeed())
		Eventually(stopped).Should(Receive(Succeed()))
		Expect(b.upstream.log()).To(Equal([]string{"begin", "insert a", "insert b", "commit"}))
	})
})
