package logstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/meter"
)

const (
	// requestTimeout limits one call; a read adds its wait.
	requestTimeout = 2 * time.Second
	userAgent      = "bluebellwell"
)

// Client is the HTTP client of the log service. It is safe for concurrent use.
type Client struct {
	baseURL        string
	http           *http.Client
	meter          *meter.Meter
	appendCategory meter.Category
	readCategory   meter.Category
}

var _ Log = (*Client)(nil)

// NewClient returns a client of the log service at baseURL, such as
// "http://10.0.0.5:8200". It counts the bytes of appends and reads in m under the
// given categories.
func NewClient(baseURL string, hc *http.Client, m *meter.Meter, appendCategory, readCategory meter.Category) *Client {
	return &Client{
		baseURL:        baseURL,
		http:           hc,
		meter:          m,
		appendCategory: appendCategory,
		readCategory:   readCategory,
	}
}

// Append implements Log. It never retries, because a failed append may have taken
// effect.
func (c *Client) Append(ctx context.Context, stream string, data [][]byte) (uint64, error) {
	body, err := encodeAppend(data)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	status, respBody, err := c.do(ctx, c.appendCategory, http.MethodPost, c.recordsURL(stream), body)
	if err != nil {
		return 0, err
	}
	switch status {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		return 0, ErrRateLimited
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return 0, eris.Wrapf(ErrRefused, "append to stream %s: status %d", stream, status)
	default:
		return 0, eris.Wrapf(ErrUnavailable, "append to stream %s: status %d", stream, status)
	}
	var appended struct {
		FirstOffset *uint64 `json:"first_offset"`
	}
	if err := json.Unmarshal(respBody, &appended); err != nil || appended.FirstOffset == nil {
		return 0, eris.Wrapf(ErrUnavailable, "append to stream %s: invalid response", stream)
	}
	return *appended.FirstOffset, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, offset uint64, maxRecords int, wait time.Duration) (Page, error) {
	if maxRecords < 1 || wait < 0 {
		return Page{}, eris.Wrap(ErrRefused, "max must be at least 1 and wait at least 0")
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+wait)
	defer cancel()
	query := "?from=" + strconv.FormatUint(offset, 10) +
		"&max=" + strconv.Itoa(maxRecords) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	status, respBody, err := c.do(ctx, c.readCategory, http.MethodGet, c.recordsURL(stream)+query, nil)
	if err != nil {
		return Page{}, err
	}
	switch status {
	case http.StatusOK, http.StatusGone:
	case http.StatusBadRequest:
		return Page{}, eris.Wrapf(ErrRefused, "read of stream %s: status %d", stream, status)
	default:
		return Page{}, eris.Wrapf(ErrUnavailable, "read of stream %s: status %d", stream, status)
	}
	page, err := decodePage(respBody, offset, maxRecords, status)
	if err != nil {
		return Page{}, eris.Wrapf(ErrUnavailable, "read of stream %s: %v", stream, err)
	}
	if status == http.StatusGone {
		return page, ErrBelowFloor
	}
	return page, nil
}

func (c *Client) recordsURL(stream string) string {
	return c.baseURL + "/streams/" + url.PathEscape(stream) + "/records"
}

// do sends one request and reads the whole response. A failure to send or
// to read is ErrUnavailable.
func (c *Client) do(ctx context.Context, category meter.Category, method, target string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, eris.Wrapf(ErrRefused, "build the request: %v", err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	} else {
		req.Body = http.NoBody
	}
	// Set both headers here, because the byte count would miss the values that the
	// transport adds on its own.
	req.Header.Set("User-Agent", userAgent)
	req.Header.Set("Accept-Encoding", "identity")
	sent := requestBytes(req, len(body))
	resp, err := c.http.Do(req)
	if err != nil {
		c.meter.Add(category, meter.HTTPExchangeBytes(sent))
		return 0, nil, eris.Wrapf(ErrUnavailable, "%s %s: %v", method, req.URL.Path, err)
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes+1))
	c.meter.Add(category, meter.HTTPExchangeBytes(sent+responseBytes(resp, len(respBody))))
	if err != nil {
		return 0, nil, eris.Wrapf(ErrUnavailable, "read the response: %v", err)
	}
	if len(respBody) > MaxBodyBytes {
		return 0, nil, eris.Wrapf(ErrUnavailable, "the response is larger than %d bytes", MaxBodyBytes)
	}
	return resp.StatusCode, respBody, nil
}

func encodeAppend(data [][]byte) ([]byte, error) {
	if len(data) == 0 || len(data) > MaxAppendRecords {
		return nil, eris.Wrapf(ErrRefused, "%d records in one append", len(data))
	}
	body := WireAppend{Records: make([]WireData, len(data))}
	for i, d := range data {
		if len(d) > MaxRecordBytes {
			return nil, eris.Wrapf(ErrRefused, "record of %d bytes", len(d))
		}
		body.Records[i].Data = d
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrapf(ErrRefused, "encode the append: %v", err)
	}
	if len(encoded) > MaxBodyBytes {
		return nil, eris.Wrapf(ErrRefused, "append of %d bytes", len(encoded))
	}
	return encoded, nil
}

// decodePage checks that the records of a page start at the requested offset and
// have no gap, because the readers of the streams rely on it.
func decodePage(respBody []byte, offset uint64, maxRecords, status int) (Page, error) {
	var wire struct {
		Floor   *uint64      `json:"floor"`
		Head    *uint64      `json:"head"`
		Records []WireRecord `json:"records"`
	}
	if err := json.Unmarshal(respBody, &wire); err != nil {
		return Page{}, eris.New("the response is not valid JSON")
	}
	if wire.Floor == nil || wire.Head == nil || *wire.Floor > *wire.Head {
		return Page{}, eris.New("the response has no valid floor and head")
	}
	page := Page{Floor: *wire.Floor, Head: *wire.Head}
	if status == http.StatusGone {
		if offset >= page.Floor {
			return Page{}, eris.New("the offset was refused although it is not below the floor")
		}
		return page, nil
	}
	if len(wire.Records) > maxRecords {
		return Page{}, eris.Errorf("the response has %d records, %d were requested", len(wire.Records), maxRecords)
	}
	for i, r := range wire.Records {
		if r.Offset != offset+uint64(i) || r.Offset >= page.Head {
			return Page{}, eris.Errorf("record %d of the response has offset %d", i, r.Offset)
		}
		page.Records = append(page.Records, Record(r))
	}
	return page, nil
}

// requestBytes returns the size of a request as written in HTTP/1.1.
func requestBytes(req *http.Request, body int) int {
	n := len(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n\r\n", req.Method, req.URL.RequestURI(), req.URL.Host))
	if body > 0 {
		n += len(fmt.Sprintf("Content-Length: %d\r\n", body))
	}
	return n + headerBytes(req.Header) + body
}

// responseBytes returns the size of a response as written in HTTP/1.1. A chunked
// response is counted as a single chunk.
func responseBytes(resp *http.Response, body int) int {
	n := len(fmt.Sprintf("HTTP/1.1 %s\r\n\r\n", resp.Status))
	if resp.ContentLength < 0 {
		n += len("Transfer-Encoding: chunked\r\n") + len(fmt.Sprintf("%x\r\n\r\n0\r\n\r\n", body))
	}
	return n + headerBytes(resp.Header) + body
}

func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(": ") + len(v) + len("\r\n")
		}
	}
	return n
}
