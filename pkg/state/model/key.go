package model

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/go-faster/errors"
)

// keyDigestBytes is the size of a KeyDigest. Half of a SHA-256 leaves the chance
// that two keys share a digest negligible.
const keyDigestBytes = 16

// KeyDigest identifies an access key of a client account. The key cannot be
// found from it, so that it may be kept and sent to other instances.
type KeyDigest [keyDigestBytes]byte

// errKeyDigest means that a text is not a digest.
var errKeyDigest = errors.New("key digest: 32 hexadecimal digits expected")

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:keyDigestBytes])
}

// MarshalText returns the digest in hexadecimal.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText decodes what MarshalText returned.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	decoded := make([]byte, 0, keyDigestBytes)
	decoded, err := hex.AppendDecode(decoded, text)
	if err != nil || len(decoded) != keyDigestBytes {
		return errKeyDigest
	}
	copy(d[:], decoded)
	return nil
}
