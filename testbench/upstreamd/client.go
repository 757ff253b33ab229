package upstreamd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// Client talks to the control endpoint of a process.
type Client struct {
	// URL is the endpoint's, without a path.
	URL string
}

// Layout returns the addresses of the listeners.
func (c Client) Layout(ctx context.Context) (Layout, error) {
	var layout Layout
	return layout, c.get(ctx, "/layout", &layout)
}

// Status returns the state of all upstreams.
func (c Client) Status(ctx context.Context) ([]Status, error) {
	var all []Status
	return all, c.get(ctx, "/status", &all)
}

// Log returns the entries that follow the sequence number after.
func (c Client) Log(ctx context.Context, after uint64) ([]Entry, error) {
	var entries []Entry
	return entries, c.get(ctx, fmt.Sprintf("/log?after=%d", after), &entries)
}

// Apply carries out a fault.
func (c Client) Apply(ctx context.Context, fault Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+"/fault", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return send(request, nil)
}

func (c Client) get(ctx context.Context, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL+path, nil)
	if err != nil {
		return err
	}
	return send(request, into)
}

func send(request *http.Request, into any) error {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("%s: %s: %s", request.URL.Path, response.Status, body)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(body, into)
}
