package vmlist

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/meter"
)

const (
	requestTimeout = 2 * time.Second
	// maxListBytes bounds the response of the list service.
	maxListBytes = 8 << 20
	// headerBytes is the estimated size of the headers of a request and its response.
	headerBytes = 260
)

// ErrUnavailable means that the list service did not return a usable response.
var ErrUnavailable = errors.New("VM list service is unavailable")

// Client reads the list. It is used by one goroutine.
type Client struct {
	url   string
	http  *http.Client
	meter *meter.Meter
	etag  string
	last  *List
}

// NewClient returns a client of the list service at baseURL.
func NewClient(baseURL string, hc *http.Client, m *meter.Meter) *Client {
	return &Client{url: baseURL + "/vms", http: hc, meter: m}
}

// Fetch returns the current list. If the list has not changed, the service answers
// without a body, and Fetch returns the previous list.
func (c *Client) Fetch(ctx context.Context) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build VM list request")
	}
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.meter.Add(meter.VMList, meter.HTTPExchangeBytes(headerBytes))
		return nil, eris.Wrapf(ErrUnavailable, "get VM list: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	c.meter.Add(meter.VMList, meter.HTTPExchangeBytes(headerBytes+len(body)))
	if err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "read VM list: %v", err)
	}
	return c.decodeResponse(resp, body)
}

func (c *Client) decodeResponse(resp *http.Response, body []byte) (*List, error) {
	switch {
	case resp.StatusCode == http.StatusNotModified && c.last != nil:
		return c.last, nil
	case resp.StatusCode != http.StatusOK:
		return nil, eris.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
	case len(body) > maxListBytes:
		return nil, eris.Wrapf(ErrInvalid, "more than %d bytes", maxListBytes)
	}
	list, err := Decode(body)
	if err != nil {
		return nil, err
	}
	c.etag = resp.Header.Get("ETag")
	c.last = list
	return list, nil
}
