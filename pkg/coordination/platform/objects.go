package platform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
)

// Digest returns the lower-case hexadecimal SHA-256 of data.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// ObjectClient implements Objects with the connection of a Client.
type ObjectClient struct{ client *Client }

// Objects returns the object store of the platform.
func (c *Client) Objects() ObjectClient { return ObjectClient{client: c} }

// Put stores data and returns its digest. It is retried after a failure, which is
// idempotent since the key is the digest of the content.
func (o ObjectClient) Put(ctx context.Context, data []byte) (string, error) {
	digest := Digest(data)
	_, err := retry(ctx, func() (struct{}, error) {
		status, _, err := o.client.roundTrip(ctx, http.MethodPut, objectPath(digest), data)
		if err == nil && status != http.StatusNoContent && status != http.StatusOK {
			err = errors.Errorf("status %d, expected 200 or 204", status)
		}
		return struct{}{}, err
	})
	if err != nil {
		return "", errors.Wrapf(err, "put object %s", digest)
	}
	return digest, nil
}

// Get returns the object, verified against its digest, or ErrNoObject.
func (o ObjectClient) Get(ctx context.Context, digest string) ([]byte, error) {
	data, err := retry(ctx, func() ([]byte, error) { return o.get(ctx, digest) })
	if err != nil {
		return nil, errors.Wrapf(err, "get object %s", digest)
	}
	return data, nil
}

func (o ObjectClient) get(ctx context.Context, digest string) ([]byte, error) {
	status, data, err := o.client.roundTrip(ctx, http.MethodGet, objectPath(digest), nil)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotFound:
		return nil, backoff.Permanent(ErrNoObject)
	case status != http.StatusOK:
		return nil, errors.Errorf("status %d, expected 200", status)
	case Digest(data) != digest:
		return nil, errors.New("content does not match its digest")
	}
	return data, nil
}

// objectPath returns the URL path of an object.
func objectPath(digest string) string { return "/v1/object/" + digest }
