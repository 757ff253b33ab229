package platform

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/model"
)

// HeadKey is the key of a region's head row.
func HeadKey(region string) string { return "head/" + region }

// DecodeHead reads the value of a head row.
func DecodeHead(row *Row) (*model.Head, error) {
	head := &model.Head{}
	if err := json.Unmarshal(row.Value, head); err != nil {
		return nil, errors.Wrapf(err, "row %q", row.Key)
	}
	head.Version = row.Version
	return head, nil
}

// EncodeHead returns the value of a head row.
func EncodeHead(head *model.Head) ([]byte, error) {
	value, err := json.Marshal(head)
	if err != nil {
		return nil, errors.Wrap(err, "encode head")
	}
	return value, nil
}
