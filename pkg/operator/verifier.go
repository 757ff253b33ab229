package operator

import (
	"bytes"
	"crypto/rand"
	"io"
	"strings"

	"github.com/go-faster/errors"
	"github.com/xdg-go/scram"

	"gypsumdock/pkg/state/bundle"
)

// Sizes of the salt and of the longest password that is read.
const (
	saltBytes        = 16
	maxPasswordBytes = 1 << 10
)

// verifierCommand is gypsumctl verifier.
type verifierCommand struct {
	app        *app
	Iterations int `long:"iterations" default:"4096" description:"Iterations of the key derivation"`
}

// Execute creates a SCRAM-SHA-256 verifier from the first line of standard input
// and prints it.
func (c *verifierCommand) Execute([]string) error {
	data, err := io.ReadAll(io.LimitReader(c.app.env.Stdin, maxPasswordBytes))
	if err != nil {
		return errors.Wrap(err, "read password")
	}
	password := firstLine(data)
	if password == "" {
		return &usageError{text: "give the password on standard input"}
	}
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(salt); err != nil {
		return errors.Wrap(err, "generate salt")
	}
	verifier, err := makeVerifier(password, salt, c.Iterations)
	if err != nil {
		return err
	}
	return c.app.print(verifierResult{Verifier: verifier.Text()})
}

// makeVerifier derives the keys of a verifier according to RFC 5802.
func makeVerifier(password string, salt []byte, iterations int) (bundle.Verifier, error) {
	if iterations < bundle.MinVerifierIterations || iterations > bundle.MaxVerifierIterations {
		return bundle.Verifier{}, &usageError{text: "--iterations is out of range"}
	}
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return bundle.Verifier{}, errors.Wrap(err, "prepare password")
	}
	keys, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return bundle.Verifier{}, errors.Wrap(err, "derive keys")
	}
	return bundle.Verifier{
		Iterations: iterations,
		Salt:       salt,
		StoredKey:  keys.StoredKey,
		ServerKey:  keys.ServerKey,
	}, nil
}

// firstLine returns the first line of data without its line break.
func firstLine(data []byte) string {
	line, _, _ := bytes.Cut(data, []byte("\n"))
	return strings.TrimSuffix(string(line), "\r")
}
