package pgfront_test

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/traffic/traffictest"
	"gypsumdock/pkg/protocol/scramauth"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/transport/pgback"
	"gypsumdock/pkg/transport/pgfront"
)

func TestPgfront(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pgfront")
}

const callerPassword = "caller secret"

// testbed is a server in front of one scripted upstream.
type testbed struct {
	upstream *upstream
	engine   *traffictest.Engine
	pools    *pgback.Pools
	server   *pgfront.Server
	address  string
}

func newTestbed(connections int, adjust func(*pgfront.Config)) *testbed {
	GinkgoHelper()
	b, err := startTestbed(connections, adjust)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(b.close)
	return b
}

func startTestbed(connections int, adjust func(*pgfront.Config)) (*testbed, error) {
	up, err := newUpstream()
	if err != nil {
		return nil, err
	}
	config, err := newBundle(up.listener.Addr().String())
	if err != nil {
		return nil, err
	}
	pools, err := pgback.New(pgback.Config{DefaultLimit: connections})
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	engine := &traffictest.Engine{Config: config}
	settings := pgfront.Config{Listener: listener, Engine: engine, Backends: pools}
	if adjust != nil {
		adjust(&settings)
	}
	server, err := pgfront.New(settings)
	if err != nil {
		return nil, err
	}
	go func() { _ = server.Serve(context.Background()) }()
	return &testbed{
		upstream: up,
		engine:   engine,
		pools:    pools,
		server:   server,
		address:  listener.Addr().String(),
	}, nil
}

func (b *testbed) close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = b.server.Shutdown(ctx)
	b.pools.Close()
	b.upstream.close()
}

func newBundle(upstreamAddress string) (*bundle.Bundle, error) {
	verifier, err := scramauth.NewVerifier(callerPassword)
	if err != nil {
		return nil, err
	}
	return &bundle.Bundle{
		Groups: []bundle.Group{{
			ID:        "plugs",
			Database:  "plugs",
			User:      "proxy",
			Password:  upstreamPassword,
			Upstreams: []bundle.Upstream{{ID: "plugs-1", Address: upstreamAddress, Connections: 16, Slots: 2}},
		}},
		Callers: []bundle.Caller{{Name: "crane", Verifier: verifier, MaxConnections: 100}},
	}, nil
}

func (b *testbed) connString() string {
	return fmt.Sprintf("postgres://crane:%s@%s/plugs?sslmode=disable", "caller%20secret", b.address)
}

// connect opens a pgx connection. adjust may be nil.
func (b *testbed) connect(adjust func(*pgx.ConnConfig)) *pgx.Conn {
	GinkgoHelper()
	conn, err := b.dial(adjust)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (b *testbed) dial(adjust func(*pgx.ConnConfig)) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(b.connString())
	if err != nil {
		return nil, err
	}
	if adjust != nil {
		adjust(config)
	}
	return pgx.ConnectConfig(context.Background(), config)
}

func simpleProtocol(config *pgx.ConnConfig) {
	config.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
}

// sqlStateOf returns the SQLSTATE of err, or "" if err is nil.
func sqlStateOf(err error) string {
	GinkgoHelper()
	var pgError *pgconn.PgError
	if err == nil {
		return ""
	}
	Expect(errors.As(err, &pgError)).To(BeTrue(), err.Error())
	return pgError.Code
}
