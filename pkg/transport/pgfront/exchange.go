package pgfront

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/verdict"
)

// maxInFlight is the number of bytes sent to an upstream before its answers
// are read. It fits the buffers of a connection, so that neither side waits
// for the other to read.
const maxInFlight = 32 << 10

// positionQuery asks for the log position that a commit has reached.
const positionQuery = "SELECT pg_current_wal_lsn()"

// exchange sends b on the unit's connection and passes on the answers.
func (s *session) exchange(b *batch) *failure {
	u := s.unit
	if refused := s.server.config.Engine.MaySend(u.ticket); refused != nil {
		return &failure{Error: refused, final: u.ticket.Sent}
	}
	_, end := s.startHop("upstream")
	defer end()
	start := time.Now()
	defer func() { u.latency += time.Since(start) }()
	s.output.setDeadline(u.ticket.Deadline)
	if err := u.backend.SetDeadline(u.ticket.Deadline); err != nil {
		return s.lost(err)
	}
	s.running.set(u.backend)
	u.ticket.Sent = true
	c := composer{session: s, unit: u, batch: b}
	return c.run()
}

// lost returns the failure of a connection that broke with err.
func (s *session) lost(err error) *failure {
	u := s.unit
	outcome := verdict.MayHaveRun
	if !u.ticket.Sent {
		outcome = verdict.NotRun
	}
	e := verdict.New(verdict.UpstreamLost, outcome, "the connection to the database was lost")
	if isTimeout(err) {
		e = verdict.New(verdict.DeadlineExceeded, outcome, "the request was not answered within its deadline")
	}
	return &failure{Error: e.WithCause(err)}
}

// composer sends the messages of a batch, with those that the proxy adds.
type composer struct {
	session *session
	unit    *unit
	batch   *batch
	// sent counts the bytes since the answers were last read.
	sent int
	// run of the batch's buffer that is sent as it came
	runStart, runEnd int
}

func (c *composer) run() *failure {
	c.addBegin()
	c.noteBatch()
	for i := range c.batch.entries {
		e := &c.batch.entries[i]
		if c.unit.x.errored && e.kind != entrySync {
			continue
		}
		if failed := c.makeRoom(e); failed != nil {
			return failed
		}
		c.add(i, e)
	}
	c.finish()
	if failed := c.flush(); failed != nil {
		return failed
	}
	return c.session.relay()
}

// noteBatch takes over what is known of the batch's statements.
func (c *composer) noteBatch() {
	u := c.unit
	u.commits = u.commits || c.batch.commits
	u.dirty = u.dirty || c.batch.changesSession
	u.reprepares = u.reprepares || c.batch.reprepares
	if u.explicit && c.batch.changesMode {
		u.readOnly = false
	}
}

// addBegin sends the BEGIN that was answered before.
func (c *composer) addBegin() {
	begin := c.session.begin
	if begin == nil {
		return
	}
	c.session.begin = nil
	c.unit.explicit = true
	c.send(&pgproto3.Query{String: begin.text})
	c.unit.x.expect(expected{kind: entryQuery, swallow: true})
}

// makeRoom reads the answers to what was sent before too much is on its way.
func (c *composer) makeRoom(e *entry) *failure {
	size := e.end - e.start
	if e.statement != nil {
		size += len(e.statement.query)
	}
	if c.sent == 0 || c.sent+size <= maxInFlight {
		c.sent += size
		return nil
	}
	c.sent = size
	c.send(&pgproto3.Flush{})
	if failed := c.flush(); failed != nil {
		return failed
	}
	return c.session.relay()
}

func (c *composer) add(index int, e *entry) {
	if e.statement != nil {
		c.prepare(index, e)
	}
	answer := expected{kind: e.kind, index: index, entry: e}
	c.unit.needsSync = e.kind != entrySync && e.kind != entryQuery
	switch {
	case e.kind == entryParse:
		return
	case e.start == e.end:
		answer.local = true
	default:
		c.sendEntry(e)
	}
	if e.kind == entryQuery {
		c.unit.unnamed = nil
	}
	c.unit.x.expect(answer)
}

// prepare makes sure that the upstream has the statement that e refers to.
func (c *composer) prepare(index int, e *entry) {
	u := c.unit
	stmt := e.statement
	isParse := e.kind == entryParse
	if stmt.upstream == "" {
		if isParse || u.unnamed != stmt {
			c.parse(index, e, !isParse)
			u.unnamed = stmt
		}
		return
	}
	prepared := u.backend.Prepare(stmt.upstream)
	if prepared.Evicted != "" {
		c.closeStatement(prepared.Evicted)
	}
	if prepared.Known && !u.reprepares {
		if isParse {
			u.x.expect(expected{kind: entryParse, index: index, entry: e, local: true})
		}
		return
	}
	c.closeStatement(stmt.upstream)
	c.parse(index, e, !isParse)
}

func (c *composer) parse(index int, e *entry, swallow bool) {
	c.send(e.statement.parse())
	c.unit.x.expect(expected{
		kind:     entryParse,
		index:    index,
		entry:    e,
		swallow:  swallow,
		prepares: e.statement.upstream,
	})
}

func (c *composer) closeStatement(name string) {
	c.send(&pgproto3.Close{ObjectType: objectStatement, Name: name})
	c.unit.x.expect(expected{kind: entryClose, swallow: true})
}

// sendEntry sends e as it came. Entries that follow each other are sent as one.
func (c *composer) sendEntry(e *entry) {
	if c.runEnd != e.start {
		c.sendRun()
		c.runStart = e.start
	}
	c.runEnd = e.end
}

func (c *composer) sendRun() {
	if c.runStart < c.runEnd {
		c.unit.passage = c.batch.buffer[c.runStart:c.runEnd]
		c.unit.backend.Send(&c.unit.passage)
	}
	c.runStart = c.runEnd
}

// send sends a message of the proxy's own, after what came before it.
func (c *composer) send(message pgproto3.FrontendMessage) {
	c.sendRun()
	c.unit.backend.Send(message)
}

// finish sends what ends the batch.
func (c *composer) finish() {
	if !c.batch.complete {
		c.send(&pgproto3.Flush{})
		return
	}
	if !c.needsPosition() {
		return
	}
	c.send(&pgproto3.Query{String: positionQuery})
	c.unit.unnamed = nil
	c.unit.x.expect(expected{kind: entryQuery, swallow: true, position: true})
}

// needsPosition reports whether the batch is likely to commit a write.
func (c *composer) needsPosition() bool {
	return c.unit.mustHold() && !c.unit.x.errored && c.batch.executes()
}

// mustHold reports whether the answer to a statement may be that to a commit
// which needs the engine's consent.
func (u *unit) mustHold() bool {
	return u.writes() && (!u.explicit || u.commits)
}

func (c *composer) flush() *failure {
	c.sendRun()
	if err := c.unit.backend.Flush(); err != nil {
		return c.session.lost(err)
	}
	return nil
}
