package textforward

import (
	"bufio"
	"net"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/model"
)

// maxFrameBytes bounds a message of a stream: a statement, or an answer with its
// rows.
const maxFrameBytes = 10 << 20

// Stream carries one unit of work to a server. Only one goroutine may use it.
type Stream struct {
	forwarder *Forwarder
	server    model.InstanceID
	conn      net.Conn
	reader    *bufio.Reader
}

// Open opens a stream to a server. An error is ErrNotSent.
func (f *Forwarder) Open(server model.InstanceID) (*Stream, error) {
	conn, err := f.node.Forward(server, &meshpb.ForwardOpen{})
	if err != nil {
		f.Avoid(server, err.Error())
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return &Stream{forwarder: f, server: server, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Server returns the instance that the stream leads to.
func (s *Stream) Server() model.InstanceID { return s.server }

// Exchange sends a request and waits for its reply until the deadline. With
// giveUpEarly it ends as soon as the server is silent, which makes sense for a
// statement that can be sent to another one. An error is ErrLost; the stream
// must be closed then.
func (s *Stream) Exchange(request *meshpb.UnitRequest, deadline time.Time, giveUpEarly bool) (*meshpb.UnitReply, error) {
	sentAt := s.forwarder.balancer.sent(s.server, request)
	reply, err := s.exchange(request, deadline, giveUpEarly)
	s.forwarder.balancer.answered(s.server, request, reply, sentAt)
	return reply, err
}

func (s *Stream) exchange(request *meshpb.UnitRequest, deadline time.Time, giveUpEarly bool) (*meshpb.UnitReply, error) {
	if err := WriteFrame(s.conn, request, deadline); err != nil {
		return nil, s.failed(err)
	}
	if err := s.awaitReply(deadline, giveUpEarly); err != nil {
		return nil, err
	}
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return nil, s.failed(err)
	}
	reply := &meshpb.UnitReply{}
	if err := ReadFrame(s.reader, reply); err != nil {
		return nil, s.failed(err)
	}
	s.forwarder.heard(s.forwarder.peer(s.server))
	return reply, nil
}

// awaitReply waits for the first byte of a reply.
func (s *Stream) awaitReply(deadline time.Time, giveUpEarly bool) error {
	for {
		until := deadline
		if next := time.Now().Add(silenceTimeout); giveUpEarly && next.Before(deadline) {
			until = next
		}
		if err := s.conn.SetReadDeadline(until); err != nil {
			return s.failed(err)
		}
		_, err := s.reader.Peek(1)
		switch {
		case err == nil:
			return nil
		case !isTimeout(err):
			return s.failed(err)
		case !time.Now().Before(deadline):
			return errors.Wrap(ErrLost, "no answer until the deadline")
		case !s.forwarder.IsAlive(s.server):
			return errors.Wrap(ErrLost, "the server is silent")
		}
	}
}

// failed returns the error for a broken stream, and avoids its server.
func (s *Stream) failed(err error) error {
	if !isTimeout(err) {
		s.forwarder.Avoid(s.server, err.Error())
	}
	return errors.Wrap(ErrLost, err.Error())
}

// Close ends the unit of work. The server rolls back an open transaction.
func (s *Stream) Close() { _ = s.conn.Close() }

func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// WriteFrame writes a message with its length, by the deadline.
func WriteFrame(conn net.Conn, message proto.Message, deadline time.Time) error {
	if err := conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	_, err := protodelim.MarshalTo(conn, message)
	return err
}

// ReadFrame reads a message with its length. One that is too long is an error.
func ReadFrame(reader *bufio.Reader, message proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}.UnmarshalFrom(reader, message)
}
