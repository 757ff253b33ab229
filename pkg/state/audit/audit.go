// Package audit compares counters of one instance that must agree, so that a
// slow leak is noticed before it does harm. It is deterministic: the counters
// go in, differences come out.
//
// The counters are read one after the other while traffic runs, so a single
// comparison may be off by what happened in between. A difference is reported
// only when it had the same sign in Confirmations comparisons in a row, with
// its smallest amount; and again only when that amount grows or comes back.
package audit

import "gypsumdock/pkg/state/model"

// Confirmations is the number of comparisons in a row that must agree on a
// difference.
const Confirmations = 5

// Kind is what a difference is about.
type Kind uint8

// The kinds of difference.
const (
	// Connections opened differ from those closed plus those open.
	Connections Kind = iota
	// Requests received differ from those answered plus those in flight.
	Requests
	// Slots taken differ from those given back plus those held.
	Slots
	// Grants means that more connections are open than granted.
	Grants
	// Marks means that more marks are held than the bound.
	Marks
	// Memory means that more memory is used than the bound.
	Memory
)

// Flow counts things that come and go: In must equal Out plus Present.
type Flow struct{ In, Out, Present int64 }

func (f Flow) difference() int64 { return f.In - f.Out - f.Present }

// Level is an amount and the most that it may be.
type Level struct{ Present, Bound int64 }

func (l Level) excess() int64 { return max(l.Present-l.Bound, 0) }

// UpstreamUse is the use of one upstream's grant.
type UpstreamUse struct {
	ID   model.UpstreamID
	Open Level
}

// Counters are what one instance counts.
type Counters struct {
	Connections Flow
	Requests    Flow
	Slots       Flow
	// Upstreams are in a fixed order.
	Upstreams []UpstreamUse
	Marks     Level
	// Memory is in bytes.
	Memory Level
}

// Difference is a confirmed disagreement.
type Difference struct {
	Kind Kind
	// Upstream is set for Grants.
	Upstream model.UpstreamID
	// Amount is the difference; it is negative where too few came in.
	Amount int64
}

// Auditor remembers the differences seen lately.
type Auditor struct{ seen map[subject]streak }

type subject struct {
	kind     Kind
	upstream model.UpstreamID
}

// streak is a run of comparisons with a difference of one sign.
type streak struct {
	count    int
	smallest int64
	reported int64
}

// New returns an auditor that has seen nothing.
func New() *Auditor { return &Auditor{seen: make(map[subject]streak)} }

// Check compares the counters and returns the differences to report.
func (a *Auditor) Check(c Counters) []Difference {
	var found []Difference
	found = a.note(found, subject{kind: Connections}, c.Connections.difference())
	found = a.note(found, subject{kind: Requests}, c.Requests.difference())
	found = a.note(found, subject{kind: Slots}, c.Slots.difference())
	for _, u := range c.Upstreams {
		found = a.note(found, subject{kind: Grants, upstream: u.ID}, u.Open.excess())
	}
	found = a.note(found, subject{kind: Marks}, c.Marks.excess())
	return a.note(found, subject{kind: Memory}, c.Memory.excess())
}

// note takes one difference and appends it to found if it is to be reported.
func (a *Auditor) note(found []Difference, s subject, amount int64) []Difference {
	if amount == 0 {
		delete(a.seen, s)
		return found
	}
	run := a.seen[s]
	if run.count == 0 || (run.smallest < 0) != (amount < 0) {
		run = streak{smallest: amount}
	}
	run.count++
	run.smallest = nearerZero(run.smallest, amount)
	if run.count >= Confirmations {
		if magnitude(run.smallest) > magnitude(run.reported) {
			run.reported = run.smallest
			found = append(found, Difference{Kind: s.kind, Upstream: s.upstream, Amount: run.smallest})
		}
		run.count, run.smallest = 1, amount
	}
	a.seen[s] = run
	return found
}

func nearerZero(a, b int64) int64 {
	if magnitude(a) < magnitude(b) {
		return a
	}
	return b
}

func magnitude(amount int64) int64 { return max(amount, -amount) }
