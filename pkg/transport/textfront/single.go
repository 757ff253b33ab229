package textfront

import (
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/transport/textback"
)

// single is a statement outside a transaction.
type single struct {
	*unit
	work work
	// faults counts the tries that an upstream failed.
	faults int
}

// maxFaults is the number of times that a read is tried elsewhere after an
// upstream failed it. One that fails everywhere is the caller's.
const maxFaults = 2

// mayFailOver reports whether a read that an upstream failed is tried elsewhere.
func (u *single) mayFailOver(reason statement.Reason) bool {
	failed := reason == statement.Faulted || reason == statement.TimedOut
	return failed && !u.work.writes && u.faults < maxFaults && !u.isLate()
}

// runSingle answers a statement outside a transaction. It is sent again only
// after an upstream has said that it did not run, or if it only reads.
func runSingle(s *session, route *catalog.Route, w work, arrived time.Duration) {
	one := &single{unit: newUnit(s, route, w.writes), work: w}
	one.arrive(arrived)
	for {
		if !one.acquire(w.writes) {
			one.refuse()
			return
		}
		if one.try() {
			return
		}
		if one.isLate() || one.tries >= maxTries {
			one.refuse()
			return
		}
	}
}

// refuse answers a statement of which nothing is kept.
func (u *single) refuse() {
	s := u.session
	s.out = s.codec().AppendFailure(s.out, refused(u.unit))
	s.server.record.refused(u.unit, u.work.request)
}

// try sends the statement once. It returns false if it may be tried again:
// then the place has been given back.
func (u *single) try() bool {
	if err := u.prepare(u.work); err != nil {
		u.avoid(statement.Other)
		u.drop()
		return false
	}
	proven := !u.placement.RequiredPosition.IsZero()
	if u.placement.Primary && !proven && !u.dispatch().MaySend(u.route.Group, u.placement) {
		u.finish()
		return false
	}
	deadline := u.deadline
	if !u.work.writes {
		deadline = u.patience()
	}
	answer, err := u.exchange(u.message(u.work, u.placement.RequiredPosition), deadline)
	if errors.Is(err, textback.ErrNotSent) {
		return u.notSent(err)
	}
	if err != nil {
		return u.lost(err)
	}
	return u.settle(answer, proven)
}

// notSent prepares another try of a statement that has not run.
func (u *single) notSent(err error) bool {
	u.session.server.record.retried(u.unit, u.work.request, err.Error())
	u.avoid(statement.Other)
	u.drop()
	return false
}

// lost acts on a statement without an answer.
func (u *single) lost(err error) bool {
	if !u.work.writes {
		u.session.server.record.retried(u.unit, u.work.request, err.Error())
		u.impatient = true
		u.avoid(statement.Other)
		u.drop()
		return false
	}
	s := u.session
	s.server.record.unknown(u.unit, u.work.request, err.Error())
	u.drop()
	s.out = s.codec().AppendFailure(s.out, statement.Failure{
		Code: statement.FailUnknown, Text: "no answer from the upstream",
	})
	return true
}

// settle acts on an answer. proven is set for a read whose position makes it
// fresh enough wherever it ran.
func (u *single) settle(answer *statement.Answer, proven bool) bool {
	switch answer.Reason {
	case statement.Succeeded:
		return u.succeeded(answer, proven)
	case statement.Busy, statement.Lagging, statement.NotWritable, statement.NotPrepared:
		return u.again(answer)
	}
	if u.mayFailOver(answer.Reason) {
		u.faults++
		return u.again(answer)
	}
	s := u.session
	code := failureOf(answer.Reason, u.work.writes)
	s.server.record.answered(u.unit, u.work.request, code, answer)
	s.out = s.codec().AppendFailure(s.out, statement.Failure{Code: code, Text: answer.Detail})
	u.giveBack(answer)
	return true
}

// giveBack gives the connection back, if it is outside any transaction.
func (u *unit) giveBack(answer *statement.Answer) {
	if answer.State == statement.Idle {
		u.finish()
		return
	}
	u.drop()
}

// again prepares another try of a statement that did not run.
func (u *single) again(answer *statement.Answer) bool {
	u.session.server.record.retried(u.unit, u.work.request, answer.Reason.String())
	switch answer.Reason {
	case statement.NotPrepared:
		u.conn.ForgetPrepared(u.work.prepared.name)
	case statement.NotWritable:
		u.dispatch().ConnectFailed(u.route.Group, u.placement)
	default:
		u.avoid(answer.Reason)
	}
	pause := answer.Reason == statement.Busy && u.ask.NeedsPrimary || answer.Reason == statement.NotWritable
	u.giveBack(answer)
	if pause {
		sleep(u.session.server.ctx, busyPause)
	}
	return false
}

// succeeded gives the answer of the upstream, if its group still relies on it.
func (u *single) succeeded(answer *statement.Answer, proven bool) bool {
	s := u.session
	if u.placement.Primary && !proven && !u.dispatch().MayAcknowledge(u.route.Group, u.placement) {
		return u.superseded(answer)
	}
	if u.work.writes {
		s.wrote(answer.Position)
	}
	s.server.record.served(u.unit, u.work.request, answer)
	u.giveBack(answer)
	for _, row := range answer.Rows {
		s.out = append(s.out, row...)
		s.out = append(s.out, '\r', '\n')
	}
	s.complete(answer.Signature)
	return true
}

// superseded acts on the answer of an upstream that may no longer be the
// primary.
func (u *single) superseded(answer *statement.Answer) bool {
	s := u.session
	if !u.work.writes {
		s.server.record.retried(u.unit, u.work.request, "permit ended")
		u.giveBack(answer)
		return false
	}
	s.server.record.unknown(u.unit, u.work.request, "permit ended before the acknowledgement")
	u.giveBack(answer)
	s.out = s.codec().AppendFailure(s.out, statement.Failure{
		Code: statement.FailUnknown, Text: "the primary was replaced",
	})
	return true
}
