package pgfront_test

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/protocol/scramauth"
)

// upstream is a scripted database: it executes by the first word of a
// statement and records what it executed.
type upstream struct {
	listener net.Listener
	verifier string
	// lsn is the log position; each write raises it.
	lsn atomic.Uint64
	// accepted counts connections that have logged in.
	accepted atomic.Int64
	// failedBatches counts batches that an error rolled back.
	failedBatches atomic.Int64

	mu       sync.Mutex
	executed []string
	conns    map[uint32]*upstreamConn
	nextPID  uint32
	// onCancel, where set, delays a cancel request.
	onCancel func()
	// hold is what "select pause" waits for; inPause is true meanwhile.
	hold    chan struct{}
	inPause atomic.Bool
	quiet   bool
}

const upstreamPassword = "upstream secret"

func newUpstream() (*upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	verifier, err := scramauth.NewVerifier(upstreamPassword)
	if err != nil {
		return nil, err
	}
	u := &upstream{listener: listener, verifier: verifier, conns: make(map[uint32]*upstreamConn), hold: make(chan struct{})}
	u.lsn.Store(0x100)
	go u.serve()
	return u, nil
}

func (u *upstream) serve() {
	for {
		connection, err := u.listener.Accept()
		if err != nil {
			return
		}
		c := &upstreamConn{
			upstream: u,
			net:      connection,
			wire:     pgproto3.NewBackend(connection, connection),
			prepared: make(map[string]string),
			portals:  make(map[string]string),
			status:   'I',
			cancel:   make(chan struct{}, 1),
		}
		go c.run()
	}
}

func (u *upstream) close() { _ = u.listener.Close() }

func (u *upstream) record(query string) {
	if u.quiet {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.executed = append(u.executed, query)
}

// log returns the statements executed so far, without the proxy's own.
func (u *upstream) log() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	own := make([]string, 0, len(u.executed))
	for _, query := range u.executed {
		if query != "SELECT pg_current_wal_lsn()" {
			own = append(own, query)
		}
	}
	return own
}

// open returns the number of connections.
func (u *upstream) open() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.conns)
}

// paused reports whether a statement waits for resume.
func (u *upstream) paused() bool { return u.inPause.Load() }

func (u *upstream) resume() { close(u.hold) }

// upstreamConn is one connection of the database.
type upstreamConn struct {
	upstream *upstream
	net      net.Conn
	wire     *pgproto3.Backend
	pid      uint32
	prepared map[string]string
	portals  map[string]string
	status   byte
	skipping bool
	setting  string
	cancel   chan struct{}
	// busy is true while a statement runs; a cancel request of an idle
	// connection has no effect.
	busy atomic.Bool
}

func (c *upstreamConn) run() {
	defer c.net.Close()
	if !c.login() {
		return
	}
	c.upstream.accepted.Add(1)
	defer c.leave()
	for {
		message, err := c.wire.Receive()
		if err != nil || !c.handle(message) {
			return
		}
	}
}

func (c *upstreamConn) leave() {
	c.upstream.mu.Lock()
	defer c.upstream.mu.Unlock()
	delete(c.upstream.conns, c.pid)
}

func (c *upstreamConn) login() bool {
	message, err := c.wire.ReceiveStartupMessage()
	if err != nil {
		return false
	}
	if request, ok := message.(*pgproto3.CancelRequest); ok {
		c.upstream.cancel(request.ProcessID)
		return false
	}
	startup, ok := message.(*pgproto3.StartupMessage)
	if !ok || !c.authenticate(startup.Parameters["user"]) {
		return false
	}
	u := c.upstream
	u.mu.Lock()
	u.nextPID++
	c.pid = u.nextPID
	u.conns[c.pid] = c
	u.mu.Unlock()
	c.wire.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: []byte{1, 2, 3, 4}})
	return c.ready()
}

func (c *upstreamConn) authenticate(user string) bool {
	exchange, err := scramauth.NewExchange(user, c.upstream.verifier, nil)
	if err != nil {
		return false
	}
	c.wire.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramauth.Mechanism}})
	_ = c.wire.Flush()
	_ = c.wire.SetAuthType(pgproto3.AuthTypeSASL)
	message, err := c.wire.Receive()
	initial, ok := message.(*pgproto3.SASLInitialResponse)
	if err != nil || !ok {
		return false
	}
	answer, err := exchange.First(string(initial.Data))
	if err != nil {
		return false
	}
	c.wire.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
	_ = c.wire.Flush()
	_ = c.wire.SetAuthType(pgproto3.AuthTypeSASLContinue)
	message, err = c.wire.Receive()
	final, ok := message.(*pgproto3.SASLResponse)
	if err != nil || !ok {
		return false
	}
	if answer, err = exchange.Final(string(final.Data)); err != nil {
		return false
	}
	c.wire.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
	c.wire.Send(&pgproto3.AuthenticationOk{})
	return true
}

func (u *upstream) cancel(pid uint32) {
	if u.onCancel != nil {
		u.onCancel()
	}
	u.mu.Lock()
	c := u.conns[pid]
	u.mu.Unlock()
	if c == nil {
		return
	}
	if !c.busy.Load() {
		return
	}
	select {
	case c.cancel <- struct{}{}:
	default:
	}
}

func (c *upstreamConn) ready() bool {
	c.wire.Send(&pgproto3.ReadyForQuery{TxStatus: c.status})
	return c.wire.Flush() == nil
}

func (c *upstreamConn) handle(message pgproto3.FrontendMessage) bool {
	switch message.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Sync:
		if c.skipping {
			c.upstream.failedBatches.Add(1)
		}
		c.skipping = false
		return c.ready()
	case *pgproto3.Flush:
		return c.wire.Flush() == nil
	}
	if c.skipping {
		return true
	}
	switch message := message.(type) {
	case *pgproto3.Query:
		return c.query(message.String)
	case *pgproto3.Parse:
		if c.prepared[message.Name] != "" && message.Name != "" {
			return c.fail("42P05")
		}
		if strings.Contains(message.Query, "syntax error") {
			return c.fail("42601")
		}
		c.prepared[message.Name] = strings.Clone(message.Query)
		c.wire.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		query, found := c.prepared[message.PreparedStatement]
		if !found {
			return c.fail("26000")
		}
		for i, parameter := range message.Parameters {
			query = strings.ReplaceAll(query, "$"+strconv.Itoa(i+1), string(parameter))
		}
		c.portals[message.DestinationPortal] = query
		c.wire.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		c.describe(message)
	case *pgproto3.Execute:
		return c.execute(c.portals[message.Portal])
	case *pgproto3.Close:
		delete(c.prepared, message.Name)
		c.wire.Send(&pgproto3.CloseComplete{})
	}
	return true
}

func (c *upstreamConn) describe(message *pgproto3.Describe) {
	query := c.portals[message.Name]
	if message.ObjectType == 'S' {
		query = c.prepared[message.Name]
		types := make([]uint32, strings.Count(query, "$"))
		for i := range types {
			types[i] = textOID
		}
		c.wire.Send(&pgproto3.ParameterDescription{ParameterOIDs: types})
	}
	if !hasRows(query) {
		c.wire.Send(&pgproto3.NoData{})
		return
	}
	c.wire.Send(rowDescription)
}

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
	return c.ready()
}

// fail reports an error; what follows up to a Sync is skipped.
func (c *upstreamConn) fail(state string) bool {
	c.wire.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: state, Message: "scripted failure"})
	if c.status == 'T' {
		c.status = 'E'
	}
	c.skipping = true
	return true
}

// execute runs one statement and reports whether the connection goes on.
func (c *upstreamConn) execute(query string) bool {
	c.busy.Store(true)
	defer c.busy.Store(false)
	c.upstream.record(query)
	words := strings.Fields(strings.ToLower(query) + " -")
	if c.status == 'E' && words[0] != "rollback" && words[0] != "commit" {
		return c.fail("25P02")
	}
	tag := strings.ToUpper(words[0])
	switch words[0] {
	case "begin":
		c.status = 'T'
	case "commit", "rollback":
		if c.status == 'E' {
			tag = "ROLLBACK"
		}
		c.status = 'I'
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
		case <-time.After(upstreamWait):
		}
	case "pause":
		c.upstream.inPause.Store(true)
		<-c.upstream.hold
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

// upstreamWait bounds "select wait" where no cancel request comes.
const upstreamWait = 20 * time.Second
