package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
)

const (
	// maxAnswerBytes is the maximum size of an answer.
	maxAnswerBytes = 64 << 20
	// maxErrorBytes bounds the part of an error answer that goes into the error.
	maxErrorBytes = 512
	// maxIdleConnections is the number of idle connections kept open to the platform.
	maxIdleConnections = 8

	// maxReadAttempts is the number of attempts of a read. The delay between them
	// grows exponentially from initialRetryDelay to maxRetryDelay.
	maxReadAttempts   = 3
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
)

// Options configure a Client.
type Options struct {
	// Address is the platform's address, IP:port.
	Address string
	// Timeout bounds each attempt of a request; the context may end it earlier.
	Timeout time.Duration
	// Token is sent as a bearer token if not empty.
	Token string
}

// ErrBadAnswer means that the platform's answer does not follow the protocol.
var ErrBadAnswer = errors.New("malformed answer")

// Client is a client of the platform by the protocol of docs/PLATFORM.md. It
// implements Table and Instances, and its method Objects returns the object store.
// It is safe for concurrent use. Reads are retried after a failure, up to
// maxReadAttempts times in all; a commit is sent once.
type Client struct {
	http    *http.Client
	base    string
	token   string
	timeout time.Duration
}

var (
	_ Table     = (*Client)(nil)
	_ Objects   = ObjectClient{}
	_ Instances = (*Client)(nil)
)

// NewClient returns a client. Connections are opened on first use.
func NewClient(options Options) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{
		http:    &http.Client{Transport: transport},
		base:    "http://" + options.Address,
		token:   options.Token,
		timeout: options.Timeout,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get returns the row, or nil if it does not exist.
func (c *Client) Get(ctx context.Context, key string) (*Row, error) {
	var answer struct {
		Row *Row `json:"row"`
	}
	err := c.read(ctx, http.MethodPost, "/v1/table/get", keyRequest{Key: key}, &answer)
	if err != nil {
		return nil, errors.Wrapf(err, "get row %q", key)
	}
	return answer.Row, nil
}

// List returns the rows whose key starts with prefix, ordered by key.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, error) {
	var answer struct {
		Rows []Row `json:"rows"`
	}
	err := c.read(ctx, http.MethodPost, "/v1/table/list", prefixRequest{Prefix: prefix}, &answer)
	if err != nil {
		return nil, errors.Wrapf(err, "list rows %q", prefix)
	}
	return answer.Rows, nil
}

// Commit sends the writes once. After any error the outcome is unknown; see
// ResolveCommit.
func (c *Client) Commit(ctx context.Context, opID string, writes []Write) (CommitResult, error) {
	var answer CommitResult
	request := commitRequest{OpID: opID, Writes: writes}
	if err := c.call(ctx, http.MethodPost, "/v1/table/commit", request, &answer); err != nil {
		return CommitResult{}, errors.Wrapf(err, "commit %s", opID)
	}
	if len(answer.Rows) != len(writes) {
		return CommitResult{}, errors.Wrapf(ErrBadAnswer, "commit %s: %d rows for %d writes", opID, len(answer.Rows), len(writes))
	}
	return answer, nil
}

// Instances returns the platform's list of instances.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var answer struct {
		Instances []Instance `json:"instances"`
	}
	err := c.read(ctx, http.MethodGet, "/v1/instances", nil, &answer)
	if err != nil {
		return nil, errors.Wrap(err, "list instances")
	}
	return answer.Instances, nil
}

type keyRequest struct {
	Key string `json:"key"`
}

type prefixRequest struct {
	Prefix string `json:"prefix"`
}

type commitRequest struct {
	OpID   string  `json:"op_id"`
	Writes []Write `json:"writes"`
}

// read sends a request with retries. The request must not change anything.
func (c *Client) read(ctx context.Context, method, path string, request, answer any) error {
	_, err := retry(ctx, func() (struct{}, error) {
		return struct{}{}, c.call(ctx, method, path, request, answer)
	})
	return err
}

// retry runs operation until it succeeds, returns a permanent error or has been
// attempted maxReadAttempts times.
func retry[T any](ctx context.Context, operation backoff.Operation[T]) (T, error) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = initialRetryDelay
	pauses.MaxInterval = maxRetryDelay
	return backoff.Retry(ctx, operation, backoff.WithBackOff(pauses), backoff.WithMaxTries(maxReadAttempts))
}

// call sends request as JSON once and decodes the answer.
func (c *Client) call(ctx context.Context, method, path string, request, answer any) error {
	var body []byte
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return backoff.Permanent(errors.Wrap(err, "encode request"))
		}
		body = encoded
	}
	status, data, err := c.roundTrip(ctx, method, path, body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Errorf("status %d, expected 200: %s", status, bytes.TrimSpace(data[:min(len(data), maxErrorBytes)]))
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return errors.Wrapf(ErrBadAnswer, "decode answer: %v", err)
	}
	return nil
}

// roundTrip sends one HTTP request and returns the status and the whole body of its
// answer.
func (c *Client) roundTrip(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, backoff.Permanent(errors.Wrap(err, "create request"))
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return 0, nil, errors.Wrap(err, "read answer")
	}
	if len(data) > maxAnswerBytes {
		return 0, nil, backoff.Permanent(errors.Errorf("answer is larger than %d bytes", maxAnswerBytes))
	}
	return response.StatusCode, data, nil
}
