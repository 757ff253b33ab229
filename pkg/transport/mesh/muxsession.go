package mesh

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"
)

// muxSession is a yamux session whose readers return as soon as it closes.
//
// A Read of yamux that has no data polls in a loop from the moment the session
// starts to close until the session has closed its streams, and takes the
// processor from the goroutines that close it. A muxSession lets the deadlines of
// all reads expire before it closes the connection, which ends these loops.
type muxSession struct {
	*yamux.Session
	conn *muxConn
}

// newMuxClient starts a session on a connection that this instance has dialled.
func newMuxClient(conn net.Conn, config Config) (*muxSession, error) {
	return newMuxSession(conn, config, yamux.Client)
}

// newMuxServer starts a session on a connection that this instance has accepted.
func newMuxServer(conn net.Conn, config Config) (*muxSession, error) {
	return newMuxSession(conn, config, yamux.Server)
}

// yamuxStart starts a session of yamux: yamux.Client or yamux.Server.
type yamuxStart func(conn io.ReadWriteCloser, config *yamux.Config) (*yamux.Session, error)

func newMuxSession(conn net.Conn, config Config, start yamuxStart) (*muxSession, error) {
	tracked := &muxConn{Conn: conn, streams: make(map[*muxStream]struct{})}
	session, err := start(tracked, yamuxConfig(config))
	if err != nil {
		return nil, err
	}
	return &muxSession{Session: session, conn: tracked}, nil
}

// OpenStream opens a stream to the peer.
func (s *muxSession) OpenStream() (net.Conn, error) {
	return s.track(s.Session.OpenStream())
}

// AcceptStream waits for a stream that the peer opens.
func (s *muxSession) AcceptStream() (net.Conn, error) {
	return s.track(s.Session.AcceptStream())
}

func (s *muxSession) track(stream *yamux.Stream, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	tracked := &muxStream{Stream: stream, conn: s.conn}
	s.conn.add(tracked)
	return tracked, nil
}

// muxConn is the connection under a session. yamux closes it first when it closes
// the session, for whatever reason.
type muxConn struct {
	net.Conn

	// mu guards the fields below, and the read deadlines of the streams.
	mu      sync.Mutex
	closed  bool
	streams map[*muxStream]struct{}
}

// Close ends all reads of the streams, then closes the connection.
func (c *muxConn) Close() error {
	c.mu.Lock()
	c.closed = true
	for stream := range c.streams {
		stream.expireReads()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

func (c *muxConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *muxConn) add(stream *muxStream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[stream] = struct{}{}
	if c.closed {
		stream.expireReads()
	}
}

func (c *muxConn) remove(stream *muxStream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, stream)
}

// muxStream is a stream of a muxSession.
type muxStream struct {
	*yamux.Stream
	conn *muxConn
}

// expireReads ends the current read and all further ones. conn.mu is held.
func (s *muxStream) expireReads() {
	_ = s.Stream.SetReadDeadline(time.Unix(1, 0))
}

// Read returns yamux.ErrSessionShutdown once the session closes and what has
// arrived is read.
func (s *muxStream) Read(b []byte) (int, error) {
	n, err := s.Stream.Read(b)
	if errors.Is(err, yamux.ErrTimeout) && s.conn.isClosed() {
		return n, yamux.ErrSessionShutdown
	}
	return n, err
}

// SetReadDeadline sets the deadline of reads, unless the session has closed.
func (s *muxStream) SetReadDeadline(t time.Time) error {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	if s.conn.closed {
		return nil
	}
	return s.Stream.SetReadDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (s *muxStream) SetDeadline(t time.Time) error {
	if err := s.SetReadDeadline(t); err != nil {
		return err
	}
	return s.SetWriteDeadline(t)
}

// Close closes the stream.
func (s *muxStream) Close() error {
	s.conn.remove(s)
	return s.Stream.Close()
}
