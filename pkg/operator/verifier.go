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

const (
	saltBytes        = 16
	maxPasswordBytes = 1 << 10
)

type verifierCommand struct {
	app        *app
	Iterations int `long:"iterations" default:"4096" description:"Iterations of the key derivation"`
}

// Execute makes a verifier from the first line of standard input.
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
		return errors.Wrap(err, "salt")
	}
	verifier, err := makeVerifier(password, salt, c.Iterations)
	if err != nil {
		return err
	}
	return c.app.print(verifierResult{Verifier: verifier.Text()})
}

// makeVerifier derives the keys as RFC 5802 says.
func makeVerifier(password string, salt []byte, iterations int) (bundle.Verifier, error) {
	if iterations < bundle.MinVerifierIterations || iterations > bundle.MaxVerifierIterations {
		return bundle.Verifier{}, &usageError{text: "--iterations is out of range"}
	}
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return bundle.Verifier{}, errors.Wrap(err, "password")
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

func firstLine(data []byte) string {
	line, _, _ := bytes.Cut(data, []byte("\n"))
	return strings.TrimSuffix(string(line), "\r")
}
