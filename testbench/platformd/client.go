package platformd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"
)

// Client talks to the control paths.
type Client struct {
	// URL is the server's, without a path.
	URL string
}

// SetFaults replaces the faults in force.
func (c Client) SetFaults(ctx context.Context, faults Faults) error {
	return c.call(ctx, http.MethodPut, "/control/faults", faults, nil)
}

// Faults returns the faults in force.
func (c Client) Faults(ctx context.Context) (Faults, error) {
	var faults Faults
	return faults, c.call(ctx, http.MethodGet, "/control/faults", nil, &faults)
}

// ChangeInstance changes the instance list; it shows after the lag.
func (c Client) ChangeInstance(ctx context.Context, change InstanceChange) error {
	return c.call(ctx, http.MethodPost, "/control/instances", change, nil)
}

// Counts returns the numbers of requests since the start.
func (c Client) Counts(ctx context.Context) (Counts, error) {
	var counts Counts
	return counts, c.call(ctx, http.MethodGet, "/control/counts", nil, &counts)
}

// Rows returns the rows whose key starts with prefix, past all faults.
func (c Client) Rows(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	path := "/control/rows?prefix=" + url.QueryEscape(prefix)
	return rows, c.call(ctx, http.MethodGet, path, nil, &rows)
}

func (c Client) call(ctx context.Context, method, path string, body, into any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("%s %s: %s: %s", method, path, response.Status, answer)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(answer, into)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
