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

// longWait bounds waits that end soon unless the code under test hangs.
const longWait = 20 * time.Second

// fakeMesh connects borrowers to lenders by instance ID. An instance with a nil
// lender accepts streams but never answers; an instance without an entry cannot
// be reached.
type fakeMesh map[model.InstanceID]*textlend.Lender

var errNoPeer = errors.New("no such peer")

func (m fakeMesh) Forward(to model.InstanceID, open *meshpb.ForwardOpen) (net.Conn, error) {
	lender, known := m[to]
	if !known {
		return nil, errNoPeer
	}
	own, other := net.Pipe()
	if lender != nil {
		go lender.Serve(context.Background(), open, other)
	}
	return own, nil
}

// fixture is a database, the instance "h" that lends connections to it, and a
// borrower.
type fixture struct {
	database *textbacktest.Database
	lender   *textlend.Lender
	mesh     fakeMesh
	borrower *textlend.Borrower
	pools    *textback.Pools
}

func newFixture(lenders ...model.InstanceID) *fixture {
	database, err := textbacktest.Start(100)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(database.Close)
	f := &fixture{database: database, pools: poolsOf(database, textback.Limit{MaxInUse: 1})}
	f.lender = textlend.NewLender(f.pools)
	f.lender.SetPlans(textlend.Plans{"u": {OwnConnections: 1, Lenders: lenders}})
	f.mesh = fakeMesh{"h": f.lender}
	own := poolsOf(database, textback.Limit{MaxInUse: 1, Temporary: true})
	f.borrower = textlend.NewBorrower(own, platform.LineCodec{}, slog.New(slog.DiscardHandler))
	f.borrower.SetNode(f.mesh)
	f.borrower.SetPlans(textlend.Plans{"u": lending.Plan{Lenders: lenders}})
	return f
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

func (f *fixture) getLink() (textback.Link, error) {
	link, _, err := f.borrower.Get(context.Background(), textback.GetOptions{Upstream: "u", Deadline: time.Now().Add(longWait)})
	return link, err
}

func (f *fixture) borrow() textback.Link {
	GinkgoHelper()
	link, err := f.getLink()
	Expect(err).NotTo(HaveOccurred())
	return link
}

func exchange(link textback.Link, id, text string) (*statement.Answer, error) {
	return link.Exchange([]byte("QUERY "+id+" "+text+"\r\n"), time.Now().Add(longWait))
}

var _ = Describe("a loan", func() {
	It("carries statements, session values and prepared statements over one connection of the lender", func() {
		f := newFixture("h")
		for range 3 {
			link := f.borrow()
			Expect(link.SetSessionValues(map[string]string{"mode": "x"}, time.Now().Add(longWait))).To(Succeed())
			Expect(link.Prepare("s", true, "q1", time.Now().Add(longWait))).To(Succeed())
			answer, err := exchange(link, "1", "EXECUTE s a")
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Signature).To(Equal("s"))
			Expect(answer.Position).To(Equal(model.Position{Term: 1, LSN: 7}))
			f.borrower.Put(link, true)
		}
		Expect(f.database.AcceptedConnections()).To(BeEquivalentTo(1))
		Expect(strings.Join(f.database.Statements(), ";")).To(Equal(
			"SET mode x;PREPARE s READ q1;EXECUTE s a;EXECUTE s a;EXECUTE s a"))
	})

	It("resets the session values of the previous session", func() {
		f := newFixture("h")
		link := f.borrow()
		Expect(link.SetSessionValues(map[string]string{"mode": "x"}, time.Now().Add(longWait))).To(Succeed())
		_, err := exchange(link, "1", "READ a")
		Expect(err).NotTo(HaveOccurred())
		f.borrower.Put(link, true)
		link = f.borrow()
		Expect(link.SetSessionValues(nil, time.Now().Add(longWait))).To(Succeed())
		_, err = exchange(link, "2", "READ a")
		Expect(err).NotTo(HaveOccurred())
		Expect(f.database.Statements()).To(Equal([]string{"SET mode x", "READ a", "RESET", "READ a"}))
	})

	It("closes a connection on which the borrower left a transaction open", func() {
		f := newFixture("h")
		f.database.SetAnswer(func(string) []string { return []string{"COMPLETE s", "READY T 1.7"} })
		link := f.borrow()
		answer, err := exchange(link, "-", "BEGIN")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.State).To(Equal(statement.InTransaction))
		f.borrower.Put(link, false)
		Eventually(f.database.OpenConnections, longWait).Should(BeZero())
	})

	It("reports a statement as possibly run once the lender has sent it", func() {
		f := newFixture("h")
		f.database.SetAnswer(func(string) []string { return nil })
		_, err := exchange(f.borrow(), "1", "WRITE a 1")
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(textback.ErrNotSent))
	})

	It("reports a statement as not sent if its session values were refused", func() {
		f := newFixture("h")
		f.database.SetAnswer(func(string) []string { return []string{"ERROR BUSY full", "READY I 1.7"} })
		link := f.borrow()
		Expect(link.SetSessionValues(map[string]string{"mode": "x"}, time.Now().Add(longWait))).To(Succeed())
		_, err := exchange(link, "1", "WRITE a 1")
		Expect(err).To(MatchError(textback.ErrNotSent))
		Expect(f.database.Statements()).To(Equal([]string{"SET mode x"}))
	})

	It("is refused while all connections of the lender are in use", func() {
		f := newFixture("h")
		link := f.borrow()
		_, err := f.getLink()
		Expect(err).To(MatchError(textback.ErrNoFreeConnection))
		f.borrower.Put(link, true)
		Eventually(func() error {
			_, err := f.getLink()
			return err
		}, longWait).Should(Succeed())
	})

	It("is refused by an instance that is not a lender", func() {
		f := newFixture("h")
		f.lender.SetPlans(textlend.Plans{"u": {Lenders: []model.InstanceID{"other"}}})
		_, err := f.getLink()
		Expect(err).To(MatchError(textback.ErrNoFreeConnection))
	})

	It("is requested from the next lender if others are unreachable or do not answer", func() {
		f := newFixture("gone", "silent", "h")
		f.mesh["silent"] = nil
		_, err := exchange(f.borrow(), "1", "READ a")
		Expect(err).NotTo(HaveOccurred())
	})

	It("is replaced by a connection of the borrower if no lender answers", func() {
		f := newFixture("h")
		f.lender.StopLending()
		link := f.borrow()
		Expect(link).To(BeAssignableToTypeOf(&textback.Conn{}))
		f.borrower.Put(link, true)
		Eventually(f.database.OpenConnections, longWait).Should(BeZero())
	})

	It("that is in progress is waited for when the lender stops", func() {
		f := newFixture("h")
		link := f.borrow()
		f.lender.StopLending()
		ended := make(chan struct{})
		go func() {
			f.lender.Wait(context.Background())
			close(ended)
		}()
		Consistently(ended, "20ms").ShouldNot(BeClosed())
		f.borrower.Put(link, true)
		Eventually(ended, longWait).Should(BeClosed())
	})
})
