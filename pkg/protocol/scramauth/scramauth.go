// Package scramauth authenticates callers by SCRAM-SHA-256 against verifiers
// in PostgreSQL's format. It does no I/O: the transport carries the messages.
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
	verifierPrefix = "SCRAM-SHA-256$"
	// defaultIterations is PostgreSQL's default iteration count.
	defaultIterations = 4096
	maxIterations     = 1_000_000
	saltLen           = 16
)

// ParseVerifier reads "SCRAM-SHA-256$iterations:salt$StoredKey:ServerKey".
func ParseVerifier(text string) (scram.StoredCredentials, error) {
	none := scram.StoredCredentials{}
	body, found := strings.CutPrefix(text, verifierPrefix)
	if !found {
		return none, errors.New("verifier is not of SCRAM-SHA-256")
	}
	factors, keys, found := strings.Cut(body, "$")
	if !found {
		return none, errors.New("verifier without keys")
	}
	iterations, salt, err := parseFactors(factors)
	if err != nil {
		return none, err
	}
	stored, server, found := strings.Cut(keys, ":")
	if !found {
		return none, errors.New("verifier without a server key")
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

func parseFactors(text string) (int, []byte, error) {
	count, encoded, found := strings.Cut(text, ":")
	if !found {
		return 0, nil, errors.New("verifier without a salt")
	}
	iterations, err := strconv.Atoi(count)
	if err != nil || iterations < 1 || iterations > maxIterations {
		return 0, nil, errors.New("verifier with a bad iteration count")
	}
	salt, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil || len(salt) == 0 {
		return 0, nil, errors.New("verifier with a bad salt")
	}
	return iterations, salt, nil
}

func parseKey(text string) ([]byte, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(key) != sha256.Size {
		return nil, errors.New("verifier with a bad key")
	}
	return key, nil
}

// NewVerifier returns the verifier of password with a random salt.
func NewVerifier(password string) (string, error) {
	salt := make([]byte, saltLen)
	if _, err := rand.Read(salt); err != nil {
		return "", errors.Wrap(err, "salt")
	}
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", errors.Wrap(err, "password")
	}
	factors := scram.KeyFactors{Salt: string(salt), Iters: defaultIterations}
	credentials, err := client.GetStoredCredentialsWithError(factors)
	if err != nil {
		return "", errors.Wrap(err, "verifier")
	}
	return formatVerifier(credentials), nil
}

func formatVerifier(c scram.StoredCredentials) string {
	encode := base64.StdEncoding.EncodeToString
	factors := strconv.Itoa(c.Iters) + ":" + encode([]byte(c.Salt))
	return verifierPrefix + factors + "$" + encode(c.StoredKey) + ":" + encode(c.ServerKey)
}

// Exchange is one authentication. It is not safe for concurrent use.
type Exchange struct {
	conversation *scram.ServerConversation
	known        bool
}

// NewExchange starts the authentication of user. An empty or malformed
// verifier leads through the same messages to a refusal; the salt that is
// shown is derived from secret and user, so that it stays the same.
func NewExchange(user, verifier string, secret []byte) (*Exchange, error) {
	credentials, err := ParseVerifier(verifier)
	known := err == nil
	if !known {
		credentials = mockCredentials(user, secret)
	}
	lookup := func(string) (scram.StoredCredentials, error) { return credentials, nil }
	server, err := scram.SHA256.NewServer(lookup)
	if err != nil {
		return nil, errors.Wrap(err, "scram")
	}
	return &Exchange{conversation: server.NewConversation(), known: known}, nil
}

// First answers the client's first message.
func (e *Exchange) First(message string) (string, error) { return e.conversation.Step(message) }

// Final answers the client's last message. An error means that the caller is
// not authenticated.
func (e *Exchange) Final(message string) (string, error) {
	answer, err := e.conversation.Step(message)
	if err != nil {
		return "", err
	}
	if !e.known || !e.conversation.Valid() {
		return "", errors.New("authentication failed")
	}
	return answer, nil
}

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

func derive(secret []byte, purpose, user string) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(purpose))
	mac.Write([]byte{0})
	mac.Write([]byte(user))
	return mac.Sum(nil)
}
