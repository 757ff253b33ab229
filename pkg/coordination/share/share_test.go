package share_test

import (
	"context"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/share"
)

func TestShare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "share")
}

var _ = Describe("Call", func() {
	It("never returns the result of a request that started before the call", func(ctx SpecContext) {
		var asked atomic.Int64
		proceed := make(chan struct{})
		call := share.New(func() int64 {
			number := asked.Add(1)
			<-proceed
			return number
		})
		answers := make(chan int64, 3)
		do := func() {
			got, _ := call.Do(ctx)
			answers <- got
		}
		go do()
		Eventually(asked.Load).Should(Equal(int64(1)))
		go do()
		go do()
		Eventually(call.Waiting).Should(Equal(2))
		close(proceed)
		got := []int64{<-answers, <-answers, <-answers}
		Expect(got).To(ConsistOf(int64(1), int64(2), int64(2)))
	})

	// Guards against a caller that arrives during the wait before a request and
	// waits for the one after it, twice as long.
	It("answers callers that arrive during the pause by the request that follows", func(ctx SpecContext) {
		paused := make(chan struct{})
		proceed := make(chan struct{})
		var asked atomic.Int64
		call := share.NewPaced(func() {
			paused <- struct{}{}
			<-proceed
		}, func() int64 { return asked.Add(1) })
		answers := make(chan int64, 2)
		do := func() {
			got, _ := call.Do(ctx)
			answers <- got
		}
		go do()
		<-paused
		go do()
		Eventually(call.Waiting).Should(Equal(2))
		close(proceed)
		Expect([]int64{<-answers, <-answers}).To(Equal([]int64{1, 1}))
	})

	It("ends with the caller's context", func() {
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		call := share.New(func() int { <-release; return 1 })
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, answered := call.Do(ctx)
		Expect(answered).To(BeFalse())
	})
})
