package hedge_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/hedge"
)

// suite is the test that runs the specs. Specs in virtual time need it.
var suite *testing.T

func TestHedge(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "hedge")
}

var errRefused = errors.New("refused")

var _ = Describe("Do", func() {
	quick := hedge.Policy{Interval: time.Millisecond, MaxAttempts: 4}
	never := hedge.Policy{Interval: time.Hour, MaxAttempts: 4}

	It("returns the first answer, and ends the attempts that have none", func(ctx SpecContext) {
		var attempts atomic.Int64
		ended := make(chan struct{}, quick.MaxAttempts)
		value, err := hedge.Do(ctx, quick, func(ctx context.Context) (int64, error) {
			attempt := attempts.Add(1)
			if attempt < 3 {
				<-ctx.Done()
				ended <- struct{}{}
				return 0, ctx.Err()
			}
			return attempt, nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(value).To(BeNumerically(">=", 3))
		Eventually(ctx, ended).Should(Receive())
		Eventually(ctx, ended).Should(Receive())
	})

	It("returns an error at once if no other attempt is in progress", func(ctx SpecContext) {
		_, err := hedge.Do(ctx, never, func(context.Context) (int, error) { return 0, errRefused })
		Expect(err).To(MatchError(errRefused))
	})

	It("waits for the other attempts after an error", func(ctx SpecContext) {
		var attempts atomic.Int64
		second := make(chan struct{})
		value, err := hedge.Do(ctx, quick, func(ctx context.Context) (int, error) {
			switch attempts.Add(1) {
			case 1:
				<-second
				return 7, nil
			case 2:
				defer close(second)
			}
			return 0, errRefused
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(value).To(Equal(7))
	})

	// A large answer was asked for again and again while it was arriving.
	It("starts no attempt while an answer is arriving, and ends those without one", func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			var attempts atomic.Int64
			value, err := hedge.Do(context.Background(), quick, func(ctx context.Context) (int64, error) {
				attempt := attempts.Add(1)
				if attempt == 1 {
					<-ctx.Done()
					return 0, ctx.Err()
				}
				hedge.Answering(ctx)
				// Further attempts would be due while the answer arrives.
				time.Sleep(20 * quick.Interval)
				return attempt, ctx.Err()
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(value).To(BeEquivalentTo(2))
			Expect(attempts.Load()).To(BeEquivalentTo(2))
		})
	})

	It("returns the error of an answer that does not arrive to its end", func(ctx SpecContext) {
		_, err := hedge.Do(ctx, never, func(ctx context.Context) (int, error) {
			hedge.Answering(ctx)
			return 0, errRefused
		})
		Expect(err).To(MatchError(errRefused))
	})

	It("starts no more attempts than allowed, and ends with its context", func(ctx SpecContext) {
		var attempts atomic.Int64
		bounded, cancel := context.WithCancel(ctx)
		go func() {
			Eventually(ctx, attempts.Load).Should(BeEquivalentTo(quick.MaxAttempts))
			cancel()
		}()
		_, err := hedge.Do(bounded, quick, func(ctx context.Context) (int, error) {
			attempts.Add(1)
			<-ctx.Done()
			return 0, ctx.Err()
		})
		Expect(err).To(MatchError(context.Canceled))
		Expect(attempts.Load()).To(BeEquivalentTo(quick.MaxAttempts))
	})
})
