package textfront

import (
	"bufio"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/textforward"
)

// fakeRates admits a number of units of work.
type fakeRates struct {
	mu       sync.Mutex
	left     int
	admitted int
	refunded int
}

func (r *fakeRates) Admit(model.CallerName) (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left == 0 {
		return false, 40 * time.Millisecond
	}
	r.left--
	r.admitted++
	return true, 0
}

func (r *fakeRates) Refund(model.CallerName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refunded++
}

// forwardedUnit is a unit of work of a caller, forwarded to a server with a rate
// limit.
type forwardedUnit struct {
	stream net.Conn
	reader *bufio.Reader
}

func forwardUnit(f *fixture, rates Rates) *forwardedUnit {
	f.server.config.Rates = rates
	near, far := loopback()
	DeferCleanup(near.Close)
	go f.server.ServeForwarded("peer", far)
	return &forwardedUnit{stream: near, reader: bufio.NewReader(near)}
}

// send sends a statement, with the description of the unit if it is the first one,
// and returns its answer.
func (u *forwardedUnit) send(open *meshpb.UnitOpen, kind statement.Kind, text string) string {
	request := &meshpb.UnitRequest{Unit: open, Kind: uint32(kind), Id: "i", Text: text, TimeLeftMs: 1000}
	Expect(textforward.WriteFrame(u.stream, request, time.Now().Add(time.Minute))).To(Succeed())
	reply := &meshpb.UnitReply{}
	Expect(textforward.ReadFrame(u.reader, reply)).To(Succeed())
	return string(reply.GetOutput())
}

func openFor(caller string) *meshpb.UnitOpen {
	key := model.DigestKey(testKey)
	return &meshpb.UnitOpen{Route: "r", Group: string(group), Caller: caller, KeyDigest: key[:]}
}

// newFixtureWithAccounts is newFixture with a configuration in which the account
// "acme" holds testKey.
func newFixtureWithAccounts(u *fakeUpstream) *fixture {
	f := newFixture(catalog.Route{}, u)
	f.useAccounts(2, testKey)
	return f
}

var _ = Describe("the rate limit of a unit of work", func() {
	It("refuses one over the limit at once, before it reaches an upstream", func() {
		u, rates := startUpstream(), &fakeRates{}
		answer := forwardUnit(newFixtureWithAccounts(u), rates).send(openFor("acme"), statement.Read, "READ a")
		Expect(answer).To(HavePrefix("ERROR BUSY"))
		Expect(answer).To(ContainSubstring("not run: over the rate limit, retry after 40 ms"))
		Expect(u.statements()).To(BeEmpty())
	})

	It("counts a statement once, however often it is tried", func() {
		u, rates := startUpstream(), &fakeRates{left: 5}
		tries := 0
		u.setAnswers(func(string) []string {
			if tries++; tries < 3 {
				return []string{"ERROR BUSY try later"}
			}
			return []string{"DATAROW v", "COMPLETE sig"}
		})
		open := openFor("acme")
		open.Consistency = uint32(catalog.Strong)
		answer := forwardUnit(newFixtureWithAccounts(u), rates).send(open, statement.Read, "READ a")
		Expect(answer).To(HavePrefix("DATAROW v"))
		Expect(rates.admitted).To(Equal(1))
		Expect(rates.refunded).To(BeZero())
	})

	It("counts a transaction once, and fails it if its first statement is over the limit", func() {
		rates := &fakeRates{left: 1}
		f := newFixtureWithAccounts(startUpstream())
		open := openFor("acme")
		open.Transaction = true
		unit := forwardUnit(f, rates)
		Expect(unit.send(open, statement.Write, "WRITE a 1")).To(HavePrefix("DATAROW"))
		Expect(unit.send(nil, statement.Write, "WRITE b 1")).To(HavePrefix("DATAROW"))
		Expect(rates.admitted).To(Equal(1))
		Expect(forwardUnit(f, rates).send(open, statement.Write, "WRITE a 1")).To(ContainSubstring("over the rate limit"))
	})

	It("takes back a unit that was never sent", func() {
		rates := &fakeRates{left: 5}
		f := newFixtureWithAccounts(startUpstream())
		empty := *f.snapshot
		empty.View.Groups = nil
		f.dispatch.Publish(&empty)
		forwardUnit(f, rates).send(openFor("acme"), statement.Write, "WRITE a 1")
		Expect(rates.admitted).To(Equal(1))
		Expect(rates.refunded).To(Equal(1))
	})

	It("does not apply to a caller without a name", func() {
		rates := &fakeRates{}
		answer := forwardUnit(newFixture(catalog.Route{}, startUpstream()), rates).send(openFor(""), statement.Read, "READ a")
		Expect(answer).To(HavePrefix("DATAROW v"))
	})
})
