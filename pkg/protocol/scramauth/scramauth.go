// Package scramauth authenticates callers by SCRAM-SHA-256 (RFC 7677) against
// verifiers in PostgreSQL's format. It does no I/O: the transport sends and receives
// the messages.
package scramauth

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/xdg-go/scram"
)

// Mechanism is the SASL name of the only mechanism offered.
const Mechanism = "SCRAM-SHA-256"

const (
	// verifierPrefix starts a verifier in PostgreSQL's format.
	verifierPrefix = "SCRAM-SHA-256$"
	// defaultIterations is PostgreSQL's default iteration count.
	defaultIterations = 4096
	maxIterations     = 1_000_000
	saltLen           = 16 // bytes
)

// ParseVerifier parses a verifier of the form
// "SCRAM-SHA-256$iterations:salt$StoredKey:ServerKey".
func ParseVerifier(text string) (scram.StoredCredentials, error) {
	none := scram.StoredCredentials{}
	body, found := strings.CutPrefix(text, verifierPrefix)
	if !found {
		return none, errors.New("verifier does not start with SCRAM-SHA-256$")
	}
	factors, keys, found := strings.Cut(body, "$")
	if !found {
		return none, errors.New("verifier has no $ before the keys")
	}
	iterations, salt, err := parseFactors(factors)
	if err != nil {
		return none, err
	}
	stored, server, found := strings.Cut(keys, ":")
	if !found {
		return none, errors.New("verifier has no server key after the stored key")
	}
	storedKey, err := parseKey(stored)
	if err != nil {
		return none, err
	}
	serverKey, err := parseKey(server)
	if err != nil {
		return none, err
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(salt), Iters: iterations},
		StoredKey:  storedKey,
		ServerKey:  serverKey,
	}, nil
}

// parseFactors parses "iterations:salt".
func parseFactors(text string) (int, []byte, error) {
	count, encoded, found := strings.Cut(text, ":")
	if !found {
		return 0, nil, errors.New("verifier has no salt after the iteration count")
	}
	iterations, err := strconv.Atoi(count)
	if err != nil || iterations < 1 || iterations > maxIterations {
		return 0, nil, errors.New("iteration count of verifier is not a number in the allowed range")
	}
	salt, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil || len(salt) == 0 {
		return 0, nil, errors.New("salt of verifier is empty or not base64")
	}
	return iterations, salt, nil
}

// parseKey decodes a stored key or a server key.
func parseKey(text string) ([]byte, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(key) != sha256.Size {
		return nil, errors.New("key of verifier is not the base64 form of 32 bytes")
	}
	return key, nil
}

// NewVerifier returns a verifier of password, with a random salt, in PostgreSQL's
// format.
func NewVerifier(password string) (string, error) {
	salt := make([]byte, saltLen)
	if _, err := rand.Read(salt); err != nil {
		return "", errors.Wrap(err, "generate salt")
	}
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", errors.Wrap(err, "prepare password")
	}
	factors := scram.KeyFactors{Salt: string(salt), Iters: defaultIterations}
	credentials, err := client.GetStoredCredentialsWithError(factors)
	if err != nil {
		return "", errors.Wrap(err, "compute verifier")
	}
	return formatVerifier(credentials), nil
}

func formatVerifier(c scram.StoredCredentials) string {
	encode := base64.StdEncoding.EncodeToString
	factors := strconv.Itoa(c.Iters) + ":" + encode([]byte(c.Salt))
	return verifierPrefix + factors + "$" + encode(c.StoredKey) + ":" + encode(c.ServerKey)
}

// Exchange is the server's side of one authentication. It is not safe for concurrent
// use.
type Exchange struct {
	conversation *scram.ServerConversation
	// hasVerifier is false if the exchange can only end with a refusal.
	hasVerifier bool
}

// NewExchange starts the authentication of user. With an empty or malformed verifier
// the same messages are exchanged before the refusal, so that a client cannot tell
// whether the user exists; the salt is then derived from secret and user, so that it
// is the same in each attempt.
func NewExchange(user, verifier string, secret []byte) (*Exchange, error) {
	credentials, err := ParseVerifier(verifier)
	hasVerifier := err == nil
	if !hasVerifier {
		credentials = mockCredentials(user, secret)
	}
	lookup := func(string) (scram.StoredCredentials, error) { return credentials, nil }
	server, err := scram.SHA256.NewServer(lookup)
	if err != nil {
		return nil, errors.Wrap(err, "create SCRAM server")
	}
	return &Exchange{conversation: server.NewConversation(), hasVerifier: hasVerifier}, nil
}

// First returns the answer to the client's first message.
func (e *Exchange) First(message string) (string, error) { return e.conversation.Step(message) }

// Final returns the answer to the client's last message. An error means that the
// caller is not authenticated.
func (e *Exchange) Final(message string) (string, error) {
	answer, err := e.conversation.Step(message)
	if err != nil {
		return "", err
	}
	if !e.hasVerifier || !e.conversation.Valid() {
		return "", errors.New("authentication failed")
	}
	return answer, nil
}

// mockCredentials returns credentials that no password matches and that are the same
// for each call.
func mockCredentials(user string, secret []byte) scram.StoredCredentials {
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{
			Salt:  string(derive(secret, "salt", user)[:saltLen]),
			Iters: defaultIterations,
		},
		StoredKey: derive(secret, "stored", user),
		ServerKey: derive(secret, "server", user),
	}
}

// derive returns a pseudorandom value of 32 bytes for a purpose and user.
func derive(secret []byte, purpose, user string) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(purpose))
	mac.Write([]byte{0})
	mac.Write([]byte(user))
	return mac.Sum(nil)
}
