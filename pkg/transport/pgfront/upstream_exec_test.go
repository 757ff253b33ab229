package pgfront_test

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const textOID = 25

var rowDescription = &pgproto3.RowDescription{
	Fields: []pgproto3.FieldDescription{{Name: []byte("value"), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}},
}

func hasRows(query string) bool {
	lower := strings.ToLower(query)
	return strings.HasPrefix(lower, "select") || strings.HasPrefix(lower, "show") || strings.Contains(lower, "returning")
}

func (c *upstreamConn) query(text string) bool {
	for statement := range strings.SplitSeq(text, ";") {
		statement = strings.TrimSpace(statement)
		if statement == "" {
			continue
		}
		if hasRows(statement) {
			c.wire.Send(rowDescription)
		}
		if !c.execute(statement) {
			return false
		}
		if c.skipping {
			break
		}
	}
	c.skipping = false
	return c.sendReady()
}

// fail sends an error; the messages up to the next Sync are then skipped.
func (c *upstreamConn) fail(state string) bool {
	c.wire.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: state, Message: "scripted failure"})
	if c.status == 'T' {
		c.status = 'E'
	}
	c.skipping = true
	return true
}

// execute runs one statement and reports whether the connection stays open.
func (c *upstreamConn) execute(query string) bool {
	c.busy.Store(true)
	defer c.busy.Store(false)
	c.upstream.record(query)
	if c.status != 'I' {
		c.current.statements = append(c.current.statements, query)
	}
	words := strings.Fields(strings.ToLower(query) + " -")
	if c.status == 'E' && words[0] != "rollback" && words[0] != "commit" {
		return c.fail("25P02")
	}
	tag := strings.ToUpper(words[0])
	switch words[0] {
	case "begin":
		c.status = 'T'
		c.current = transaction{statements: []string{query}}
	case "commit", "rollback":
		if c.status == 'E' {
			tag = "ROLLBACK"
		}
		c.status = 'I'
		c.endTransaction(tag == "COMMIT")
	case "insert":
		tag = "INSERT 0 1"
		c.upstream.lsn.Add(0x10)
		if hasRows(query) {
			c.row("new")
		}
	case "set":
		c.setting = query
	case "deallocate":
		tag = "DEALLOCATE ALL"
		clear(c.prepared)
	case "discard":
		tag = "DISCARD ALL"
		c.setting = ""
		clear(c.prepared)
	case "fail":
		return c.fail("22012")
	case "select", "show":
		return c.selectRows(words)
	case "die":
		return false
	case "refused":
		return c.fail("42601")
	}
	c.wire.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return true
}

func (c *upstreamConn) endTransaction(committed bool) {
	c.upstream.mu.Lock()
	defer c.upstream.mu.Unlock()
	c.current.committed = committed
	c.upstream.ended = append(c.upstream.ended, c.current)
	c.current = transaction{}
}

func (c *upstreamConn) row(value string) {
	c.wire.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
}

func (c *upstreamConn) selectRows(words []string) bool {
	rows := 1
	value := words[1]
	switch value {
	case "pg_current_wal_lsn()":
		value = fmt.Sprintf("0/%X", c.upstream.lsn.Load())
	case "setting":
		value = c.setting
	case "rows", "half":
		rows, _ = strconv.Atoi(words[2])
		value = strings.Repeat("x", 100)
	case "wait":
		c.wire.Flush()
		select {
		case <-c.cancel:
			return c.fail("57014")
		case <-time.After(cancelWaitTimeout):
		}
	case "pause":
		c.upstream.inPause.Store(true)
		<-c.upstream.resumed
	case "die":
		return false
	}
	for i := range rows {
		c.row(value)
		if i%100 == 99 && c.wire.Flush() != nil {
			return false
		}
	}
	if words[1] == "half" {
		_ = c.wire.Flush()
		return false
	}
	c.wire.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT " + strconv.Itoa(rows))})
	return true
}

// cancelWaitTimeout bounds how long "select wait" waits for a cancel request.
const cancelWaitTimeout = 20 * time.Second
