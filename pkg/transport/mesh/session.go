package mesh

import (
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"

	"gypsumdock/pkg/protocol/meshpb"
)

// handshake exchanges Hellos on conn and checks the peer's.
func handshake(conn net.Conn, config Config) (*meshpb.Hello, error) {
	deadline := time.Now().Add(config.HandshakeTimeout)
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, errors.Wrap(err, "set handshake deadline")
	}
	if err := writeFrame(conn, config.hello()); err != nil {
		return nil, errors.Wrap(err, "send hello")
	}
	var hello meshpb.Hello
	if err := readFrame(byteReader{conn}, config.MaxFrameBytes, &hello); err != nil {
		return nil, errors.Wrap(err, "receive hello")
	}
	if err := checkHello(&hello, config); err != nil {
		return nil, err
	}
	return &hello, conn.SetDeadline(time.Time{})
}

func checkHello(hello *meshpb.Hello, config Config) error {
	if hello.GetVersion() != ProtocolVersion {
		return errors.Errorf("peer speaks version %d, not %d", hello.GetVersion(), ProtocolVersion)
	}
	if hello.GetRegion() != config.Region {
		return errors.Errorf("peer belongs to region %q, not %q", hello.GetRegion(), config.Region)
	}
	if hello.GetInstance() == "" {
		return errors.New("peer has no instance ID")
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
