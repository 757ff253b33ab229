package pgfront_test

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/protocol/scramauth"
)

// upstream is a scripted database server. The first word of a statement decides what it
// does (see execute), and it records the statements.
type upstream struct {
	listener net.Listener
	verifier string
	// lsn is the log position; each INSERT raises it.
	lsn atomic.Uint64
	// accepted counts the connections that have logged in.
	accepted atomic.Int64
	// failedBatches counts the batches that ended with an error.
	failedBatches atomic.Int64

	mu       sync.Mutex
	executed []string
	ended    []transaction
	maxOpen  int
	conns    map[uint32]*upstreamConn
	nextPID  uint32
	// onCancel, if set, is called before a cancel request takes effect.
	onCancel func()
	// "select pause" waits until resumed is closed; inPause is true from its start.
	resumed chan struct{}
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
	u := &upstream{listener: listener, verifier: verifier, conns: make(map[uint32]*upstreamConn), resumed: make(chan struct{})}
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
			conn:     connection,
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

// log returns the statements executed so far, without the proxy's position queries.
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

// transaction holds what one connection ran from a BEGIN to the end of the transaction.
type transaction struct {
	statements []string
	committed  bool
}

// transactions returns the ended transactions, committed or not.
func (u *upstream) transactions() []transaction {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]transaction(nil), u.ended...)
}

// maxOpenConns returns the highest number of connections that were open at once.
func (u *upstream) maxOpenConns() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.maxOpen
}

// openConns returns the number of open connections.
func (u *upstream) openConns() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.conns)
}

// paused reports whether a "select pause" has started.
func (u *upstream) paused() bool { return u.inPause.Load() }

func (u *upstream) resume() { close(u.resumed) }

// upstreamConn is one connection to the upstream.
type upstreamConn struct {
	upstream *upstream
	conn     net.Conn
	wire     *pgproto3.Backend
	pid      uint32
	prepared map[string]string
	portals  map[string]string
	status   byte
	skipping bool
	setting  string
	cancel   chan struct{}
	// busy is true while a statement runs. A cancel request to an idle connection
	// has no effect.
	busy    atomic.Bool
	current transaction
}

func (c *upstreamConn) run() {
	defer c.conn.Close()
	if !c.login() {
		return
	}
	c.upstream.accepted.Add(1)
	defer c.unregister()
	for {
		message, err := c.wire.Receive()
		if err != nil || !c.handle(message) {
			return
		}
	}
}

func (c *upstreamConn) unregister() {
	c.upstream.mu.Lock()
	defer c.upstream.mu.Unlock()
	delete(c.upstream.conns, c.pid)
	c.upstream.ended = append(c.upstream.ended, c.current)
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
	u.maxOpen = max(u.maxOpen, len(u.conns))
	u.mu.Unlock()
	c.wire.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: []byte{1, 2, 3, 4}})
	return c.sendReady()
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

func (c *upstreamConn) sendReady() bool {
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
		return c.sendReady()
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
