package bundle

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Limits that a verifier must keep.
const (
	MinVerifierIterations = 4096
	MaxVerifierIterations = 1_000_000
	minSaltBytes          = 8
)

const verifierScheme = "SCRAM-SHA-256"

// Verifier holds the data derived from a password with which the server checks a
// SCRAM-SHA-256 login.
type Verifier struct {
	Iterations int
	Salt       []byte
	StoredKey  []byte
	ServerKey  []byte
}

// ParseVerifier parses PostgreSQL's format,
// SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY. Its errors never contain
// the text, which is a secret.
func ParseVerifier(text string) (Verifier, error) {
	parts := strings.Split(text, "$")
	if len(parts) != 3 || parts[0] != verifierScheme {
		return Verifier{}, errors.Errorf("must be %s$ITERATIONS:SALT$STOREDKEY:SERVERKEY", verifierScheme)
	}
	iterations, salt, _ := strings.Cut(parts[1], ":")
	stored, server, _ := strings.Cut(parts[2], ":")
	count, err := strconv.Atoi(iterations)
	if err != nil || count < MinVerifierIterations || count > MaxVerifierIterations {
		return Verifier{}, errors.Errorf("must have from %d to %d iterations", MinVerifierIterations, MaxVerifierIterations)
	}
	verifier := Verifier{Iterations: count}
	if verifier.Salt, err = base64.StdEncoding.DecodeString(salt); err != nil || len(verifier.Salt) < minSaltBytes {
		return Verifier{}, errors.Errorf("must have a base64 salt of at least %d bytes", minSaltBytes)
	}
	if verifier.StoredKey, err = decodeKey(stored); err != nil {
		return Verifier{}, errors.New("must have a base64 stored key of 32 bytes")
	}
	if verifier.ServerKey, err = decodeKey(server); err != nil {
		return Verifier{}, errors.New("must have a base64 server key of 32 bytes")
	}
	return verifier, nil
}

func decodeKey(text string) ([]byte, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, err
	}
	if len(key) != sha256.Size {
		return nil, errors.Errorf("key has %d bytes instead of 32", len(key))
	}
	return key, nil
}

// Text returns the verifier in PostgreSQL's format.
func (v Verifier) Text() string {
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s$%d:%s$%s:%s", verifierScheme, v.Iterations, encode(v.Salt), encode(v.StoredKey), encode(v.ServerKey))
}
