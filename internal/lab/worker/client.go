package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
)

// Client calls the control listener of a worker in another process. Its
// methods fail with ErrControl.
type Client struct {
	base   string
	client *http.Client
}

// NewClient returns a client for a control address, host:port.
func NewClient(controlAddress string) *Client {
	return &Client{base: "http://" + controlAddress, client: http.DefaultClient}
}

// Records returns a record for each request that the worker received, and totals.
func (c *Client) Records(ctx context.Context) ([]Record, Totals, error) {
	var answer recordsAnswer
	err := c.do(ctx, http.MethodGet, pathRecords, nil, &answer)
	return answer.Records, answer.Totals, err
}

// ResetRecords deletes all records and sets the totals to zero.
func (c *Client) ResetRecords(ctx context.Context) error {
	return c.do(ctx, http.MethodDelete, pathRecords, nil, nil)
}

// SetFaults replaces the active faults.
func (c *Client) SetFaults(ctx context.Context, faults ...Fault) error {
	return c.do(ctx, http.MethodPut, pathFaults, append([]Fault{}, faults...), nil)
}

// SetReportingFault makes the health and load endpoints report stale or false values.
func (c *Client) SetReportingFault(ctx context.Context, m ReportingFault) error {
	return c.do(ctx, http.MethodPut, pathReportingFault, m, nil)
}

// Drain makes the worker refuse further requests.
func (c *Client) Drain(ctx context.Context) error {
	return c.do(ctx, http.MethodPost, pathDrain, nil, nil)
}

func (c *Client) do(ctx context.Context, method, path string, body, answer any) error {
	var encoded bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&encoded).Encode(body); err != nil {
			return ErrControl.Wrap(err, "encode for %s", path)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, &encoded)
	if err != nil {
		return ErrControl.Wrap(err, "%s %s", method, path)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return ErrControl.Wrap(err, "%s %s", method, path)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return ErrControl.New("%s %s: status %d", method, path, response.StatusCode)
	}
	if answer == nil {
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return ErrControl.Wrap(err, "decode %s", path)
	}
	return nil
}
