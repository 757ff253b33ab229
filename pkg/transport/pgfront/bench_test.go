package pgfront_test

import (
	"context"
	"net"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

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
	// benchPause is the time between two statements of a caller in BenchmarkLatency.
	benchPause  = 10 * time.Millisecond
	idleCallers = 10_000
)

// BenchmarkLatency compares, in one run, statements sent directly to the upstream
// with the same statements sent through a server, from 64 callers that pause between
// statements.
func BenchmarkLatency(b *testing.B) {
	for _, kind := range []string{"read", "write"} {
		b.Run(kind, func(b *testing.B) {
			setup := newBenchSetup(b)
			statement := setup.statements[kind]
			direct := setup.measure(b, setup.upstream, statement, benchPause)
			through := setup.measure(b, setup.server, statement, benchPause)
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
// The allocations include those of the client and the upstream; "direct" shows those
// two alone.
func BenchmarkThroughput(b *testing.B) {
	for _, kind := range []string{"read", "write"} {
		for _, way := range []string{"direct", "path"} {
			b.Run(kind+"/"+way, func(b *testing.B) {
				setup := newBenchSetup(b)
				address := setup.upstream
				if way == "path" {
					address = setup.server
				}
				b.ReportAllocs()
				start := time.Now()
				setup.measure(b, address, setup.statements[kind], 0)
				cores := float64(runtime.GOMAXPROCS(0))
				b.ReportMetric(float64(b.N)/time.Since(start).Seconds()/cores, "statements/s/core")
			})
		}
	}
}

// pipeListener accepts in-memory pipes.
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

// BenchmarkIdleCaller reports the memory of an idle caller's connection, including
// the pipe and the client. Pipes are used in place of sockets because a process may
// not open enough sockets.
func BenchmarkIdleCaller(b *testing.B) {
	front, err := net.Listen("tcp", "127.0.0.1:0")
	must(b, err)
	listener := &pipeListener{Listener: front, accepted: make(chan net.Conn)}
	setup := newBenchSetupOn(b, listener)
	for b.Loop() {
		before := memoryInUse()
		clients := make([]*benchClient, idleCallers)
		for i := range clients {
			clients[i] = setup.dialOn(b, listener.dial())
			must(b, clients[i].query(setup.statements["read"]))
			// The client's read buffer is not part of the measurement.
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
	// The second collection frees the contents of sync.Pools and shrinks stacks.
	runtime.GC()
	runtime.GC()
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// benchSetup is a server in front of an upstream that sends canned answers.
type benchSetup struct {
	upstream   string
	server     string
	statements map[string][]byte
	login      *scram.Client
}

func newBenchSetup(b *testing.B) *benchSetup {
	b.Helper()
	front, err := net.Listen("tcp", "127.0.0.1:0")
	must(b, err)
	return newBenchSetupOn(b, front)
}

// newBenchSetupOn returns a setup whose server accepts from front.
func newBenchSetupOn(b *testing.B, front net.Listener) *benchSetup {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	verifier, err := scramauth.NewVerifier(callerPassword)
	must(b, err)
	go serveCannedAnswers(listener, verifier)
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
	return &benchSetup{
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

// benchEngine admits every unit to the primary and records nothing.
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

// measure sends b.N statements over benchCallers connections and returns the sorted
// latencies.
func (r *benchSetup) measure(b *testing.B, address string, statement []byte, pause time.Duration) []time.Duration {
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
