package textlend_test

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/lending"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/textback"
	"gypsumdock/pkg/transport/textback/textbacktest"
	"gypsumdock/pkg/transport/textlend"
	"gypsumdock/platform"
)

func TestTextlend(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "textlend")
}

// longWait is a bound that only a hang exceeds.
const longWait = 20 * time.Second

// holders carries loans to lenders by name. An instance without a lender takes
// streams and says nothing, or refuses them if it is not named at all.
type holders map[model.InstanceID]*textlend.Lender

var errNoPeer = errors.New("no such peer")

func (h holders) Forward(to model.InstanceID, open *meshpb.ForwardOpen) (net.Conn, error) {
	lender, named := h[to]
	if !named {
		return nil, errNoPeer
	}
	own, other := net.Pipe()
	if lender != nil {
		go lender.Serve(context.Background(), open, other)
	}
	return own, nil
}

// bench is a database, the holder "h" of connections to it, and a borrower.
type bench struct {
	database *textbacktest.Database
	lender   *textlend.Lender
	holders  holders
	borrower *textlend.Borrower
	pools    *textback.Pools
}

func newBench(order ...model.InstanceID) *bench {
	database, err := textbacktest.Start(100)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(database.Close)
	b := &bench{database: database, pools: poolsOf(database, textback.Limit{MaxInUse: 1})}
	b.lender = textlend.NewLender(b.pools)
	b.lender.SetPlans(textlend.Plans{"u": {OwnConnections: 1, Lenders: order}})
	b.holders = holders{"h": b.lender}
	own := poolsOf(database, textback.Limit{MaxInUse: 1, Temporary: true})
	b.borrower = textlend.NewBorrower(own, platform.LineCodec{}, slog.New(slog.DiscardHandler))
	b.borrower.SetNode(b.holders)
	b.borrower.SetPlans(textlend.Plans{"u": lending.Plan{Lenders: order}})
	return b
}

func poolsOf(database *textbacktest.Database, limit textback.Limit) *textback.Pools {
	pools := textback.New(platform.LineCodec{}, "test")
	pools.SetUpstreams(
		map[model.UpstreamID]catalog.Upstream{"u": database.Upstream()},
		map[model.UpstreamID]textback.Limit{"u": limit},
	)
	DeferCleanup(pools.Close)
	return pools
}

func (b *bench) get() (textback.Link, error) {
	link, _, err := b.borrower.Get(context.Background(), textback.GetOptions{Upstream: "u", Deadline: time.Now().Add(longWait)})
	return link, err
}

func (b *bench) borrow() textback.Link {
	GinkgoHelper()
	link, err := b.get()
	Expect(err).NotTo(HaveOccurred())
	return link
}

func exchange(link textback.Link, id, text string) (*statement.Answer, error) {
	return link.Exchange([]byte("QUERY "+id+" "+text+"\r\n"), time.Now().Add(longWait))
}

var _ = Describe("a loan", func() {
	It("carries statements, session values and prepared statements over one connection of the holder", func() {
		b := newBench("h")
		for range 3 {
			link := b.borrow()
			Expect(link.SetSessionValues(map[string]string{"mode": "x"}, time.Now().Add(longWait))).To(Succeed())
			Expect(link.Prepare("s", true, "q1", time.Now().Add(longWait))).To(Succeed())
			answer, err := exchange(link, "1", "EXECUTE s a")
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Signature).To(Equal("s"))
			Expect(answer.Position).To(Equal(model.Position{Term: 1, LSN: 7}))
			b.borrower.Put(link, true)
		}
		Expect(b.database.AcceptedConnections()).To(BeEquivalentTo(1))
		Expect(strings.Join(b.database.Statements(), ";")).To(Equal(
			"SET mode x;PREPARE s READ q1;EXECUTE s a;EXECUTE s a;EXECUTE s a"))
	})

	It("clears what the session before has set", func() {
		b := newBench("h")
		link := b.borrow()
		Expect(link.SetSessionValues(map[string]string{"mode": "x"}, time.Now().Add(longWait))).To(Succeed())
		_, err := exchange(link, "1", "READ a")
		Expect(err).NotTo(HaveOccurred())
		b.borrower.Put(link, true)
		link = b.borrow()
		Expect(link.SetSessionValues(nil, time.Now().Add(longWait))).To(Succeed())
		_, err = exchange(link, "2", "READ a")
		Expect(err).NotTo(HaveOccurred())
		Expect(b.database.Statements()).To(Equal([]string{"SET mode x", "READ a", "RESET", "READ a"}))
	})

	It("closes a connection whose transaction the borrower has left open", func() {
		b := newBench("h")
		b.database.SetAnswer(func(string) []string { return []string{"COMPLETE s", "READY T 1.7"} })
		link := b.borrow()
		answer, err := exchange(link, "-", "BEGIN")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.State).To(Equal(statement.InTransaction))
		b.borrower.Put(link, false)
		Eventually(b.database.OpenConnections, longWait).Should(BeZero())
	})

	It("says that a statement may have run once it has left the holder", func() {
		b := newBench("h")
		b.database.SetAnswer(func(string) []string { return nil })
		_, err := exchange(b.borrow(), "1", "WRITE a 1")
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(textback.ErrNotSent))
	})

	It("says that a statement was not sent whose session values were refused", func() {
		b := newBench("h")
		b.database.SetAnswer(func(string) []string { return []string{"ERROR BUSY full", "READY I 1.7"} })
		link := b.borrow()
		Expect(link.SetSessionValues(map[string]string{"mode": "x"}, time.Now().Add(longWait))).To(Succeed())
		_, err := exchange(link, "1", "WRITE a 1")
		Expect(err).To(MatchError(textback.ErrNotSent))
		Expect(b.database.Statements()).To(Equal([]string{"SET mode x"}))
	})

	It("is refused while all connections of the holder are in use", func() {
		b := newBench("h")
		link := b.borrow()
		_, err := b.get()
		Expect(err).To(MatchError(textback.ErrNoFreeConnection))
		b.borrower.Put(link, true)
		Eventually(func() error {
			_, err := b.get()
			return err
		}, longWait).Should(Succeed())
	})

	It("is refused by an instance that is no holder", func() {
		b := newBench("h")
		b.lender.SetPlans(textlend.Plans{"u": {Lenders: []model.InstanceID{"other"}}})
		_, err := b.get()
		Expect(err).To(MatchError(textback.ErrNoFreeConnection))
	})

	It("goes to the next holder past those that are gone, silent or stopping", func() {
		b := newBench("gone", "silent", "h")
		b.holders["silent"] = nil
		_, err := exchange(b.borrow(), "1", "READ a")
		Expect(err).NotTo(HaveOccurred())
	})

	It("is made on a connection of the borrower's own where no holder answers", func() {
		b := newBench("h")
		b.lender.StopLending()
		link := b.borrow()
		Expect(link).To(BeAssignableToTypeOf(&textback.Conn{}))
		b.borrower.Put(link, true)
		Eventually(b.database.OpenConnections, longWait).Should(BeZero())
	})

	It("ends before a holder's stop", func() {
		b := newBench("h")
		link := b.borrow()
		b.lender.StopLending()
		ended := make(chan struct{})
		go func() {
			b.lender.Wait(context.Background())
			close(ended)
		}()
		Consistently(ended, "20ms").ShouldNot(BeClosed())
		b.borrower.Put(link, true)
		Eventually(ended, longWait).Should(BeClosed())
	})
})
