package pgfront_test

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/coordination/traffic/traffictest"
	"gypsumdock/pkg/transport/pgfront"
	"gypsumdock/pkg/verdict"
)

// chargingEngine counts the units that it charges, as an engine with a rate limit
// does, and the refunds.
type chargingEngine struct {
	*traffictest.Engine

	mu                sync.Mutex
	charged, refunded int
}

func (e *chargingEngine) Admit(ctx context.Context, s traffic.Statement) (*traffic.Ticket, *verdict.Error) {
	e.mu.Lock()
	if !s.Charge.Counted && !s.OnlyPrepares {
		*s.Charge = traffic.RateCharge{Caller: s.Caller, Counted: true}
		e.charged++
	}
	e.mu.Unlock()
	return e.Engine.Admit(ctx, s)
}

func (e *chargingEngine) RefundRate(charge *traffic.RateCharge) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if charge.Counted {
		charge.Counted = false
		e.refunded++
	}
}

// counts returns the units that were charged and refunded.
func (e *chargingEngine) counts() [2]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return [2]int{e.charged, e.refunded}
}

var _ = Describe("a unit of work under a rate limit", func() {
	var (
		b      *testbed
		engine *chargingEngine
		ctx    = context.Background()
	)

	BeforeEach(func() {
		b = newTestbed(2, func(settings *pgfront.Config) {
			engine = &chargingEngine{Engine: settings.Engine.(*traffictest.Engine)}
			settings.Engine = engine
		})
	})

	It("counts once for a statement, and once for a transaction", func() {
		conn := b.connect(simpleProtocol)
		Expect(queryText(conn, "select on")).To(Equal("on"))
		Expect(engine.counts()).To(Equal([2]int{1, 0}))
		tx, err := conn.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		for range 3 {
			_, err = tx.Exec(ctx, "insert a")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(tx.Commit(ctx)).To(Succeed())
		Expect(engine.counts()).To(Equal([2]int{2, 0}))
	})

	// pgx prepares each new statement in a request of its own, and again after any
	// error. Counted, these requests used up the rate of a caller near its limit.
	It("counts once for a statement that is prepared first", func() {
		conn := b.connect(nil)
		Expect(queryText(conn, "select $1", "on")).To(Equal("on"))
		Expect(engine.counts()).To(Equal([2]int{1, 0}))
		_, err := conn.Prepare(ctx, "later", "insert $1")
		Expect(err).NotTo(HaveOccurred())
		Expect(engine.counts()).To(Equal([2]int{1, 0}))
	})

	It("counts once for a transaction that begins with a preparation", func() {
		tx, err := b.connect(nil).Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "insert $1", "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(tx.Commit(ctx)).To(Succeed())
		Expect(engine.counts()).To(Equal([2]int{1, 0}))
	})

	// A read that was sent may have run, so that its operation stays counted.
	It("counts once for a read that is retried after it was sent", func() {
		_, err := b.connect(simpleProtocol).Exec(ctx, "select die")
		Expect(sqlStateOf(err)).To(Equal("08007"))
		Expect(b.upstream.log()).To(HaveLen(3))
		Expect(engine.counts()).To(Equal([2]int{1, 0}))
	})

	It("is given back once if it was not sent in any attempt", func() {
		b.engine.OnMaySend = func(*traffic.Ticket) *verdict.Error {
			return verdict.New(verdict.NoPermit, verdict.NotRun, "no permit")
		}
		_, err := b.connect(simpleProtocol).Exec(ctx, "insert a")
		Expect(sqlStateOf(err)).To(Equal("25006"))
		Expect(engine.counts()).To(Equal([2]int{1, 1}))
	})

	It("stays counted if a further attempt is refused after the first was sent", func() {
		b.engine.OnAdmit = func(t *traffic.Ticket) *verdict.Error {
			if t.Statement.Attempt == 0 {
				return nil
			}
			return verdict.New(verdict.Overloaded, verdict.NotRun, "too many retries")
		}
		_, err := b.connect(simpleProtocol).Exec(ctx, "select die")
		Expect(sqlStateOf(err)).To(Equal("08007"))
		Expect(engine.counts()).To(Equal([2]int{1, 0}))
	})

	It("stays counted if a later statement of its transaction is not sent", func() {
		conn := b.connect(nil)
		tx, err := conn.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "insert $1", "a")
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "die $1", "now")
		Expect(err).To(HaveOccurred())
		Expect(engine.counts()).To(Equal([2]int{1, 0}))
	})

	It("is refused with SQLSTATE 53300 and the time to come back", func() {
		b.engine.OnAdmit = func(*traffic.Ticket) *verdict.Error {
			return verdict.New(verdict.Overloaded, verdict.NotRun, traffic.OverRateReason).WithRetryAfter(250 * time.Millisecond)
		}
		_, err := b.connect(nil).Exec(ctx, "insert $1", "a")
		var refused *pgconn.PgError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Code).To(Equal("53300"))
		Expect(refused.Message).To(ContainSubstring("over the rate limit"))
		Expect(refused.Detail).To(Equal("The request was not run. Retry after 250 ms."))
		Expect(b.upstream.log()).To(BeEmpty())
	})
})
