package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/go-faster/errors"
)

// Encode returns the bundle's bytes and their lower-case hexadecimal SHA-256
// digest. Equal bundles have equal bytes.
func Encode(b *Bundle) (data []byte, digest string, err error) {
	data, err = json.Marshal(b)
	if err != nil {
		return nil, "", errors.Wrap(err, "encode bundle")
	}
	return data, digestOf(data), nil
}

// Decode reads a bundle from bytes that must have the digest, and checks it.
func Decode(data []byte, digest string) (*Bundle, error) {
	if digestOf(data) != digest {
		return nil, errors.Errorf("bundle does not match digest %s", digest)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	b := &Bundle{}
	if err := decoder.Decode(b); err != nil {
		return nil, errors.Wrapf(err, "decode bundle %s", digest)
	}
	if problems := Check(b); len(problems) > 0 {
		return nil, errors.Errorf("bundle %s: %s", digest, problems[0].String())
	}
	return b, nil
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
