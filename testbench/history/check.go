package history

import (
	"fmt"

	"gypsumdock/testbench/upstreamd"
)

// Violation is a promise that was broken.
type Violation struct {
	Promise string `json:"promise"`
	Detail  string `json:"detail"`
}

// The promises that Check looks at.
const (
	PromiseReadYourWrites = "read-your-writes"
	PromiseOwnAnswer      = "whole answer to the own request"
	PromiseNotRun         = "not run means not run"
	PromiseOnce           = "at most once"
	PromiseDeposed        = "no acknowledgement by a deposed primary"
	PromiseAcknowledged   = "acknowledged means committed"
	PromiseSeparate       = "transactions never mix"
)

// Check returns the violations in ops, given the upstreams' log of the same
// time.
func Check(ops []Op, log []upstreamd.Entry) []Violation {
	c := checker{executed: make(map[string]int), commits: make(map[string][]upstreamd.Entry)}
	c.index(log)
	c.readYourWrites(ops)
	for _, op := range ops {
		c.answer(op)
		c.outcome(op)
	}
	c.deposed(ops, log)
	c.separate(log)
	return c.violations
}

type checker struct {
	violations []Violation
	// executed counts the executions of the write of each value.
	executed map[string]int
	commits  map[string][]upstreamd.Entry
}

func (c *checker) report(promise, format string, args ...any) {
	c.violations = append(c.violations, Violation{Promise: promise, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) index(log []upstreamd.Entry) {
	for _, entry := range log {
		switch entry.Kind {
		case upstreamd.EntryWrite:
			c.executed[entry.Value]++
		case upstreamd.EntryCommit:
			c.commits[entry.Value] = append(c.commits[entry.Value], entry)
		}
	}
}

// sessionKey names a record as a session sees it.
type sessionKey struct{ session, group, key string }

// readYourWrites checks that no read of a session returns less than its last
// acknowledged write. Each key has one writing session. A caller that was told
// of a lost write starts afresh in that group.
func (c *checker) readYourWrites(ops []Op) {
	floors := make(map[sessionKey]int)
	for _, op := range ops {
		at := sessionKey{op.Session, op.Group, op.Key}
		switch {
		case op.Outcome == OutcomeLost:
			forget(floors, op.Session, op.Group)
		case op.Outcome != OutcomeOK:
		case op.Kind.IsWrite():
			written, _ := ParseValue(op.Value)
			floors[at] = written.Number
		default:
			c.floor(op, floors[at])
		}
	}
}

func forget(floors map[sessionKey]int, session, group string) {
	for at := range floors {
		if at.session == session && at.group == group {
			delete(floors, at)
		}
	}
}

func (c *checker) floor(op Op, floor int) {
	read, _ := ParseValue(op.Value)
	if floor > 0 && (read.Session != op.Session || read.Number < floor) {
		c.report(PromiseReadYourWrites, "%s read %q of %s via %s after its write %d",
			op.Session, op.Value, op.Key, op.Via, floor)
	}
}

// answer checks that a read returned the record that it asked for.
func (c *checker) answer(op Op) {
	if op.Outcome != OutcomeOK || op.Kind.IsWrite() || op.Value == "" {
		return
	}
	if read, ok := ParseValue(op.Value); !ok || read.Key != op.Key {
		c.report(PromiseOwnAnswer, "%s asked for %s and got %q", op.Session, op.Key, op.Value)
	}
}

// outcome checks what the caller of a write was told.
func (c *checker) outcome(op Op) {
	if !op.Kind.IsWrite() {
		return
	}
	if op.Outcome == OutcomeNotRun && c.executed[op.Value] > 0 {
		c.report(PromiseNotRun, "%s was told that %s was not run (%s), but it was executed", op.Session, op.Value, op.Error)
	}
	if op.Outcome == OutcomeOK && len(c.commits[op.Value]) == 0 {
		c.report(PromiseAcknowledged, "%s was told that %s ran, but no upstream committed it", op.Session, op.Value)
	}
	if op.Kind == KindOnce && c.executed[op.Value] > 1 {
		c.report(PromiseOnce, "%s was executed %d times", op.Value, c.executed[op.Value])
	}
}

// deposed checks that no acknowledged write was committed by a primary after
// the start of a newer timeline in its group.
func (c *checker) deposed(ops []Op, log []upstreamd.Entry) {
	var promotions []upstreamd.Entry
	for _, entry := range log {
		if entry.Kind == upstreamd.EntryPromote {
			promotions = append(promotions, entry)
		}
	}
	for _, op := range ops {
		if !op.Kind.IsWrite() || op.Outcome != OutcomeOK {
			continue
		}
		for _, commit := range c.commits[op.Value] {
			if by, late := replacedBefore(commit, promotions); late {
				c.report(PromiseDeposed, "%s was acknowledged by %s on timeline %d after %s had started timeline %d",
					op.Value, commit.Upstream, commit.Timeline, by.Upstream, by.Timeline)
			}
		}
	}
}

func replacedBefore(commit upstreamd.Entry, promotions []upstreamd.Entry) (upstreamd.Entry, bool) {
	for _, entry := range promotions {
		newer := entry.Group == commit.Group && entry.Timeline > commit.Timeline
		if newer && entry.Seq < commit.Seq {
			return entry, true
		}
	}
	return upstreamd.Entry{}, false
}

// transactionOf names a transaction of an upstream.
type transactionOf struct {
	upstream string
	id       uint64
}

// separate checks that each transaction holds the writes of one session, and
// that no session's statement ran on a connection inside another's transaction.
func (c *checker) separate(log []upstreamd.Entry) {
	owners := make(map[transactionOf]string)
	for _, entry := range log {
		value, ok := ParseValue(entry.Value)
		if entry.Kind != upstreamd.EntryWrite || !ok {
			continue
		}
		at := transactionOf{entry.Upstream, entry.Transaction}
		owner, known := owners[at]
		if known && owner != value.Session {
			c.report(PromiseSeparate, "transaction %d on %s holds writes of %s and %s",
				at.id, at.upstream, owner, value.Session)
		}
		owners[at] = value.Session
	}
}
