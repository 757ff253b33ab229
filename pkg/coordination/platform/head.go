package platform

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/model"
)

const (
	// maxPlainHeadBytes is the size of the JSON of a head row above which it is
	// compressed.
	maxPlainHeadBytes = 4 << 10
	// maxHeadBytes is the maximum size of the decompressed JSON of a head row.
	maxHeadBytes = 16 << 20
)

// gzipMagic is the beginning of a compressed value. JSON never begins with it.
var gzipMagic = []byte{0x1f, 0x8b}

// HeadKey returns the key of a region's head row.
func HeadKey(region string) string { return "head/" + region }

// DecodeHead decodes a head row, and sets Version to that of the row.
func DecodeHead(row *Row) (*model.Head, error) {
	plain, err := decompress(row.Value)
	if err != nil {
		return nil, errors.Wrapf(err, "decompress head row %q", row.Key)
	}
	head := &model.Head{}
	if err := json.Unmarshal(plain, head); err != nil {
		return nil, errors.Wrapf(err, "decode head row %q", row.Key)
	}
	head.Version = row.Version
	return head, nil
}

// EncodeHead returns the value of a head row: JSON, compressed if it is large, since
// the row is read far more often than written.
func EncodeHead(head *model.Head) ([]byte, error) {
	plain, err := json.Marshal(head)
	if err != nil {
		return nil, errors.Wrap(err, "encode head")
	}
	if len(plain) <= maxPlainHeadBytes {
		return plain, nil
	}
	var out bytes.Buffer
	compressor := gzip.NewWriter(&out)
	if _, err := compressor.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress head")
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "compress head")
	}
	return out.Bytes(), nil
}

// decompress returns the JSON of a value, which may be compressed or plain.
func decompress(value []byte) ([]byte, error) {
	if !bytes.HasPrefix(value, gzipMagic) {
		return value, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(reader, maxHeadBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxHeadBytes {
		return nil, errors.Errorf("decompressed head row is larger than %d bytes", maxHeadBytes)
	}
	return plain, nil
}
