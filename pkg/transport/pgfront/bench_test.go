package pgfront_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/protocol/scramauth"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/pgback"
	"gypsumdock/pkg/transport/pgfront"
	"gypsumdock/pkg/verdict"
)

const (
	benchCallers = 64
	// benchPause is the time between two statements of a paced caller.
	benchPause  = 10 * time.Millisecond
	idleCallers = 10_000
)

// BenchmarkLatency compares, in one run, statements sent direct to the
// upstream with the same through a server, from 64 callers that pause between
// statements.
func BenchmarkLatency(b *testing.B) {
	for _, kind := range []string{"read", "write"} {
		b.Run(kind, func(b *testing.B) {
			rig := newRig(b)
			statement := rig.statements[kind]
			direct := rig.measure(b, rig.upstream, statement, benchPause)
			through := rig.measure(b, rig.server, statement, benchPause)
			b.ReportMetric(0, "ns/op")
			report(b, "p50", direct, through, 0.50)
			report(b, "p99", direct, through, 0.99)
		})
	}
}

func report(b *testing.B, name string, direct, through []time.Duration, share float64) {
	d := quantile(direct, share)
	t := quantile(through, share)
	b.ReportMetric(microseconds(d), name+"-direct-us")
	b.ReportMetric(microseconds(t), name+"-path-us")
	b.ReportMetric(microseconds(t-d), name+"-added-us")
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func quantile(sorted []time.Duration, share float64) time.Duration {
	return sorted[int(share*float64(len(sorted)-1))]
}

// BenchmarkThroughput sends statements from 64 callers without a pause.
// Allocations of client and upstream are counted with those of the server;
// direct shows theirs alone.
func BenchmarkThroughput(b *testing.B) {
	for _, kind := range []string{"read", "write"} {
		for _, way := range []string{"direct", "path"} {
			b.Run(kind+"/"+way, func(b *testing.B) {
				rig := newRig(b)
				address := rig.upstream
				if way == "path" {
					address = rig.server
				}
				b.ReportAllocs()
				start := time.Now()
				rig.measure(b, address, rig.statements[kind], 0)
				cores := float64(runtime.GOMAXPROCS(0))
				b.ReportMetric(float64(b.N)/time.Since(start).Seconds()/cores, "statements/s/core")
			})
		}
	}
}

// pipeListener hands out the far ends of pipes in memory.
type pipeListener struct {
	net.Listener
	accepted chan net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	conn, open := <-l.accepted
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l.accepted <- far
	return near
}

// BenchmarkIdleCaller reports the memory of an idle caller's connection, with
// that of the pipe and the client's end. The pipe takes the place of a socket,
// of which a process may not open enough.
func BenchmarkIdleCaller(b *testing.B) {
	front, err := net.Listen("tcp", "127.0.0.1:0")
	must(b, err)
	listener := &pipeListener{Listener: front, accepted: make(chan net.Conn)}
	rig := newRigOn(b, listener)
	for b.Loop() {
		before := memoryInUse()
		clients := make([]*benchClient, idleCallers)
		for i := range clients {
			clients[i] = rig.start(b, listener.dial())
			must(b, clients[i].query(rig.statements["read"]))
			// An idle client of the benchmark needs no buffer.
			clients[i].reader = nil
		}
		after := memoryInUse()
		b.ReportMetric(float64(after-before)/idleCallers, "B/caller")
		for _, client := range clients {
			client.close()
		}
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	// The second collection frees what pools hold, and stacks shrink.
	runtime.GC()
	runtime.GC()
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// rig is a server before an upstream that answers without work.
type rig struct {
	upstream   string
	server     string
	statements map[string][]byte
	login      *scram.Client
}

func newRig(b *testing.B) *rig {
	b.Helper()
	front, err := net.Listen("tcp", "127.0.0.1:0")
	must(b, err)
	return newRigOn(b, front)
}

// newRigOn returns a rig whose server accepts from front.
func newRigOn(b *testing.B, front net.Listener) *rig {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	verifier, err := scramauth.NewVerifier(callerPassword)
	must(b, err)
	go serveFast(listener, verifier)
	config := benchBundle(listener.Addr().String(), verifier)
	pools, err := pgback.New(pgback.Config{DefaultLimit: benchCallers})
	must(b, err)
	server, err := pgfront.New(pgfront.Config{
		Listener:    front,
		Engine:      newBenchEngine(config),
		Backends:    pools,
		MaxSessions: idleCallers + benchCallers,
	})
	must(b, err)
	go func() { _ = server.Serve(context.Background()) }()
	b.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
		pools.Close()
	})
	login, err := scram.SHA256.NewClient("", callerPassword, "")
	must(b, err)
	return &rig{
		upstream: listener.Addr().String(),
		server:   front.Addr().String(),
		login:    login,
		statements: map[string][]byte{
			"read":  encode(&pgproto3.Query{String: "SELECT socket FROM sockets WHERE id = 7"}),
			"write": encode(&pgproto3.Query{String: "UPDATE sockets SET free = false WHERE id = 7"}),
		},
	}
}

func benchBundle(address, verifier string) *bundle.Bundle {
	return &bundle.Bundle{
		Groups: []bundle.Group{{
			ID: "plugs", Database: "plugs", User: "proxy", Password: callerPassword,
			Upstreams: []bundle.Upstream{{ID: "plugs-1", Address: address}},
		}},
		Callers: []bundle.Caller{{Name: "crane", Verifier: verifier}},
	}
}

func must(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

func encode(message pgproto3.Message) []byte {
	encoded, err := message.Encode(nil)
	if err != nil {
		panic(err)
	}
	return encoded
}

// benchEngine admits everything and keeps nothing.
type benchEngine struct {
	config *bundle.Bundle
	group  *bundle.Group
	route  *bundle.Route
}

func newBenchEngine(config *bundle.Bundle) *benchEngine {
	return &benchEngine{config: config, group: &config.Groups[0], route: &bundle.Route{}}
}

func (e *benchEngine) Admit(_ context.Context, s traffic.Statement) (*traffic.Ticket, *verdict.Error) {
	return &traffic.Ticket{
		Statement:  s,
		Group:      e.group,
		Route:      e.route,
		Upstream:   &e.group.Upstreams[0],
		Generation: 1,
		Primary:    true,
		Deadline:   s.Arrived.Add(10 * time.Second),
	}, nil
}

func (e *benchEngine) MaySend(*traffic.Ticket) *verdict.Error { return nil }

func (e *benchEngine) MayAcknowledge(context.Context, *traffic.Ticket, model.LSN) *verdict.Error {
	return nil
}

func (e *benchEngine) Done(*traffic.Ticket, traffic.Result) {}

func (e *benchEngine) Bundle() *bundle.Bundle { return e.config }

// measure sends b.N statements from benchCallers connections and returns the
// latencies in order.
func (r *rig) measure(b *testing.B, address string, statement []byte, pause time.Duration) []time.Duration {
	clients := make([]*benchClient, benchCallers)
	for i := range clients {
		clients[i] = r.dial(b, address)
		defer clients[i].close()
		must(b, clients[i].query(statement))
	}
	count := b.N/benchCallers + 1
	all := make([][]time.Duration, benchCallers)
	b.ResetTimer()
	group := sync.WaitGroup{}
	for i, client := range clients {
		group.Go(func() {
			all[i] = client.run(b, statement, count, pause, i)
		})
	}
	group.Wait()
	b.StopTimer()
	merged := slices.Concat(all...)
	slices.Sort(merged)
	return merged
}

// benchClient is a client that does as little as it can.
type benchClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (c *benchClient) close() { _ = c.conn.Close() }

func (c *benchClient) run(b *testing.B, statement []byte, count int, pause time.Duration, index int) []time.Duration {
	latencies := make([]time.Duration, 0, count)
	time.Sleep(pause * time.Duration(index) / benchCallers)
	for range count {
		time.Sleep(pause)
		start := time.Now()
		if err := c.query(statement); err != nil {
			b.Error(err)
			return latencies
		}
		latencies = append(latencies, time.Since(start))
	}
	return latencies
}

func (c *benchClient) query(statement []byte) error {
	if _, err := c.conn.Write(statement); err != nil {
		return err
	}
	for {
		kind, _, err := readMessage(c.reader)
		if err != nil {
			return err
		}
		switch kind {
		case 'E':
			return errors.New("error response")
		case 'Z':
			return nil
		}
	}
}

// readMessage reads a message whose body fits the buffer of r.
func readMessage(r *bufio.Reader) (byte, []byte, error) {
	header, err := r.Peek(5)
	if err != nil {
		return 0, nil, err
	}
	kind := header[0]
	length := int(binary.BigEndian.Uint32(header[1:])) + 1
	message, err := r.Peek(length)
	if err != nil {
		return 0, nil, err
	}
	_, err = r.Discard(length)
	return kind, message[5:], err
}

func (r *rig) dial(b *testing.B, address string) *benchClient {
	conn, err := net.Dial("tcp", address)
	must(b, err)
	return r.start(b, conn)
}

// start logs in on conn.
func (r *rig) start(b *testing.B, conn net.Conn) *benchClient {
	client := &benchClient{conn: conn, reader: bufio.NewReaderSize(conn, 2048)}
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "crane", "database": "plugs"},
	}
	_, err := conn.Write(encode(startup))
	must(b, err)
	must(b, client.logIn(r.login.NewConversation()))
	return client
}

func (c *benchClient) logIn(conversation *scram.ClientConversation) error {
	for {
		kind, body, err := readMessage(c.reader)
		if err != nil {
			return err
		}
		switch kind {
		case 'R':
			err = c.answer(conversation, body)
		case 'Z':
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (c *benchClient) answer(conversation *scram.ClientConversation, body []byte) error {
	request := ""
	switch binary.BigEndian.Uint32(body) {
	case pgproto3.AuthTypeOk:
		return nil
	case pgproto3.AuthTypeSASL:
	default:
		request = string(body[4:])
	}
	answer, err := conversation.Step(request)
	if err != nil || answer == "" {
		return err
	}
	message := pgproto3.Message(&pgproto3.SASLResponse{Data: []byte(answer)})
	if request == "" {
		message = &pgproto3.SASLInitialResponse{AuthMechanism: scramauth.Mechanism, Data: []byte(answer)}
	}
	_, err = c.conn.Write(encode(message))
	return err
}

// serveFast accepts connections whose queries get prepared answers.
func serveFast(listener net.Listener, verifier string) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go answerFast(connection, verifier)
	}
}

func answerFast(connection net.Conn, verifier string) {
	defer connection.Close()
	login := &upstreamConn{
		upstream: &upstream{verifier: verifier, conns: make(map[uint32]*upstreamConn)},
		net:      connection,
		wire:     pgproto3.NewBackend(connection, connection),
		status:   'I',
	}
	if !login.login() {
		return
	}
	ready := encode(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	row := func(value string) []byte {
		description := encode(rowDescription)
		data := encode(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
		return slices.Concat(description, data, encode(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}), ready)
	}
	read := row("quay-east/7")
	position := row("0/16B3748")
	write := slices.Concat(encode(&pgproto3.CommandComplete{CommandTag: []byte("UPDATE 1")}), ready)
	reader := bufio.NewReader(connection)
	output := []byte(nil)
	for {
		_, body, err := readMessage(reader)
		switch {
		case err != nil:
			return
		case bytes.HasPrefix(body, []byte("UPDATE")):
			output = append(output, write...)
		case bytes.HasPrefix(body, []byte("SELECT pg_cur")):
			output = append(output, position...)
		default:
			output = append(output, read...)
		}
		if reader.Buffered() > 0 {
			continue
		}
		if _, err := connection.Write(output); err != nil {
			return
		}
		output = output[:0]
	}
}
