package mesh

import (
	"bufio"
	"crypto/tls"
	"net"

	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/model"
)

// acceptPeers accepts and serves peers until the listener is closed.
func (n *Node) acceptPeers() {
	for {
		conn, err := n.config.Listener.Accept()
		if err != nil {
			return
		}
		conn = countedConn{conn}
		if n.config.ServerTLS != nil {
			conn = tls.Server(conn, n.config.ServerTLS)
		}
		if !n.track(conn) {
			_ = conn.Close()
			return
		}
		n.group.Go(func() {
			defer n.untrack(conn)
			n.serveConn(conn)
		})
	}
}

// track adds conn to those that Close closes. It returns false once the node is
// closed.
func (n *Node) track(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return false
	}
	n.inbound[conn] = struct{}{}
	return true
}

// untrack closes conn and removes it from those that Close closes.
func (n *Node) untrack(conn net.Conn) {
	_ = conn.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.inbound, conn)
}

// serveConn runs the handshake on conn, then serves each stream that the peer
// opens in a goroutine of its own.
func (n *Node) serveConn(conn net.Conn) {
	hello, err := handshake(conn, n.config)
	if err != nil {
		n.logRefused(conn, err)
		return
	}
	session, err := newMuxServer(conn, n.config)
	if err != nil {
		n.logRefused(conn, err)
		return
	}
	defer func() { _ = session.Close() }()
	from := model.InstanceID(hello.GetInstance())
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			if isProtocolViolation(err) {
				n.logBadFrame(conn, err)
			}
			return
		}
		n.group.Go(func() {
			if err := n.serveStream(from, stream); err != nil {
				n.logBadFrame(conn, err)
				_ = session.Close()
			}
		})
	}
}

// serveStream serves one stream. A non-nil error is a protocol violation,
// which ends the session.
func (n *Node) serveStream(from model.InstanceID, stream net.Conn) error {
	var open meshpb.StreamOpen
	if err := readFrame(unbufferedReader{stream}, n.config.MaxFrameBytes, &open); err != nil {
		_ = stream.Close()
		return err
	}
	if forward := open.GetForward(); forward != nil {
		n.config.Handler.HandleForward(n.ctx, from, forward, stream)
		return nil
	}
	defer func() { _ = stream.Close() }()
	return n.serveMessages(from, stream)
}

// serveMessages handles the messages of a stream in order until the stream ends.
// A non-nil error is a protocol violation.
func (n *Node) serveMessages(from model.InstanceID, stream net.Conn) error {
	replies := make(chan *meshpb.Envelope, n.config.QueueCapacity)
	ended := make(chan struct{})
	defer close(ended)
	n.group.Go(func() { writeMessages(stream, replies, ended) })
	reader := bufio.NewReader(stream)
	for {
		message := new(meshpb.Envelope)
		if err := readFrame(reader, n.config.MaxFrameBytes, message); err != nil {
			return ignoreStreamEnd(err)
		}
		n.config.Handler.HandleMessage(from, message, replier(message.GetCallId(), replies, ended))
	}
}

// replier returns the function that answers the call with the ID. It drops the
// answer if the stream has ended. ID 0 marks a message that is not a call.
func replier(id uint64, replies chan<- *meshpb.Envelope, ended <-chan struct{}) func(*meshpb.Envelope) {
	if id == 0 {
		return func(*meshpb.Envelope) {}
	}
	return func(reply *meshpb.Envelope) {
		reply.CallId = id
		reply.Reply = true
		select {
		case replies <- reply:
		case <-ended:
		}
	}
}
