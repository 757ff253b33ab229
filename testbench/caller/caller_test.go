package caller_test

import (
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/verdict"
	"gypsumdock/testbench/caller"
	"gypsumdock/testbench/history"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "caller")
}

// told returns a verdict as a client library shows it.
func told(e *verdict.Error) error {
	return &pgconn.PgError{Code: e.SQLState(), Detail: e.Detail()}
}

var _ = Describe("what a caller is told", func() {
	DescribeTable("maps verdicts to outcomes",
		func(err error, outcome history.Outcome) {
			Expect(caller.Outcome(err)).To(Equal(outcome))
		},
		Entry("refused", told(verdict.New(verdict.Overloaded, verdict.NotRun, "")), history.OutcomeNotRun),
		Entry("lapsed", told(verdict.New(verdict.PermitLapsed, verdict.MayHaveRun, "")), history.OutcomeUnknown),
		Entry("write lost", told(verdict.New(verdict.WriteLost, verdict.NotRun, "")), history.OutcomeLost),
		Entry("broken connection", errors.New("unexpected EOF"), history.OutcomeUnknown),
	)

	It("finds the time to come back", func() {
		refused := verdict.New(verdict.Overloaded, verdict.NotRun, "").WithRetryAfter(250 * time.Millisecond)
		Expect(caller.RetryAfter(told(refused))).To(Equal(250 * time.Millisecond))
	})
})
