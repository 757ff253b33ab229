package pgwire_test

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/protocol/pgwire"
)

func TestPgwire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pgwire")
}

var _ = Describe("Classify", func() {
	DescribeTable("classifies as read-only",
		func(text string) {
			class := pgwire.Classify(text)
			Expect(class.ReadOnly).To(BeTrue())
			Expect(class.MayChangeSession).To(BeFalse())
		},
		Entry("plain", "SELECT a, b FROM t WHERE id = $1 ORDER BY a LIMIT 3"),
		Entry("functions", "select count(*), coalesce(max(a), 0) from t where lower(b) in ('x', 'y') and now() > c"),
		Entry("a keyword in a string", "select 'for update; drop table t'"),
		Entry("a keyword in a dollar-quoted string", "select $x$ insert into t; $x$"),
		Entry("a keyword as a quoted name", `select "into", "for" from t`),
		Entry("a keyword in comments", "/* insert /* nested */ into */ select 1 -- for update"),
		Entry("a final semicolon", "select 1 ; "),
		Entry("escapes", `select E'it\'s; insert into t'`),
		Entry("show", "show server_version"),
		Entry("begin", "BEGIN ISOLATION LEVEL REPEATABLE READ, READ ONLY"),
		Entry("start transaction", "start transaction read only"),
	)

	DescribeTable("does not classify as read-only",
		func(text string) { Expect(pgwire.Classify(text).ReadOnly).To(BeFalse()) },
		Entry("a lock", "select * from t for update"),
		Entry("a new table", "select * into u from t"),
		Entry("an unknown function", "select take_plug(7)"),
		Entry("a sequence", "select nextval('s')"),
		Entry("a function in a schema with the name of a pure one", "select app.count(7)"),
		Entry("a quoted function", `select "count"(7)`),
		Entry("a function with a comment before its parenthesis", "select take_plug/**/(7)"),
		Entry("a data-modifying expression", "with x as (delete from t returning *) select * from x"),
		Entry("two statements", "select 1; delete from t"),
		Entry("two statements, the first with a string", "select 'a'';'; delete from t"),
		Entry("a string whose end depends on settings", `select 'a\'; delete from t; --'`),
		Entry("an unterminated comment", "select 1 /* "),
		Entry("an unterminated string", "select 'a"),
		Entry("a nested comment that would hide a statement", "select 1 /* /* */ ; delete from t */ ; delete from t"),
		Entry("EXPLAIN ANALYZE, which runs the statement", "explain analyze delete from t"),
		Entry("a read-write transaction", "begin"),
		Entry("contradictory modes, of which the last holds", "begin read only, read write"),
		Entry("a write", "insert into t values (1)"),
		Entry("an empty text", ""),
	)

	DescribeTable("finds changes of the session that outlive a transaction",
		func(text string, changes bool) { Expect(pgwire.Classify(text).MayChangeSession).To(Equal(changes)) },
		Entry("set", "set search_path = a", true),
		Entry("set local", "set local search_path = a", false),
		Entry("set transaction", "set transaction read only", false),
		Entry("listen", "listen x", true),
		Entry("a temporary table", "create temp table t (a int)", true),
		Entry("a prepared statement", "prepare x as select 1", true),
		Entry("a cursor", "declare c cursor with hold for select 1", true),
		Entry("an advisory lock", "select pg_advisory_lock(1)", true),
		Entry("set in a function", "select set_config('a', 'b', false)", true),
		Entry("in the second statement", "select 1; set a = b", true),
		Entry("an insert with columns", "insert into app.t (a, b) values (lower($1), $2) on conflict (a) do nothing", false),
		Entry("an update", "update t set a = 1 where b in (1, 2)", false),
	)

	It("finds where transactions begin and end", func() {
		Expect(pgwire.Classify("begin work read write").BeginsTransaction).To(BeTrue())
		Expect(pgwire.Classify("begin isolation level nonsense").BeginsTransaction).To(BeFalse())
		Expect(pgwire.Classify("begin; select 1").BeginsTransaction).To(BeFalse())
		Expect(pgwire.Classify("COMMIT").PlainEnd).To(BeTrue())
		Expect(pgwire.Classify("commit and chain").PlainEnd).To(BeFalse())
		Expect(pgwire.Classify("commit and chain").MayCommit).To(BeTrue())
		Expect(pgwire.Classify("rollback to savepoint s").PlainEnd).To(BeFalse())
		Expect(pgwire.Classify("rollback").MayCommit).To(BeFalse())
		Expect(pgwire.Classify("select 1; commit").MayCommit).To(BeTrue())
	})

	It("returns the name in a DEALLOCATE", func() {
		Expect(pgwire.Classify(`deallocate prepare "a""B" ;`).DeallocatedName).To(Equal(`a"B`))
		Expect(pgwire.Classify("DEALLOCATE S_1").DeallocatedName).To(Equal("s_1"))
		Expect(pgwire.Classify("deallocate ALL").DeallocatedName).To(BeEmpty())
		Expect(pgwire.Classify("deallocate a; deallocate b").DeallocatedName).To(BeEmpty())
	})

	It("names unsupported features", func() {
		Expect(pgwire.Classify("copy t from stdin").Unsupported).To(Equal("COPY"))
		Expect(pgwire.Classify("select 1; copy t to stdout").Unsupported).To(Equal("COPY"))
		Expect(pgwire.Classify("prepare transaction 'x'").Unsupported).To(Equal("PREPARE TRANSACTION"))
		Expect(pgwire.Classify("commit prepared 'x'").Unsupported).NotTo(BeEmpty())
	})

	It("reads sqlcommenter keys from comments only", func() {
		text := "select '/*route=''no''*/' /*traceparent='00-ab-cd-01',route='free%20sockets'*/ /*route='late'*/"
		tags := pgwire.Classify(text).Tags
		Expect(tags.Route).To(Equal("free sockets"))
		Expect(tags.Traceparent).To(Equal("00-ab-cd-01"))
	})

	It("ignores values that are too long", func() {
		long := strings.Repeat("x", 300)
		Expect(pgwire.Classify("select 1 /*route='" + long + "'*/").Tags.Route).To(BeEmpty())
	})
})

var _ = Describe("ReadStartup", func() {
	read := func(parameters map[string]string) (pgwire.Startup, error) {
		message := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters}
		return pgwire.ReadStartup(message, "gypsumdock.session")
	}

	It("reads the session from the options parameter too", func() {
		startup, err := read(map[string]string{"user": "crane", "options": "-c gypsumdock.session=desk-7"})
		Expect(err).NotTo(HaveOccurred())
		Expect(startup.Session).To(Equal("desk-7"))
		Expect(startup.Database).To(Equal("crane"))
	})

	DescribeTable("refuses",
		func(parameters map[string]string) {
			_, err := read(parameters)
			Expect(err).To(HaveOccurred())
		},
		Entry("no user", map[string]string{}),
		Entry("another encoding", map[string]string{"user": "a", "client_encoding": "LATIN1"}),
		Entry("other options", map[string]string{"user": "a", "options": "-c search_path=b"}),
		Entry("a session name that is too long", map[string]string{"user": "a", "gypsumdock.session": strings.Repeat("x", 200)}),
	)
})
