package bundle

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// maxDecodedBytes limits the size of the decompressed JSON of a bundle, which
// protects Decode from decompression bombs.
const maxDecodedBytes = 64 << 20

// Encode returns the bundle as gzip-compressed JSON, and the lower-case
// hexadecimal SHA-256 digest of the compressed bytes. Equal bundles give equal
// bytes, unless they were compressed by different versions of the compressor.
func Encode(b *Bundle) (data []byte, digest string, err error) {
	plain, err := json.Marshal(b)
	if err != nil {
		return nil, "", errors.Wrap(err, "encode bundle")
	}
	var out bytes.Buffer
	compressor := gzip.NewWriter(&out)
	if _, err := compressor.Write(plain); err != nil {
		return nil, "", errors.Wrap(err, "compress bundle")
	}
	if err := compressor.Close(); err != nil {
		return nil, "", errors.Wrap(err, "compress bundle")
	}
	return out.Bytes(), digestOf(out.Bytes()), nil
}

// Decode decodes and checks a bundle that Encode returned. It fails if data does
// not have the digest.
func Decode(data []byte, digest string) (*Bundle, error) {
	if digestOf(data) != digest {
		return nil, errors.Errorf("bundle does not match digest %s", digest)
	}
	b, err := decode(data)
	if err != nil {
		return nil, errors.Wrapf(err, "decode bundle %s", digest)
	}
	if problems := Check(b); len(problems) > 0 {
		return nil, errors.Errorf("bundle %s: %s", digest, problems[0].String())
	}
	b.buildIndex()
	return b, nil
}

func decode(data []byte) (*Bundle, error) {
	plain, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(io.LimitReader(plain, maxDecodedBytes))
	decoder.DisallowUnknownFields()
	b := &Bundle{}
	if err := decoder.Decode(b); err != nil {
		return nil, err
	}
	return b, nil
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
