package promises_test

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/caller"
	"gypsumdock/testbench/faultproxy"
	"gypsumdock/testbench/history"
	"gypsumdock/testbench/upstreamd"
	"gypsumdock/testbench/workload"
)

// target returns the first group through an instance.
func (w *world) target(instance int) caller.Target {
	group := w.group()
	return caller.Target{
		Address: w.Instances[instance].ToCallers.Address(), Group: group.ID, Database: group.Database,
	}
}

// dial connects as a session of the first caller.
func (w *world) dial(ctx context.Context, instance int, session string) *pgx.Conn {
	GinkgoHelper()
	conn, err := caller.Dial(ctx, w.target(instance), w.Profile().Callers[0], session)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// cutAnswers cuts the answers of a few statements that match.
func (w *world) cutAnswers(ctx context.Context, match string, count int) {
	GinkgoHelper()
	primary, err := w.Primary(ctx, w.group().ID)
	Expect(err).NotTo(HaveOccurred())
	for n := range count {
		fault := upstreamd.Fault{
			Group: w.group().ID, Upstream: primary, Action: upstreamd.ActionCutAnswer,
			Cut: &upstreamd.AnswerCut{Match: match, Bytes: n % 20},
		}
		Expect(w.Upstreams.Apply(ctx, fault)).To(Succeed())
		time.Sleep(50 * time.Millisecond)
	}
}

const upsert = "INSERT INTO records(key,value) VALUES ($1,$2) ON CONFLICT (key) DO UPDATE SET value = excluded.value"

var _ = Describe("statements of two callers' transactions never mix on one connection", func() {
	It("while callers vanish in the middle of transactions", func(ctx context.Context) {
		w := start(ctx, quick())
		running := w.run(ctx, nil)
		for n := range 40 {
			session := fmt.Sprintf("vanishing-%d", n)
			conn := w.dial(ctx, n%instances, session)
			tx, err := conn.Begin(ctx)
			Expect(err).NotTo(HaveOccurred())
			for i := range 2 {
				value := history.Value{Key: session, Session: session, Number: i + 1}
				_, err = tx.Exec(ctx, upsert, session, value.String())
				Expect(err).NotTo(HaveOccurred())
			}
			if n%2 == 0 {
				Expect(conn.PgConn().Conn().Close()).To(Succeed())
				continue
			}
			Expect(tx.Commit(ctx)).To(Succeed())
			Expect(conn.Close(ctx)).To(Succeed())
		}
		awaitWrites(running)
		w.check(ctx, running)
		w.checkVanished(ctx)
	})
})

// checkVanished finds the transactions of callers that vanished: rolled back,
// those of the others committed with all their statements.
func (w *world) checkVanished(ctx context.Context) {
	GinkgoHelper()
	entries, err := w.Upstreams.Log(ctx, 0)
	Expect(err).NotTo(HaveOccurred())
	committed := make(map[string]int)
	for _, entry := range entries {
		if entry.Kind == upstreamd.EntryCommit {
			committed[entry.Key]++
		}
	}
	for n := range 40 {
		session := fmt.Sprintf("vanishing-%d", n)
		if n%2 == 0 {
			Expect(committed[session]).To(BeZero(), session)
			continue
		}
		Expect(committed[session]).To(Equal(2), session)
	}
}

var _ = Describe("a caller gets the whole answer to its own request", func() {
	It("or an error, when answers are cut, late and large", func(ctx context.Context) {
		w := start(ctx, quick())
		running := w.run(ctx, nil)
		awaitWrites(running)
		old := w.group().Upstreams[0].ID
		for n := range 8 {
			w.ToUpstream(old).Silence(faultproxy.ToClient)
			time.Sleep(100 * time.Millisecond)
			w.ToUpstream(old).Heal()
			w.cutAnswers(ctx, "SELECT value", 2)
			whole(ctx, w, n)
		}
		awaitWrites(running)
		w.check(ctx, running)
	})
})

const largeRows = 50_000

// whole reads a large result, with a cut in one of two runs.
func whole(ctx context.Context, w *world, n int) {
	GinkgoHelper()
	primary, err := w.Primary(ctx, w.group().ID)
	Expect(err).NotTo(HaveOccurred())
	const match = "SELECT generate_series"
	cut := n%2 == 1
	if cut {
		for _, upstream := range w.group().Upstreams {
			Expect(w.Upstreams.Apply(ctx, upstreamd.Fault{
				Group: w.group().ID, Upstream: upstream.ID, Action: upstreamd.ActionCutAnswer,
				Cut: &upstreamd.AnswerCut{Match: match, Bytes: 100_000},
			})).To(Succeed())
		}
	}
	conn := w.dial(ctx, n%instances, fmt.Sprintf("large-%d", n))
	rows, err := conn.Query(ctx, match+"(1,50000)", pgx.QueryExecModeExec)
	Expect(err).NotTo(HaveOccurred())
	numbers, err := pgx.CollectRows(rows, pgx.RowTo[int32])
	if cut {
		Expect(err).To(HaveOccurred(), "a cut answer from %s came as whole", primary)
		return
	}
	Expect(err).NotTo(HaveOccurred())
	Expect(numbers).To(HaveLen(largeRows))
}

var _ = Describe("a request that a caller is told was not run was not run", func() {
	It("under overload, cut answers and the loss of the primary", func(ctx context.Context) {
		w := start(ctx, quick())
		running := w.run(ctx, func(o *workload.Options) {
			o.Sessions = 60
			o.Pause = 0
			o.Policy.Deadline = 3 * time.Second
		})
		awaitWrites(running)
		w.cutAnswers(ctx, "INSERT", 10)
		old := w.group().Upstreams[0].ID
		w.upstream(ctx, old, upstreamd.ActionKill)
		w.awaitPrimary(ctx, old)
		awaitWrites(running)
		w.check(ctx, running)
		refused := 0
		for _, op := range running.Log.Ops() {
			if op.Outcome == history.OutcomeNotRun && op.Code != "" {
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 0), "no request was refused, the test shows nothing")
	})
})

var _ = Describe("a request that may not be repeated runs at most once", func() {
	It("when answers are cut, an instance crashes and the primary is lost", func(ctx context.Context) {
		w := start(ctx, quick())
		running := w.run(ctx, nil)
		awaitWrites(running)
		w.cutAnswers(ctx, "'"+w.Profile().Routes.Once+"'", 10)
		running.SetTargets(w.Instances[1:])
		Expect(w.Instances[0].Kill()).To(Succeed())
		old := w.group().Upstreams[0].ID
		w.upstream(ctx, old, upstreamd.ActionKill)
		w.awaitPrimary(ctx, old)
		awaitWrites(running)
		w.check(ctx, running)
	})
})
