package pgwire

import (
	"encoding/binary"
	"strings"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Limits of a startup packet, in bytes.
const (
	StartupHeaderLen = 4
	minStartupLen    = 8
	maxStartupLen    = 10000
)

// Request codes, which stand in place of the protocol version.
const (
	codeCancel = 80877102
	codeSSL    = 80877103
	codeGSS    = 80877104
)

// Protocol version and parameters of a startup message.
const (
	majorVersion   = 3
	majorShift     = 16
	minorMask      = 1<<majorShift - 1
	optionPrefix   = "_pq_."
	maxSessionName = 128
)

// StartupBodyLen returns the number of bytes that follow the header of a
// startup packet.
func StartupBodyLen(header [StartupHeaderLen]byte) (int, error) {
	length := binary.BigEndian.Uint32(header[:])
	if length < minStartupLen || length > maxStartupLen {
		return 0, errors.Errorf("startup packet of %d bytes", length)
	}
	return int(length) - StartupHeaderLen, nil
}

// ParseStartup decodes the body of a startup packet: a *pgproto3.StartupMessage,
// *pgproto3.CancelRequest, *pgproto3.SSLRequest or *pgproto3.GSSEncRequest.
func ParseStartup(body []byte) (pgproto3.FrontendMessage, error) {
	if len(body) < minStartupLen-StartupHeaderLen {
		return nil, errors.New("startup packet too short")
	}
	message, err := startupMessage(binary.BigEndian.Uint32(body))
	if err != nil {
		return nil, err
	}
	if err := message.Decode(body); err != nil {
		return nil, errors.Wrap(err, "startup packet")
	}
	return message, nil
}

// startupMessage returns an empty message of the type that code stands for.
func startupMessage(code uint32) (pgproto3.FrontendMessage, error) {
	switch code {
	case codeCancel:
		return &pgproto3.CancelRequest{}, nil
	case codeSSL:
		return &pgproto3.SSLRequest{}, nil
	case codeGSS:
		return &pgproto3.GSSEncRequest{}, nil
	}
	if code>>majorShift != majorVersion {
		return nil, errors.Errorf("protocol version %d.%d", code>>majorShift, code&minorMask)
	}
	return &pgproto3.StartupMessage{}, nil
}

// Startup holds the parameters with which a caller connects.
type Startup struct {
	User        string
	Database    string
	Application string
	// Session is the caller's name for the session, unique for its user; empty when
	// not given.
	Session string
	// Negotiate is the answer to a newer minor version or to protocol options;
	// nil when none is needed.
	Negotiate *pgproto3.NegotiateProtocolVersion
}

// ReadStartup reads the parameters of a startup message. sessionParameter is the
// name of the parameter with the session.
func ReadStartup(message *pgproto3.StartupMessage, sessionParameter string) (Startup, error) {
	startup := Startup{}
	options := []string(nil)
	for key, value := range message.Parameters {
		switch {
		case key == sessionParameter:
			startup.Session = value
		case strings.HasPrefix(key, optionPrefix):
			options = append(options, key)
		default:
			if err := startup.set(key, value, sessionParameter); err != nil {
				return startup, err
			}
		}
	}
	if startup.User == "" {
		return startup, errors.New("no user name in the startup packet")
	}
	if len(startup.Session) > maxSessionName {
		return startup, errors.Errorf("%s is longer than %d bytes", sessionParameter, maxSessionName)
	}
	if startup.Database == "" {
		startup.Database = startup.User
	}
	if message.ProtocolVersion&minorMask != 0 || len(options) > 0 {
		startup.Negotiate = &pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: options}
	}
	return startup, nil
}

// set stores one parameter. Settings that pooled connections do not support give an
// error, so that none is ignored silently.
func (s *Startup) set(key, value, sessionParameter string) error {
	switch key {
	case "user":
		s.User = value
	case "database":
		s.Database = value
	case "application_name":
		s.Application = value
	case "extra_float_digits", "fallback_application_name":
	case "options":
		return s.setOptions(value, sessionParameter)
	case "client_encoding":
		return requireValue(key, value, "utf8", "utf-8", "unicode", "'utf8'", "'utf-8'")
	case "datestyle", "DateStyle":
		return requireValue(key, value, "iso", "iso, mdy", "iso,mdy")
	case "timezone", "TimeZone":
		return requireValue(key, value, "utc", "gmt", "etc/utc", "z")
	case "replication":
		return requireValue(key, value, "false", "off", "no", "0")
	case "standard_conforming_strings":
		return requireValue(key, value, "on", "true")
	default:
		return errors.Errorf("startup parameter %q is not supported", key)
	}
	return nil
}

// setOptions parses the options parameter, in which only "-c name=value" with the
// name of the session's parameter is supported.
func (s *Startup) setOptions(value, sessionParameter string) error {
	for field := range strings.FieldsSeq(value) {
		field = strings.TrimPrefix(field, "-c")
		if field == "" {
			continue
		}
		session, found := strings.CutPrefix(field, sessionParameter+"=")
		if !found {
			return errors.Errorf("startup option %q is not supported", field)
		}
		s.Session = session
	}
	return nil
}

func requireValue(key, value string, allowed ...string) error {
	for _, candidate := range allowed {
		if strings.EqualFold(value, candidate) {
			return nil
		}
	}
	return errors.Errorf("value %q of startup parameter %q is not supported", value, key)
}
