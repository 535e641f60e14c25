package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	clientTimeout       = 15 * time.Second
	leaderTimeout       = 20 * time.Second
	leaderRetryInterval = 200 * time.Millisecond
	maxResponseBytes    = 1 << 30
)

// Client sends an operator's requests to the processes of a fleet.
type Client struct {
	controlAddresses []string
	routerAddresses  []string
	key              string
	client           *http.Client
	scheme           string
}

type jsonFleet struct {
	ControlAddresses []string `json:"controlAddresses"`
	RouterAddresses  []string `json:"routerAddresses"`
	KeyFile          string   `json:"keyFile"`
	TLS              bool     `json:"tls,omitempty"`
}

// LoadClient reads a fleet file and returns a client for the fleet.
func LoadClient(path string) (*Client, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Errorf("%s: the fleet file cannot be read: set its path with --fleet", path)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var w jsonFleet
	if err := decoder.Decode(&w); err != nil {
		return nil, errors.Errorf("%s: %v", path, err)
	}
	if len(w.ControlAddresses) == 0 {
		return nil, errors.Errorf("%s: controlAddresses: is missing: list the operator addresses of the control VMs", path)
	}
	keyFile := w.KeyFile
	if !filepath.IsAbs(keyFile) {
		keyFile = filepath.Join(filepath.Dir(path), keyFile)
	}
	key, err := os.ReadFile(keyFile)
	if err != nil {
		return nil, errors.Errorf("%s: keyFile: %s cannot be read", path, keyFile)
	}
	scheme := "http"
	if w.TLS {
		scheme = "https"
	}
	return &Client{w.ControlAddresses, w.RouterAddresses, strings.TrimSpace(string(key)), &http.Client{Timeout: clientTimeout}, scheme}, nil
}

// NewClient returns a client without an operator key for the control VMs with the given
// operator addresses.
func NewClient(controlAddresses []string) *Client {
	return &Client{controlAddresses: controlAddresses, client: &http.Client{Timeout: clientTimeout}, scheme: "http"}
}

// Addresses returns the operator addresses of all control VMs and routers.
func (c *Client) Addresses() []string {
	return append(append([]string(nil), c.controlAddresses...), c.routerAddresses...)
}

// Response is the response of a process to an operator's request.
type Response struct {
	status int
	body   []byte
}

// Status returns the HTTP status.
func (r Response) Status() int { return r.status }

// Body returns the JSON body.
func (r Response) Body() []byte { return r.body }

// Err returns the error that the response reports, or nil if its status is 200.
func (r Response) Err() error {
	if r.status == http.StatusOK {
		return nil
	}
	var w map[string]Error
	if err := json.Unmarshal(r.body, &w); err != nil || w["error"].Kind == "" {
		return errors.Errorf("status %d", r.status)
	}
	return errors.Errorf("%s: %s", w["error"].Kind, w["error"].Message)
}

// SendToLeader sends a request to the control VMs in turn until the leader handles
// it or leaderTimeout has passed.
func (c *Client) SendToLeader(ctx context.Context, method, path string, body []byte) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	var lastErr error
	for {
		for _, address := range c.controlAddresses {
			response, err := c.Send(ctx, address, method, path, body)
			if err == nil && response.status != http.StatusMisdirectedRequest && response.status != http.StatusServiceUnavailable {
				return response, nil
			}
			if lastErr = err; err == nil {
				lastErr = response.Err()
			}
		}
		select {
		case <-ctx.Done():
			return Response{}, errors.Wrap(lastErr, "no control VM could serve the request")
		case <-time.After(leaderRetryInterval):
		}
	}
}

// Send sends a request to the process with the given operator address.
func (c *Client) Send(ctx context.Context, address, method, path string, body []byte) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return Response{}, errors.Wrap(err, "create request")
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.client.Do(request)
	if err != nil {
		return Response{}, errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }() // the body is not read any further
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return Response{response.StatusCode, data}, errors.Wrap(err, "read response body")
}
