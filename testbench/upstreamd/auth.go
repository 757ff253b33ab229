package upstreamd

import (
	"crypto/rand"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"gypsumdock/testbench/upstreamd/sql"
)

const (
	scramMechanism  = "SCRAM-SHA-256"
	scramIterations = 4096
	saltBytes       = 16
)

// authenticate checks the startup message and the password.
func (c *conn) authenticate(startup *pgproto3.StartupMessage) error {
	spec := &c.node.group.spec
	if startup.Parameters["replication"] != "" {
		return c.refuse(sql.Errorf(sql.CodeUnsupported, "replication connections are not supported"))
	}
	if startup.Parameters["user"] != spec.User {
		return c.refuse(sql.Errorf(sql.CodeInvalidPassword, "password authentication failed"))
	}
	if startup.Parameters["database"] != spec.Database {
		return c.refuse(sql.Errorf(sql.CodeUndefinedDatabase, "database %q does not exist",
			startup.Parameters["database"]))
	}
	check := c.scram
	if spec.Auth == AuthCleartext {
		check = c.cleartext
	}
	if err := check(spec.User, spec.Password); err != nil {
		return c.refuse(sql.Errorf(sql.CodeInvalidPassword, "password authentication failed"))
	}
	return nil
}

func (c *conn) cleartext(_, password string) error {
	c.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := c.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return err
	}
	message, err := c.ask()
	if err != nil {
		return err
	}
	answer, isPassword := message.(*pgproto3.PasswordMessage)
	if !isPassword || answer.Password != password {
		return errors.New("wrong password")
	}
	return nil
}

func (c *conn) ask() (pgproto3.FrontendMessage, error) {
	if err := c.flush(); err != nil {
		return nil, err
	}
	return c.backend.Receive()
}

func (c *conn) scram(user, password string) error {
	conversation, err := newConversation(user, password)
	if err != nil {
		return err
	}
	c.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	if err = c.backend.SetAuthType(pgproto3.AuthTypeSASL); err != nil {
		return err
	}
	message, err := c.ask()
	if err != nil {
		return err
	}
	initial, isInitial := message.(*pgproto3.SASLInitialResponse)
	if !isInitial || initial.AuthMechanism != scramMechanism {
		return errors.New("unexpected authentication message")
	}
	challenge, err := conversation.Step(string(initial.Data))
	if err != nil {
		return err
	}
	c.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	if err = c.backend.SetAuthType(pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	if message, err = c.ask(); err != nil {
		return err
	}
	response, isResponse := message.(*pgproto3.SASLResponse)
	if !isResponse {
		return errors.New("unexpected authentication message")
	}
	final, err := conversation.Step(string(response.Data))
	if err != nil {
		return err
	}
	if !conversation.Valid() {
		return errors.New("wrong password")
	}
	c.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return nil
}

// newConversation prepares the server's side of SCRAM. Clients send an empty
// user name there, because the startup message carried it.
func newConversation(user, password string) (*scram.ServerConversation, error) {
	client, err := scram.SHA256.NewClient(user, password, "")
	if err != nil {
		return nil, err
	}
	salt := make([]byte, saltBytes)
	if _, err = rand.Read(salt); err != nil {
		return nil, err
	}
	factors := scram.KeyFactors{Salt: string(salt), Iters: scramIterations}
	stored, err := client.GetStoredCredentialsWithError(factors)
	if err != nil {
		return nil, err
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return stored, nil
	})
	if err != nil {
		return nil, err
	}
	return server.NewConversation(), nil
}
