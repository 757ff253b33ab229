package upstreamd_test

import (
	"context"
	"fmt"
	"net/url"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/upstreamd"
)

func TestUpstreamd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstreamd")
}

const neverMS = 1_000_000

func threeNodes(auth upstreamd.Auth) upstreamd.Spec {
	node := upstreamd.UpstreamSpec{Slots: 2, Connections: 4}
	group := upstreamd.GroupSpec{ID: "plugs", Database: "plugs", User: "dock", Password: "secret", Auth: auth}
	for _, id := range []string{"a", "b", "c"} {
		node.ID = id
		group.Upstreams = append(group.Upstreams, node)
	}
	return upstreamd.Spec{Groups: []upstreamd.GroupSpec{group}}
}

type bench struct {
	server  *upstreamd.Server
	control upstreamd.Client
}

func start(ctx context.Context, auth upstreamd.Auth) *bench {
	GinkgoHelper()
	server, err := upstreamd.Start(threeNodes(auth))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	return &bench{server: server, control: upstreamd.Client{URL: server.Layout().Control}}
}

func (b *bench) dial(ctx context.Context, upstream int, mode string) (*pgx.Conn, error) {
	group := b.server.Layout().Groups[0]
	dsn := url.URL{
		Scheme: "postgres", User: url.UserPassword(group.User, group.Password),
		Host: group.Upstreams[upstream].Address, Path: group.Database,
		RawQuery: "sslmode=disable&default_query_exec_mode=" + mode,
	}
	return pgx.Connect(ctx, dsn.String())
}

func (b *bench) connect(ctx context.Context, upstream int) *pgx.Conn {
	GinkgoHelper()
	conn, err := b.dial(ctx, upstream, "cache_statement")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (b *bench) fault(ctx context.Context, fault upstreamd.Fault) {
	GinkgoHelper()
	fault.Group = "plugs"
	Expect(b.control.Apply(ctx, fault)).To(Succeed())
}

func value(ctx context.Context, conn *pgx.Conn, key string) string {
	GinkgoHelper()
	var found string
	err := conn.QueryRow(ctx, "SELECT value FROM records WHERE key = $1", key).Scan(&found)
	if err == pgx.ErrNoRows {
		return ""
	}
	Expect(err).NotTo(HaveOccurred())
	return found
}

func insert(ctx context.Context, conn *pgx.Conn, key, text string) {
	GinkgoHelper()
	_, err := conn.Exec(ctx, "INSERT INTO records(key,value) VALUES ($1,$2)", key, text)
	Expect(err).NotTo(HaveOccurred())
}

func codeOf(err error) string {
	GinkgoHelper()
	var failure *pgconn.PgError
	Expect(err).To(BeAssignableToTypeOf(failure))
	return err.(*pgconn.PgError).Code
}

var _ = Describe("a stand-in upstream", func() {
	DescribeTable("runs the subset in each query mode",
		func(ctx context.Context, auth upstreamd.Auth, mode string) {
			b := start(ctx, auth)
			conn, err := b.dial(ctx, 0, mode)
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close(ctx)
			insert(ctx, conn, "reefer", "plug 1")
			var key, changed string
			const update = "/*route='x'*/ UPDATE records SET value = value || $2 WHERE key = $1 RETURNING *"
			Expect(conn.QueryRow(ctx, update, "reefer", "a").Scan(&key, &changed)).To(Succeed())
			Expect([]string{key, changed}).To(Equal([]string{"reefer", "plug 1a"}))
			const upsert = "INSERT INTO records(key,value) VALUES ($1,$2) ON CONFLICT (key) DO UPDATE SET value = excluded.value"
			_, err = conn.Exec(ctx, upsert, "reefer", "plug 2")
			Expect(err).NotTo(HaveOccurred())
			Expect(value(ctx, conn, "reefer")).To(Equal("plug 2"))
			var count int64
			Expect(conn.QueryRow(ctx, "SELECT count(*) FROM records").Scan(&count)).To(Succeed())
			Expect(count).To(Equal(int64(1)))
			rows, err := conn.Query(ctx, "SELECT generate_series(1,10000)")
			Expect(err).NotTo(HaveOccurred())
			numbers, err := pgx.CollectRows(rows, pgx.RowTo[int32])
			Expect(err).NotTo(HaveOccurred())
			Expect(numbers).To(HaveLen(10000))
			_, err = conn.Exec(ctx, "INSERT INTO records(key,value) VALUES ($1,$2)", "reefer", "again")
			Expect(codeOf(err)).To(Equal("23505"))
		},
		Entry("extended, SCRAM", upstreamd.AuthScram, "cache_statement"),
		Entry("unnamed statements, cleartext", upstreamd.AuthCleartext, "exec"),
		Entry("simple", upstreamd.AuthScram, "simple_protocol"),
	)

	It("answers PostgreSQL's functions on both roles", func(ctx context.Context) {
		b := start(ctx, upstreamd.AuthScram)
		const probe = `SELECT pg_is_in_recovery(), (pg_control_checkpoint()).timeline_id,
			CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END::text`
		layout := b.server.Layout().Groups[0]
		var host string
		var port int32
		const receiver = "SELECT sender_host, sender_port FROM pg_stat_wal_receiver"
		Expect(b.connect(ctx, 0).QueryRow(ctx, receiver).Scan(&host, &port)).To(MatchError(pgx.ErrNoRows))
		Expect(b.connect(ctx, 1).QueryRow(ctx, receiver).Scan(&host, &port)).To(Succeed())
		Expect(fmt.Sprintf("%s:%d", host, port)).To(Equal(layout.Upstreams[0].Address))
		var recovering bool
		var timeline int32
		var at string
		for upstream := range 2 {
			Expect(b.connect(ctx, upstream).QueryRow(ctx, probe).Scan(&recovering, &timeline, &at)).To(Succeed())
			Expect(recovering).To(Equal(upstream == 1))
			Expect(timeline).To(Equal(int32(1)))
			Expect(at).To(Equal("0/3000000"))
		}
	})

	It("keeps transactions apart and shows their state", func(ctx context.Context) {
		b := start(ctx, upstreamd.AuthScram)
		writer, reader := b.connect(ctx, 0), b.connect(ctx, 0)
		tx, err := writer.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		insert(ctx, tx.Conn(), "k", "v")
		Expect(value(ctx, reader, "k")).To(BeEmpty())
		_, err = writer.Exec(ctx, "SELECT nonsense FROM nowhere")
		Expect(codeOf(err)).To(Equal("42P01"))
		Expect(writer.PgConn().TxStatus()).To(Equal(byte('E')))
		Expect(tx.Rollback(ctx)).To(Succeed())
		Expect(value(ctx, writer, "k")).To(BeEmpty())
	})

	It("refuses a write on a replica and a connection above the limit", func(ctx context.Context) {
		b := start(ctx, upstreamd.AuthScram)
		replica := b.connect(ctx, 1)
		_, err := replica.Exec(ctx, "DELETE FROM records")
		Expect(codeOf(err)).To(Equal("25006"))
		for range 3 {
			b.connect(ctx, 1)
		}
		_, err = b.dial(ctx, 1, "exec")
		Expect(err).To(MatchError(ContainSubstring("53300")))
	})

	It("loses the write that no replica had when its primary is replaced", func(ctx context.Context) {
		b := start(ctx, upstreamd.AuthScram)
		primary, replica := b.connect(ctx, 0), b.connect(ctx, 1)
		insert(ctx, primary, "kept", "1")
		Expect(value(ctx, replica, "kept")).To(Equal("1"))
		b.fault(ctx, upstreamd.Fault{Upstream: "b", Action: upstreamd.ActionLag, LagMS: neverMS})
		insert(ctx, primary, "lost", "1")
		b.fault(ctx, upstreamd.Fault{Upstream: "a", Action: upstreamd.ActionKill})
		_, err := replica.Exec(ctx, "SELECT pg_promote()")
		Expect(err).NotTo(HaveOccurred())
		Expect(value(ctx, replica, "lost")).To(BeEmpty())
		var before, after string
		const ended = "SELECT pg_last_wal_replay_lsn()::text, pg_current_wal_lsn()::text"
		Expect(replica.QueryRow(ctx, ended).Scan(&before, &after)).To(Succeed())
		Expect(before < after).To(BeTrue(), "the new timeline starts where the recovery ended")
		insert(ctx, replica, "new", "1")

		b.fault(ctx, upstreamd.Fault{Upstream: "a", Action: upstreamd.ActionRevive})
		deposed := b.connect(ctx, 0)
		Expect(value(ctx, deposed, "lost")).To(Equal("1"))
		b.fault(ctx, upstreamd.Fault{Upstream: "a", Action: upstreamd.ActionFollow})
		Expect(value(ctx, deposed, "lost")).To(BeEmpty())
		Expect(value(ctx, deposed, "new")).To(Equal("1"))
		_, err = deposed.Exec(ctx, "DELETE FROM records")
		Expect(codeOf(err)).To(Equal("25006"))
	})

	It("holds the log of a stuck replica and lets it catch up", func(ctx context.Context) {
		b := start(ctx, upstreamd.AuthScram)
		primary, replica := b.connect(ctx, 0), b.connect(ctx, 2)
		b.fault(ctx, upstreamd.Fault{Upstream: "c", Action: upstreamd.ActionStick})
		insert(ctx, primary, "k", "v")
		Expect(value(ctx, replica, "k")).To(BeEmpty())
		b.fault(ctx, upstreamd.Fault{Upstream: "c", Action: upstreamd.ActionUnstick})
		Expect(value(ctx, replica, "k")).To(Equal("v"))
	})

	It("cuts the answer of a write that took effect", func(ctx context.Context) {
		b := start(ctx, upstreamd.AuthScram)
		b.fault(ctx, upstreamd.Fault{
			Upstream: "a", Action: upstreamd.ActionCutAnswer,
			Cut: &upstreamd.AnswerCut{Match: "INSERT", Bytes: 3},
		})
		_, err := b.connect(ctx, 0).Exec(ctx, "INSERT INTO records(key,value) VALUES ('k','v')")
		Expect(err).To(HaveOccurred())
		Expect(value(ctx, b.connect(ctx, 0), "k")).To(Equal("v"))
		entries, err := b.control.Log(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(ContainElement(And(
			HaveField("Kind", upstreamd.EntryCommit), HaveField("Key", "k"), HaveField("Upstream", "a"),
		)))
	})

	It("queues statements above its slots and cancels on request", func(ctx context.Context) {
		b := start(ctx, upstreamd.AuthScram)
		for range 2 {
			sleeper := b.connect(ctx, 0)
			sleeping, cancel := context.WithCancel(ctx)
			stopped := make(chan struct{})
			DeferCleanup(func() {
				cancel()
				<-stopped
			})
			go func() {
				defer close(stopped)
				_, _ = sleeper.Exec(sleeping, "SELECT pg_sleep(1000)")
			}()
		}
		busy := func() int { return b.server.Status()[0].SlotsBusy }
		Eventually(busy).Should(Equal(2))
		waiting := b.connect(ctx, 0)
		done := make(chan error, 1)
		go func() {
			_, err := waiting.Exec(ctx, "SELECT count(*) FROM records", pgx.QueryExecModeSimpleProtocol)
			done <- err
		}()
		Eventually(func() int64 { return b.server.Status()[0].Queued }).Should(Equal(int64(1)))
		Expect(waiting.PgConn().CancelRequest(ctx)).To(Succeed())
		Expect(codeOf(<-done)).To(Equal("57014"))
	})

	It("does nothing while frozen and goes on afterwards", func(ctx context.Context) {
		b := start(ctx, upstreamd.AuthScram)
		primary := b.connect(ctx, 0)
		b.fault(ctx, upstreamd.Fault{Upstream: "a", Action: upstreamd.ActionFreeze})
		done := make(chan error, 1)
		go func() {
			_, err := primary.Exec(ctx, "INSERT INTO records(key,value) VALUES ('k','v')")
			done <- err
		}()
		Consistently(done, "50ms").ShouldNot(Receive())
		Expect(b.server.Status()[0].Writes).To(BeZero())
		b.fault(ctx, upstreamd.Fault{Upstream: "a", Action: upstreamd.ActionThaw})
		Expect(<-done).NotTo(HaveOccurred())
		Expect(b.server.Status()[0].Writes).To(Equal(uint64(1)))
	})
})
