package mesh

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/model"
)

// link keeps the session that this instance dials to one peer. It is
// disconnected until it has dialled and exchanged Hellos, and again after any
// error; it then redials with backoff, until its context ends.
type link struct {
	config Config
	peer   model.Member
	ctx    context.Context
	cancel context.CancelFunc
	// timeoutLog logs calls that timed out, and lateLog answers that arrived
	// after their calls had been given up.
	timeoutLog *events.Throttle
	lateLog    *events.Throttle

	// mu guards the fields below. It is never held during I/O.
	mu sync.Mutex
	// session and queue are nil while the link is disconnected.
	session     *muxSession
	queue       chan *meshpb.Envelope
	outstanding map[uint64]chan *meshpb.Envelope
	// lastID is the ID of the newest call; IDs start at 1.
	lastID uint64
}

func newLink(ctx context.Context, config Config, peer model.Member) *link {
	ctx, cancel := context.WithCancel(ctx)
	return &link{
		config:      config,
		peer:        peer,
		ctx:         ctx,
		cancel:      cancel,
		outstanding: make(map[uint64]chan *meshpb.Envelope),

		timeoutLog: events.NewThrottle(events.PeerCallTimedOut, timeoutLogInterval),
		lateLog:    events.NewThrottle(events.PeerAnswerLate, timeoutLogInterval),
	}
}

// timeoutLogInterval is the minimum time between two log lines about calls to a
// peer that timed out, and between two about late answers.
const timeoutLogInterval = time.Second

// run dials the peer again whenever the session ends, until the link's context
// ends.
func (l *link) run() {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = redialMin
	wait.MaxInterval = redialMax
	for l.ctx.Err() == nil {
		served, err := l.serveOnce()
		if served {
			wait.Reset()
		}
		if l.ctx.Err() != nil {
			return
		}
		l.logSessionEnd(served, err)
		select {
		case <-l.ctx.Done():
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// serveOnce dials the peer and serves the session until it fails. It reports
// whether a session was established.
func (l *link) serveOnce() (bool, error) {
	conn, err := l.dial()
	if err != nil {
		return false, err
	}
	stop := context.AfterFunc(l.ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	hello, err := handshake(conn, l.config)
	if err != nil {
		return false, err
	}
	if !l.isExpected(model.InstanceID(hello.GetInstance())) {
		return false, errors.Errorf("dialled peer %s, but its address belongs to instance %s", l.peer.ID, hello.GetInstance())
	}
	session, err := newMuxClient(conn, l.config)
	if err != nil {
		return false, errors.Wrap(err, "start session")
	}
	defer func() { _ = session.Close() }()
	return true, l.serveSession(session)
}

// isExpected reports whether the instance that answered is the one dialled. The
// ID of a seed is not known before its Hello.
func (l *link) isExpected(id model.InstanceID) bool {
	return id == l.peer.ID || strings.HasPrefix(string(l.peer.ID), seedPrefix)
}

// serveSession opens the stream for messages and serves it until it fails.
func (l *link) serveSession(session *muxSession) error {
	stream, err := session.OpenStream()
	if err != nil {
		return errors.Wrap(err, "open message stream")
	}
	open := &meshpb.StreamOpen{Kind: &meshpb.StreamOpen_Messages{Messages: &meshpb.MessageOpen{}}}
	if err := writeFrame(stream, open); err != nil {
		return errors.Wrap(err, "open message stream")
	}
	queue := l.openQueue(session)
	defer l.closeQueue()
	l.logEvent(events.PeerConnected)
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		writeMessages(stream, queue, session.CloseChan())
		_ = session.Close()
	}()
	err = l.readReplies(stream)
	_ = session.Close()
	<-writerDone
	return err
}

// writeMessages sends the queue until the session is closed or a write fails.
func writeMessages(stream net.Conn, queue <-chan *meshpb.Envelope, closed <-chan struct{}) {
	writer := bufio.NewWriter(stream)
	for {
		select {
		case <-closed:
			return
		case message := <-queue:
			if writeBuffered(writer, message, queue) != nil {
				return
			}
		}
	}
}

// readReplies delivers the answers to calls until the stream fails.
func (l *link) readReplies(stream net.Conn) error {
	reader := bufio.NewReader(stream)
	for {
		message := new(meshpb.Envelope)
		if err := readFrame(reader, l.config.MaxFrameBytes, message); err != nil {
			return errors.Wrap(err, "read answer")
		}
		l.deliver(message)
	}
}

// deliver passes an answer to the call that waits for it. An answer to a call
// that was given up is dropped.
func (l *link) deliver(message *meshpb.Envelope) {
	waiting, exists := l.takeCall(message.GetCallId())
	if !exists {
		l.recordLateAnswer(message)
		return
	}
	waiting <- message
}

// takeCall removes an outstanding call and returns its channel.
func (l *link) takeCall(id uint64) (chan *meshpb.Envelope, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting, exists := l.outstanding[id]
	delete(l.outstanding, id)
	return waiting, exists
}

// recordLateAnswer records an answer to a call that was given up: its bytes took
// up the link for nothing.
func (l *link) recordLateAnswer(message *meshpb.Envelope) {
	size := proto.Size(message)
	lateBytes.Add(size)
	l.lateLog.Log(l.ctx, l.config.Logger, slog.String("peer", string(l.peer.ID)), slog.Int("bytes", size))
}

// openQueue makes the link connected and returns its queue of messages.
func (l *link) openQueue(session *muxSession) chan *meshpb.Envelope {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session = session
	l.queue = make(chan *meshpb.Envelope, l.config.QueueCapacity)
	return l.queue
}

// closeQueue makes the link disconnected. It fails the outstanding calls by
// closing their channels.
func (l *link) closeQueue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session = nil
	l.queue = nil
	for id, waiting := range l.outstanding {
		close(waiting)
		delete(l.outstanding, id)
	}
}

func (l *link) send(message *meshpb.Envelope) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.enqueue(message)
}

// enqueue puts message into the queue without waiting. The caller holds l.mu.
func (l *link) enqueue(message *meshpb.Envelope) error {
	if l.queue == nil {
		return ErrPeerUnreachable
	}
	select {
	case l.queue <- message:
		return nil
	default:
		return ErrQueueFull
	}
}

// call sends message, waits for its answer and records the result in the
// metrics and the log.
func (l *link) call(ctx context.Context, message *meshpb.Envelope) (*meshpb.Envelope, error) {
	reply, err := l.sendAndWait(ctx, message)
	callCounter(err).Inc()
	if errors.Is(err, context.DeadlineExceeded) {
		l.timeoutLog.Log(ctx, l.config.Logger, slog.String("peer", string(l.peer.ID)))
	}
	return reply, err
}

// sendAndWait sends message and waits for its answer, until ctx ends.
func (l *link) sendAndWait(ctx context.Context, message *meshpb.Envelope) (*meshpb.Envelope, error) {
	id, answer, err := l.startCall(message)
	if err != nil {
		return nil, err
	}
	select {
	case reply, open := <-answer:
		if !open {
			return nil, errors.Wrap(ErrPeerUnreachable, "session lost during call")
		}
		return reply, nil
	case <-ctx.Done():
		l.dropCall(id)
		return nil, ctx.Err()
	}
}

// startCall assigns an ID to message, queues it and returns the channel on which
// the answer will be delivered.
func (l *link) startCall(message *meshpb.Envelope) (uint64, chan *meshpb.Envelope, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	message.CallId = l.lastID
	if err := l.enqueue(message); err != nil {
		return 0, nil, err
	}
	answer := make(chan *meshpb.Envelope, 1)
	l.outstanding[message.CallId] = answer
	return message.CallId, answer, nil
}

func (l *link) dropCall(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.outstanding, id)
}

// forward opens a stream for a unit of work. The caller owns it.
func (l *link) forward(open *meshpb.ForwardOpen) (net.Conn, error) {
	l.mu.Lock()
	session := l.session
	l.mu.Unlock()
	if session == nil {
		return nil, ErrPeerUnreachable
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, errors.Wrap(err, "open forward stream")
	}
	kind := &meshpb.StreamOpen{Kind: &meshpb.StreamOpen_Forward{Forward: open}}
	if err := writeFrame(stream, kind); err != nil {
		_ = stream.Close()
		return nil, errors.Wrap(err, "open forward stream")
	}
	forwards.Inc()
	return stream, nil
}

func (l *link) connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session != nil
}
