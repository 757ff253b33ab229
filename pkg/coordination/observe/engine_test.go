package observe

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
	"gypsumdock/pkg/verdict"
)

func TestObserve(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "observe")
}

// fakeEngine is a traffic.Engine that returns a copy of ticket, or refuse if set.
type fakeEngine struct {
	current *bundle.Bundle
	refuse  *verdict.Error
	ticket  traffic.Ticket
}

func (f *fakeEngine) Bundle() *bundle.Bundle { return f.current }

func (f *fakeEngine) Admit(_ context.Context, statement traffic.Statement) (*traffic.Ticket, *verdict.Error) {
	if f.refuse != nil {
		return nil, f.refuse
	}
	ticket := f.ticket
	ticket.Statement = statement
	return &ticket, nil
}

func (f *fakeEngine) MaySend(*traffic.Ticket) *verdict.Error { return f.refuse }

func (f *fakeEngine) MayAcknowledge(context.Context, *traffic.Ticket, model.LSN) *verdict.Error {
	return f.refuse
}

func (f *fakeEngine) Done(*traffic.Ticket, traffic.Result) {}

// newEngine returns an Engine, its inner engine and its log. The group has the
// given name; a name of its own keeps each test's metrics apart.
func newEngine(name string) (*Engine, *fakeEngine, *bytes.Buffer) {
	group := bundle.Group{ID: model.GroupID(name), Database: "db", Upstreams: []bundle.Upstream{{ID: model.UpstreamID(name)}}}
	inner := &fakeEngine{current: &bundle.Bundle{Groups: []bundle.Group{group}}}
	inner.ticket = traffic.Ticket{Group: &group, Upstream: &group.Upstreams[0], Route: &bundle.Route{Name: "r"}}
	out := &bytes.Buffer{}
	return New(inner, slog.New(slog.NewTextHandler(out, nil))), inner, out
}

var _ = Describe("Engine", func() {
	ctx := context.Background()

	It("counts as many answers as requests", func() {
		engine, inner, _ := newEngine("balance")
		for _, outcome := range []verdict.Outcome{verdict.Ran, verdict.NotRun, verdict.MayHaveRun} {
			ticket, _ := engine.Admit(ctx, traffic.Statement{Database: "db", ReadOnly: true, Attempt: int(outcome)})
			engine.Done(ticket, traffic.Result{Outcome: outcome})
		}
		inner.refuse = verdict.New(verdict.Overloaded, verdict.NotRun, "full")
		_, refused := engine.Admit(ctx, traffic.Statement{Database: "db"})
		Expect(refused).To(Equal(inner.refuse))
		answers := func(outcome string) uint64 { return telemetry.Answers.With("balance", outcome).Get() }
		Expect(telemetry.Requests.With("balance").Get()).To(Equal(uint64(4)))
		Expect([]uint64{answers("ran"), answers("not_run"), answers("may_have_run")}).To(Equal([]uint64{1, 2, 1}))
		Expect(telemetry.Reads.With("balance", "replica").Get()).To(Equal(uint64(1)))
		Expect(telemetry.AdmissionRefused.With("balance").Get()).To(Equal(uint64(1)))
		Expect(telemetry.Retries.With("balance").Get()).To(Equal(uint64(2)))
	})

	It("logs the begin and the end of an overload once each", func() {
		engine, inner, out := newEngine("overload")
		now := time.Unix(1_700_000_000, 0)
		engine.now = func() time.Time { return now }
		admit := func() { _, _ = engine.Admit(ctx, traffic.Statement{Database: "db"}) }
		inner.refuse = verdict.New(verdict.Overloaded, verdict.NotRun, "full")
		admit()
		admit()
		inner.refuse = nil
		admit()
		Expect(strings.Count(out.String(), "\n")).To(Equal(1))
		now = now.Add(overloadEndsAfter)
		admit()
		admit()
		Expect(out.String()).To(MatchRegexp(`event=420 group=overload\n.*event=421 group=overload\n$`))
	})

	// One caller over its rate would otherwise report its group as overloaded.
	It("does not take a refusal over a rate limit for an overload", func() {
		engine, inner, out := newEngine("over-rate")
		inner.refuse = verdict.New(verdict.Overloaded, verdict.NotRun, traffic.OverRateReason)
		_, refused := engine.Admit(ctx, traffic.Statement{Database: "db"})
		Expect(refused).To(Equal(inner.refuse))
		Expect(out.String()).To(BeEmpty())
		Expect(telemetry.AdmissionRefused.With("over-rate").Get()).To(BeZero())
	})

	It("logs lost writes and marks that were not stored", func() {
		engine, inner, out := newEngine("failures")
		ticket, _ := engine.Admit(ctx, traffic.Statement{Database: "db"})
		inner.refuse = verdict.New(verdict.WriteLost, verdict.MayHaveRun, "lost")
		Expect(engine.MayAcknowledge(ctx, ticket, 1)).To(Equal(inner.refuse))
		inner.refuse = verdict.New(verdict.MarkNotStored, verdict.MayHaveRun, "no home")
		Expect(engine.MayAcknowledge(ctx, ticket, 1)).To(Equal(inner.refuse))
		Expect(out.String()).To(And(ContainSubstring("event=401"), ContainSubstring("event=402")))
		Expect(telemetry.WritesLost.With("failures").Get()).To(Equal(uint64(1)))
	})

	It("adds no allocation to a unit of work", func() {
		engine, inner, _ := newEngine("allocations")
		statement := traffic.Statement{Database: "db"}
		unit := func(e traffic.Engine) func() {
			return func() {
				ticket, _ := e.Admit(ctx, statement)
				e.Done(ticket, traffic.Result{Outcome: verdict.Ran, Latency: time.Millisecond})
			}
		}
		Expect(testing.AllocsPerRun(100, unit(engine))).To(Equal(testing.AllocsPerRun(100, unit(inner))))
	})
})

func BenchmarkEngine(b *testing.B) {
	engine, _, _ := newEngine("benchmark")
	ctx, statement := context.Background(), traffic.Statement{Database: "db"}
	b.ReportAllocs()
	for b.Loop() {
		ticket, _ := engine.Admit(ctx, statement)
		engine.Done(ticket, traffic.Result{Outcome: verdict.Ran, Latency: time.Millisecond})
	}
}
