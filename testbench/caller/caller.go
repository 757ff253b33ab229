// Package caller is a client as the callers run it: a session that roams
// between instances, tags its statements with routes, and understands what it
// is told of requests that failed.
package caller

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"gypsumdock/testbench/history"
	"gypsumdock/testbench/profile"
)

// SessionParameter is the startup parameter that names a session.
const SessionParameter = "gypsumdock.session"

// SQLSTATEs with a meaning of their own.
const (
	codeMayHaveRun = "08007"
	codeWriteLost  = "40003"
)

// closeTimeout bounds the goodbye to an instance.
const closeTimeout = time.Second

// Session is a session of a caller. It is owned by one goroutine.
type Session struct {
	// Name tells the sessions of a caller apart.
	Name   string
	Caller profile.Caller
	Routes profile.Routes
	// Log gets every operation.
	Log *history.Log
	// Anonymous names each connection anew, in place of the session.
	Anonymous bool

	conns map[string]*pgx.Conn
	// number is that of the last write.
	number int
}

// New returns a session without connections.
func New(name string, as profile.Caller, routes profile.Routes, log *history.Log) *Session {
	return &Session{Name: name, Caller: as, Routes: routes, Log: log, conns: make(map[string]*pgx.Conn)}
}

// Target is where an operation goes.
type Target struct {
	// Address is that of an instance's callers' listener.
	Address  string
	Group    string
	Database string
}

// Close closes all connections.
func (s *Session) Close() {
	for at := range s.conns {
		s.drop(at)
	}
}

func (s *Session) drop(at string) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = s.conns[at].Close(ctx)
	delete(s.conns, at)
}

// conn returns an open connection to the target.
func (s *Session) conn(ctx context.Context, to Target) (*pgx.Conn, error) {
	at := to.Address + "/" + to.Database
	if conn, open := s.conns[at]; open {
		if !conn.IsClosed() {
			return conn, nil
		}
		s.drop(at)
	}
	name := s.Name
	if s.Anonymous {
		name = rand.Text()
	}
	conn, err := Dial(ctx, to, s.Caller, name)
	if err != nil {
		return nil, err
	}
	s.conns[at] = conn
	return conn, nil
}

// Dial connects to an instance as a session of a caller.
func Dial(ctx context.Context, to Target, as profile.Caller, session string) (*pgx.Conn, error) {
	dsn := url.URL{
		Scheme: "postgres", User: url.UserPassword(as.Name, as.Password), Host: to.Address, Path: to.Database,
		RawQuery: "sslmode=disable",
	}
	config, err := pgx.ParseConfig(dsn.String())
	if err != nil {
		return nil, err
	}
	config.RuntimeParams[SessionParameter] = session
	return pgx.ConnectConfig(ctx, config)
}

// The statements of a session.
const (
	upsert = "INSERT INTO records(key,value) VALUES ($1,$2) ON CONFLICT (key) DO UPDATE SET value = excluded.value"
	lookup = "SELECT value FROM records WHERE key = $1"
)

func tagged(statement, route string) string {
	return fmt.Sprintf("%s /*route='%s'*/", statement, route)
}

// Write stores a new value under key, on the route for writes that may be
// repeated.
func (s *Session) Write(ctx context.Context, to Target, key string) history.Op {
	return s.write(ctx, to, history.KindWrite, key, s.Routes.Record)
}

// Once stores a new value under key, on the route for writes that run at most
// once.
func (s *Session) Once(ctx context.Context, to Target, key string) history.Op {
	return s.write(ctx, to, history.KindOnce, key, s.Routes.Once)
}

func (s *Session) write(ctx context.Context, to Target, kind history.Kind, key, route string) history.Op {
	s.number++
	value := history.Value{Key: key, Session: s.Name, Number: s.number}.String()
	return s.record(ctx, to, kind, key, func(conn *pgx.Conn) (string, error) {
		_, err := conn.Exec(ctx, tagged(upsert, route), key, value)
		return value, err
	}, value)
}

// Fresh reads key on the route without a stated age.
func (s *Session) Fresh(ctx context.Context, to Target, key string) history.Op {
	return s.read(ctx, to, history.KindFresh, key, s.Routes.Fresh)
}

// Aged reads key on the route with a stated age.
func (s *Session) Aged(ctx context.Context, to Target, key string) history.Op {
	return s.read(ctx, to, history.KindAged, key, s.Routes.Aged)
}

func (s *Session) read(ctx context.Context, to Target, kind history.Kind, key, route string) history.Op {
	return s.record(ctx, to, kind, key, func(conn *pgx.Conn) (string, error) {
		var value string
		err := conn.QueryRow(ctx, tagged(lookup, route), key).Scan(&value)
		if errors.Is(err, pgx.ErrNoRows) {
			return "", nil
		}
		return value, err
	}, "")
}

// record runs an operation and logs it. failed is the value to log when it
// fails.
func (s *Session) record(
	ctx context.Context, to Target, kind history.Kind, key string,
	run func(*pgx.Conn) (string, error), failed string,
) history.Op {
	op := history.Op{
		Session: s.Name, Kind: kind, Group: to.Group, Key: key, Via: to.Address,
		Value: failed, Start: time.Now(),
	}
	conn, err := s.conn(ctx, to)
	if err != nil {
		op.Outcome = history.OutcomeNotRun
	} else {
		var value string
		if value, err = run(conn); err == nil {
			op.Value = value
		}
		op.Outcome = Outcome(err)
	}
	if err != nil {
		op.Error = err.Error()
		op.Code = CodeOf(err)
		op.RetryAfter = RetryAfter(err)
	}
	op.End = time.Now()
	s.Log.Add(op)
	return op
}

// CodeOf returns the SQLSTATE of an error, empty for one of the connection.
func CodeOf(err error) string {
	var failure *pgconn.PgError
	if errors.As(err, &failure) {
		return failure.Code
	}
	return ""
}

// Outcome returns what an error tells a caller of its request.
func Outcome(err error) history.Outcome {
	var failure *pgconn.PgError
	switch {
	case err == nil:
		return history.OutcomeOK
	case !errors.As(err, &failure):
		if pgconn.SafeToRetry(err) {
			return history.OutcomeNotRun
		}
		return history.OutcomeUnknown
	case failure.Code == codeMayHaveRun:
		return history.OutcomeUnknown
	case failure.Code == codeWriteLost:
		return history.OutcomeLost
	case strings.Contains(failure.Detail, "not run"):
		return history.OutcomeNotRun
	default:
		return history.OutcomeUnknown
	}
}

var retryAfter = regexp.MustCompile(`Retry after (\d+) ms`)

// RetryAfter returns the time after which the caller was told to come back,
// zero without one.
func RetryAfter(err error) time.Duration {
	var failure *pgconn.PgError
	if !errors.As(err, &failure) {
		return 0
	}
	found := retryAfter.FindStringSubmatch(failure.Detail)
	if found == nil {
		return 0
	}
	milliseconds, err := strconv.Atoi(found[1])
	if err != nil {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}
