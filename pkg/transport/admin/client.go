package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/model"
)

// maxAnswerBytes bounds the body of an answer.
const maxAnswerBytes = 16 << 20

// Client sends requests to an instance's admin listener. It is safe for concurrent
// use.
type Client struct {
	http *http.Client
	base string
}

// NewClient returns a client of the admin listener at address, of the form IP:port.
func NewClient(address string) *Client {
	return &Client{http: &http.Client{}, base: "http://" + address}
}

// Status returns the instance's status. Only ctx bounds the duration of the call.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, PathStatus, nil, http.StatusOK, &status)
	return status, err
}

// Switch requests a change of the group's primary to target; see Source.Switch. A
// refusal is a *RefusedError.
func (c *Client) Switch(ctx context.Context, group model.GroupID, target model.UpstreamID) error {
	request := SwitchRequest{Group: group, Target: target}
	return c.call(ctx, http.MethodPost, PathGroupSwitch, request, http.StatusAccepted, &SwitchRequest{})
}

// call sends one request and decodes the answer into result. An answer with a status
// other than expected gives a *RefusedError.
func (c *Client) call(ctx context.Context, method, path string, body any, expected int, result any) error {
	var encoded []byte
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode")
		}
		encoded = data
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(encoded))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	request.Header.Set("Content-Type", contentJSON)
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if response.StatusCode != expected {
		return refusal(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}

// RefusedError means that the instance answered and did not carry out the request.
type RefusedError struct{ Reason string }

// Error returns the reason.
func (e *RefusedError) Error() string { return e.Reason }

// refusal returns the error for an answer with an unexpected status.
func refusal(code int, data []byte) error {
	var failure Failure
	if json.Unmarshal(data, &failure) == nil && failure.Error != "" {
		return &RefusedError{Reason: failure.Error}
	}
	return &RefusedError{Reason: fmt.Sprintf("status %d", code)}
}
