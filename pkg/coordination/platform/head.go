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
	// plainHeadBytes is the size up to which a head row is kept as plain JSON.
	plainHeadBytes = 4 << 10
	// maxHeadBytes bounds the JSON of a head row.
	maxHeadBytes = 16 << 20
)

// gzipMagic starts a compressed value; JSON never starts so.
var gzipMagic = []byte{0x1f, 0x8b}

// HeadKey is the key of a region's head row.
func HeadKey(region string) string { return "head/" + region }

// DecodeHead reads the value of a head row.
func DecodeHead(row *Row) (*model.Head, error) {
	plain, err := inflate(row.Value)
	if err != nil {
		return nil, errors.Wrapf(err, "row %q", row.Key)
	}
	head := &model.Head{}
	if err := json.Unmarshal(plain, head); err != nil {
		return nil, errors.Wrapf(err, "row %q", row.Key)
	}
	head.Version = row.Version
	return head, nil
}

// EncodeHead returns the value of a head row: JSON, compressed where it is
// large, since it is read far more often than written.
func EncodeHead(head *model.Head) ([]byte, error) {
	plain, err := json.Marshal(head)
	if err != nil {
		return nil, errors.Wrap(err, "encode head")
	}
	if len(plain) <= plainHeadBytes {
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

func inflate(value []byte) ([]byte, error) {
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
		return nil, errors.Errorf("head row above %d bytes", maxHeadBytes)
	}
	return plain, nil
}
