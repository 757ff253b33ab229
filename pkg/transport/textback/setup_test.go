package textback_test

import (
	"context"
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/transport/textback"
	"gypsumdock/pkg/transport/textback/textbacktest"
)

var _ = Describe("Conn before a statement", func() {
	var (
		d     *textbacktest.Database
		pools *textback.Pools
		conn  *textback.Conn
	)
	read := []byte("QUERY 1 READ k\r\n")

	BeforeEach(func() {
		d = start(10)
		pools = poolsOf(d, 0)
		var err error
		conn, _, err = pools.Get(context.Background(), textback.GetOptions{Upstream: "u"})
		Expect(err).NotTo(HaveOccurred())
	})

	exchange := func() *statement.Answer {
		answer, err := conn.Exchange(read, farDeadline())
		Expect(err).NotTo(HaveOccurred())
		return answer
	}

	// Guards against a statement that runs with the values of another session: the
	// values of a session without any, which a peer sends as nil, must replace
	// those that are set.
	DescribeTable("removes the values of the session before", func(values map[string]string) {
		conn.RequireValues(map[string]string{"a": "1"})
		Expect(conn.Confirm(farDeadline())).To(Succeed())
		conn.RequireValues(values)
		Expect(conn.Confirm(farDeadline())).To(Succeed())
		exchange()
		Expect(d.Statements()).To(Equal([]string{"SET a 1", "RESET", "READ k"}))
	}, Entry("for an empty map", map[string]string{}), Entry("for none", nil))

	// Guards against a statement that runs although its values were not set.
	It("does not send a statement after values that were refused", func() {
		d.SetAnswer(func(text string) []string {
			if strings.HasPrefix(text, "SET") {
				return []string{"ERROR BUSY", "READY I -"}
			}
			return []string{"COMPLETE s", "READY I 1.7"}
		})
		conn.RequireValues(map[string]string{"a": "1"})
		Expect(conn.Confirm(farDeadline())).To(MatchError(textback.ErrNotPrepared))
		Expect(d.Statements()).To(Equal([]string{"SET a 1"}))
	})

	// Guards against a round trip of its own for each preparation, which at a
	// remote upstream costs more than a short statement.
	It("sends a preparation with the statement, once", func() {
		for range 2 {
			conn.RequirePrepared("s", true, "q")
			exchange()
		}
		Expect(d.Statements()).To(Equal([]string{"PREPARE s READ q", "READ k", "READ k"}))
	})

	// Guards against a refused preparation that is taken as done.
	It("prepares again after a preparation that was refused", func() {
		refuse := true
		d.SetAnswer(func(text string) []string {
			if strings.HasPrefix(text, "PREPARE") && refuse {
				refuse = false
				return []string{"ERROR BUSY", "READY I -"}
			}
			return []string{"COMPLETE s", "READY I 1.7"}
		})
		for range 2 {
			conn.RequirePrepared("s", true, "q")
			exchange()
		}
		Expect(d.Statements()).To(Equal([]string{"PREPARE s READ q", "READ k", "PREPARE s READ q", "READ k"}))
	})

	// Guards against a write of unknown outcome although nothing was sent, as the
	// connection has no room for another prepared statement.
	It("fails before anything is sent if it holds too many prepared statements", func() {
		for i := range 200 {
			conn.RequirePrepared(fmt.Sprint("s", i), true, "q")
			Expect(conn.Confirm(farDeadline())).To(Succeed())
			exchange()
		}
		sent := len(d.Statements())
		conn.RequirePrepared("one more", true, "q")
		Expect(conn.CheckSetup()).To(MatchError(textback.ErrNotPrepared))
		Expect(conn.Confirm(farDeadline())).To(MatchError(textback.ErrNotPrepared))
		Expect(d.Statements()).To(HaveLen(sent))
	})

	// Guards against a preparation of a unit that was never sent, which the next
	// user of the connection would send.
	It("forgets what was required when the connection is returned", func() {
		conn.RequireValues(map[string]string{"a": "1"})
		conn.RequirePrepared("s", true, "q")
		pools.Put(conn, true)
		taken, _, err := pools.Get(context.Background(), textback.GetOptions{Upstream: "u"})
		Expect(err).NotTo(HaveOccurred())
		Expect(taken).To(BeIdenticalTo(conn))
		exchange()
		Expect(d.Statements()).To(Equal([]string{"READ k"}))
	})

	// Guards against a transaction that begins with the values of another session.
	It("sends values and preparation with the begin, and fails if one is refused", func() {
		conn.RequireValues(map[string]string{"a": "1"})
		conn.RequirePrepared("s", true, "q")
		answer, err := conn.ExchangeBegin([]byte("QUERY - BEGIN\r\n"), farDeadline())
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Reason).To(Equal(statement.Succeeded))
		Expect(d.Statements()).To(Equal([]string{"SET a 1", "PREPARE s READ q", "BEGIN"}))

		d.SetAnswer(func(string) []string { return []string{"ERROR BUSY", "READY I -"} })
		conn.RequireValues(map[string]string{"a": "2"})
		_, err = conn.ExchangeBegin([]byte("QUERY - BEGIN\r\n"), farDeadline())
		Expect(err).To(MatchError(textback.ErrNotPrepared))
	})
})
