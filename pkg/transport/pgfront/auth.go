package pgfront

import (
	"crypto/sha256"
	"io"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/protocol/scramauth"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/verdict"
)

// authenticate runs the SCRAM exchange. An unknown caller gets the same
// messages as one with a wrong password.
func (h *startupHandler) authenticate(s *session, user string, caller *bundle.Caller) *verdict.Error {
	failed := verdict.New(verdict.AuthFailed, verdict.NotRun, "password authentication failed")
	exchange, err := scramauth.NewExchange(user, caller.Verifier, h.server.mockKey())
	if err != nil {
		return failed.WithCause(err)
	}
	s.reader.SetMaxBodyLen(maxAuthMessageBytes)
	if err := h.saslExchange(s, exchange); err != nil {
		return failed.WithCause(err)
	}
	s.reader.SetMaxBodyLen(h.server.config.MaxMessageBytes)
	return nil
}

func (h *startupHandler) saslExchange(s *session, exchange *scramauth.Exchange) error {
	s.output.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramauth.Mechanism}})
	initial := &pgproto3.SASLInitialResponse{}
	if err := s.receiveAuth(pgproto3.AuthTypeSASL, initial); err != nil {
		return err
	}
	if initial.AuthMechanism != scramauth.Mechanism {
		return errors.New("unknown SASL mechanism, expected SCRAM-SHA-256")
	}
	answer, err := exchange.First(string(initial.Data))
	if err != nil {
		return err
	}
	s.output.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
	final := &pgproto3.SASLResponse{}
	if err := s.receiveAuth(pgproto3.AuthTypeSASLContinue, final); err != nil {
		return err
	}
	answer, err = exchange.Final(string(final.Data))
	if err != nil {
		return err
	}
	s.output.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
	s.output.send(&pgproto3.AuthenticationOk{})
	return nil
}

// receiveAuth flushes the output and reads the next authentication message into
// target, which is a *SASLInitialResponse or a *SASLResponse.
func (s *session) receiveAuth(kind uint32, target pgproto3.FrontendMessage) error {
	if err := s.output.flush(); err != nil {
		return err
	}
	if err := s.reader.SetAuthType(kind); err != nil {
		return err
	}
	message, err := s.reader.Receive()
	if err != nil {
		return err
	}
	switch message := message.(type) {
	case *pgproto3.SASLInitialResponse:
		if initial, ok := target.(*pgproto3.SASLInitialResponse); ok {
			*initial = *message
			return nil
		}
	case *pgproto3.SASLResponse:
		if final, ok := target.(*pgproto3.SASLResponse); ok {
			*final = *message
			return nil
		}
	}
	return errors.New("unexpected message, expected a SASL response")
}

// mockKey returns the key for the salts that unknown callers are shown. It is
// derived from the bundle's verifiers, so that every instance shows an unknown
// caller the same salt.
func (s *Server) mockKey() []byte {
	callers := s.config.Engine.Bundle().Callers
	if len(callers) == 0 {
		return s.mockSecret
	}
	sum := sha256.New()
	for i := range callers {
		_, _ = io.WriteString(sum, callers[i].Verifier)
	}
	return sum.Sum(nil)
}
