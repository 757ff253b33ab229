package pgfront_test

import (
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a cancel request", func() {
	It("cancels the caller's running statement", func() {
		b := newTestbed(1, nil)
		conn := b.connect(simpleProtocol)
		done := make(chan error, 1)
		go func() {
			_, err := conn.Exec(context.Background(), "select wait")
			done <- err
		}()
		Eventually(b.upstream.log).Should(ContainElement("select wait"))
		Expect(conn.PgConn().CancelRequest(context.Background())).To(Succeed())
		Expect(sqlStateOf(<-done)).To(Equal("57014"))
		Expect(queryText(conn, "select on")).To(Equal("on"))
	})

	It("does not cancel a later statement on the same connection", func() {
		b := newTestbed(1, nil)
		arrived := make(chan struct{})
		proceed := make(chan struct{})
		var once sync.Once
		b.upstream.onCancel = func() {
			once.Do(func() {
				close(arrived)
				<-proceed
			})
		}
		first := b.connect(simpleProtocol)
		second := b.connect(simpleProtocol)
		firstDone := make(chan error, 1)
		go func() {
			_, err := first.Exec(context.Background(), "select pause")
			firstDone <- err
		}()
		Eventually(b.upstream.paused).Should(BeTrue())
		go func() { _ = first.PgConn().CancelRequest(context.Background()) }()
		Eventually(arrived).Should(BeClosed())
		b.upstream.resume()
		secondDone := make(chan error, 1)
		go func() {
			_, err := second.Exec(context.Background(), "select wait")
			secondDone <- err
		}()
		Consistently(b.upstream.log, "50ms").ShouldNot(ContainElement("select wait"))
		close(proceed)
		Expect(<-firstDone).NotTo(HaveOccurred())
		Eventually(b.upstream.log).Should(ContainElement("select wait"))
		Consistently(secondDone, "50ms").ShouldNot(Receive())
		Expect(second.PgConn().CancelRequest(context.Background())).To(Succeed())
		Expect(sqlStateOf(<-secondDone)).To(Equal("57014"))
	})

	It("ends the wait of a statement that has not been sent", func() {
		b := newTestbed(1, nil)
		first := b.connect(simpleProtocol)
		second := b.connect(simpleProtocol)
		ctx := context.Background()
		_, err := first.Exec(ctx, "begin")
		Expect(err).NotTo(HaveOccurred())
		_, err = first.Exec(ctx, "insert a")
		Expect(err).NotTo(HaveOccurred())
		done := make(chan error, 1)
		go func() {
			_, err := second.Exec(ctx, "insert b")
			done <- err
		}()
		Eventually(func() int { return b.pools.StatsOf("plugs-1").Waiting }).Should(Equal(1))
		Expect(second.PgConn().CancelRequest(ctx)).To(Succeed())
		Expect(sqlStateOf(<-done)).To(Equal("57014"))
		_, err = first.Exec(ctx, "commit")
		Expect(err).NotTo(HaveOccurred())
		Expect(b.upstream.log()).To(Equal([]string{"begin", "insert a", "commit"}))
	})

	It("does nothing if its secret key is wrong", func() {
		b := newTestbed(1, nil)
		conn := b.connect(simpleProtocol)
		id := conn.PgConn().PID()
		Expect(b.server.Cancel(context.Background(), id, []byte{0, 0, 0, 0})).To(BeFalse())
	})
})
