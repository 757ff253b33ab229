// Package transfer encodes data that instances send each other in parts, and puts
// the parts together again. A transfer that is interrupted goes on where it ended,
// also from another sender of the same data, so that it ends over any link, however
// narrow. The package does no I/O.
package transfer

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"io"

	"github.com/go-faster/errors"
)

const (
	// PartBytes is the size of a part. A part must arrive within the time limit of
	// one call, and delays what is sent after it on the same connection.
	PartBytes = 16 << 10
	// maxEncodedBytes and maxDecodedBytes bound what an instance accepts.
	maxEncodedBytes = 16 << 20
	maxDecodedBytes = 64 << 20
)

// Errors of an assembly.
var (
	ErrBadOffer = errors.New("the size of the offered data is not between 1 and the limit")
	ErrBadPart  = errors.New("the part is empty, or exceeds the offered data")
	ErrCorrupt  = errors.New("the parts are not the offered data")
	ErrTooLarge = errors.New("the decoded data exceeds the limit")
)

// Digest identifies encoded data.
type Digest [sha256.Size]byte

// Offer describes encoded data.
type Offer struct {
	Digest Digest
	// Size is the number of encoded bytes.
	Size int
}

// Blob is encoded data. It is immutable.
type Blob struct {
	offer Offer
	data  []byte
}

// Encode compresses data.
func Encode(data []byte) (*Blob, error) {
	var encoded bytes.Buffer
	writer, err := gzip.NewWriterLevel(&encoded, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "create compressor")
	}
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	blob := &Blob{data: encoded.Bytes()}
	blob.offer = Offer{Digest: sha256.Sum256(blob.data), Size: len(blob.data)}
	return blob, nil
}

// Offer describes the data.
func (b *Blob) Offer() Offer { return b.offer }

// Part returns the part that begins at the offset. It is empty for an offset outside
// the data.
func (b *Blob) Part(offset int) []byte {
	if offset < 0 || offset >= len(b.data) {
		return nil
	}
	return b.data[offset:min(offset+PartBytes, len(b.data))]
}

// Assembly collects the parts of offered data, in order. It is not safe for
// concurrent use.
type Assembly struct {
	offer Offer
	data  []byte
}

// NewAssembly returns an empty assembly of the offered data. It returns ErrBadOffer
// if the size is not acceptable.
func NewAssembly(offer Offer) (*Assembly, error) {
	if offer.Size <= 0 || offer.Size > maxEncodedBytes {
		return nil, ErrBadOffer
	}
	return &Assembly{offer: offer}, nil
}

// Offer returns the offer that is being collected.
func (a *Assembly) Offer() Offer { return a.offer }

// Offset returns where the next part begins, in bytes.
func (a *Assembly) Offset() int { return len(a.data) }

// IsComplete reports whether all parts were added.
func (a *Assembly) IsComplete() bool { return len(a.data) == a.offer.Size }

// Add appends the part that begins at Offset. It returns ErrBadPart, and ignores
// the part, if it is empty or too long.
func (a *Assembly) Add(part []byte) error {
	if len(part) == 0 || len(part) > a.offer.Size-len(a.data) {
		return ErrBadPart
	}
	a.data = append(a.data, part...)
	return nil
}

// Decode returns the data of a complete assembly. It returns ErrCorrupt if that is
// not what was offered, and ErrTooLarge if it exceeds the limit.
func (a *Assembly) Decode() ([]byte, error) {
	if sha256.Sum256(a.data) != a.offer.Digest {
		return nil, ErrCorrupt
	}
	reader, err := gzip.NewReader(bytes.NewReader(a.data))
	if err != nil {
		return nil, errors.Wrap(ErrCorrupt, err.Error())
	}
	decoded, err := io.ReadAll(io.LimitReader(reader, maxDecodedBytes+1))
	if err != nil {
		return nil, errors.Wrap(ErrCorrupt, err.Error())
	}
	if len(decoded) > maxDecodedBytes {
		return nil, ErrTooLarge
	}
	return decoded, nil
}
