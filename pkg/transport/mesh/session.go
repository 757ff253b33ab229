package mesh

import (
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"

	"gypsumdock/pkg/protocol/meshpb"
)

// handshake exchanges Hellos on conn and returns the peer's, which it has
// checked.
func handshake(conn net.Conn, config Config) (*meshpb.Hello, error) {
	deadline := time.Now().Add(config.HandshakeTimeout)
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, errors.Wrap(err, "set handshake deadline")
	}
	if err := writeFrame(conn, config.hello()); err != nil {
		return nil, errors.Wrap(err, "send hello")
	}
	var hello meshpb.Hello
	if err := readFrame(unbufferedReader{conn}, config.MaxFrameBytes, &hello); err != nil {
		return nil, errors.Wrap(err, "receive hello")
	}
	if err := checkHello(&hello, config); err != nil {
		return nil, err
	}
	return &hello, conn.SetDeadline(time.Time{})
}

// checkHello returns an error if a session with the sender is not allowed.
func checkHello(hello *meshpb.Hello, config Config) error {
	if hello.GetVersion() != ProtocolVersion {
		return errors.Errorf("peer uses protocol version %d, expected %d", hello.GetVersion(), ProtocolVersion)
	}
	if hello.GetRegion() != config.Region {
		return errors.Errorf("peer is in region %q, expected %q", hello.GetRegion(), config.Region)
	}
	if hello.GetInstance() == "" {
		return errors.New("hello of peer has no instance ID")
	}
	return nil
}

func yamuxConfig(config Config) *yamux.Config {
	settings := yamux.DefaultConfig()
	settings.KeepAliveInterval = config.KeepAliveInterval
	settings.ConnectionWriteTimeout = config.WriteTimeout
	settings.LogOutput = io.Discard
	return settings
}
