// Package forwarder sends requests to targets and reads their responses.
//
// A request that fails carries a verdict on whether it may have run. Only a
// request for which no connection to the target was made has certainly not run.
package forwarder

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/pkg/protocol/classifier"
	"radishshed.example/radishshed/pkg/state/pricer"
)

const (
	// RequestIDHeader is the header that carries the identifier of a request to a
	// target. The target repeats it in its response.
	RequestIDHeader = "X-Request-Id"
	// RequestLimitHeader is the header in which a target names the requests a second that it
	// takes from all routers together, as a decimal number.
	RequestLimitHeader = "X-Request-Limit"
	// LeavingHeader is the header with which a target says that it leaves.
	LeavingHeader = "X-Target-Leaving"
	// LeavingValue is the value of LeavingHeader.
	LeavingValue          = "1"
	dialTimeout           = 2 * time.Second
	queryTimeout          = 2 * time.Second
	maxResponseBytes      = 64 << 20
	maxHeaderBytes        = 64 << 10
	maxQueryResponseBytes = 1 << 20
	idleTimeout           = 30 * time.Second
	maxIdlePerHost        = 256
	keepAlivePeriod       = 5 * time.Second
)

// Request is a request to send to a target.
type Request struct {
	// ID is the identifier of the request. Required.
	ID string
	// Address is the target's address. Required.
	Address string
	// Method and Path are those of the HTTP request. Required.
	Method, Path string
	// Body is the body of the request, and ContentType its type.
	ContentType string
	Body        []byte
	// Repeatable reports whether the request may be sent twice. A request that
	// may not is always sent on a new connection, since an idle connection may
	// have failed unnoticed.
	Repeatable bool
	// Priority is sent in the X-Priority header, for engines that support it.
	Priority string
}

// Response is a target's response whose body has not been read yet. The caller
// must close the body.
type Response struct {
	status      int
	contentType string
	body        io.ReadCloser
	length      int64
	advice      adviser.Advice
}

// Status returns the HTTP status.
func (r *Response) Status() int { return r.status }

// ContentType returns the content type of the body.
func (r *Response) ContentType() string { return r.contentType }

// Advice returns what the target says about itself.
func (r *Response) Advice() adviser.Advice { return r.advice }

// Body returns the body. Reading a body that ends early returns an error.
func (r *Response) Body() io.ReadCloser { return r.body }

// Failure is an error with a verdict on whether the request may have run.
type Failure struct {
	verdict classifier.Verdict
	cause   error
}

// Error returns the message of the cause.
func (f *Failure) Error() string { return f.cause.Error() }

// Verdict returns whether the request may have run.
func (f *Failure) Verdict() classifier.Verdict { return f.verdict }

// Forwarder sends requests. It is safe for concurrent use.
type Forwarder struct {
	pooled   *http.Client
	unpooled *http.Client
	// queryClient fetches usage records and announcements, and resumes streams. It
	// always opens a new connection and bounds the wait for the response headers.
	queryClient *http.Client
}

// Config configures a forwarder.
type Config struct {
	// TLS, if set, is used for connections to targets.
	TLS *tls.Config
	// Dial, if set, opens connections to the addresses of targets. Default: TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// New returns a forwarder.
func New(config Config) *Forwarder {
	var dial dialFunc = (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}).DialContext
	if config.Dial != nil {
		dial = func(ctx context.Context, _, address string) (net.Conn, error) { return config.Dial(ctx, address) }
	}
	transport := func() *http.Transport {
		return &http.Transport{
			DialContext:         dial.withDeliveries(),
			TLSClientConfig:     config.TLS,
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeaderBytes,
		}
	}
	unpooled := transport()
	unpooled.DisableKeepAlives = true
	query := transport()
	query.DisableKeepAlives = true
	query.ResponseHeaderTimeout = queryTimeout
	return &Forwarder{
		pooled:      &http.Client{Transport: transport()},
		unpooled:    &http.Client{Transport: unpooled},
		queryClient: &http.Client{Transport: query},
	}
}

// CloseIdle closes the connections that are idle.
func (f *Forwarder) CloseIdle() { f.pooled.CloseIdleConnections() }

// Send sends the request and returns the response once its headers have been
// read. The context also bounds reading the body.
func (f *Forwarder) Send(ctx context.Context, r Request) (*Response, *Failure) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected = true
			if c, ok := info.Conn.(*connection); ok {
				c.begin(len(r.Body))
			}
		},
	})
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, &Failure{classifier.NotRun{}, errors.Wrap(err, "create request")}
	}
	request.Header.Set(RequestIDHeader, r.ID)
	if r.ContentType != "" {
		request.Header.Set("Content-Type", r.ContentType)
	}
	if r.Priority != "" {
		request.Header.Set("X-Priority", r.Priority)
	}
	client := f.unpooled
	if r.Repeatable {
		client = f.pooled
	} else {
		request.GetBody = nil // prevents the transport from retrying the request
	}
	response, err := client.Do(request)
	if err != nil {
		if !connected {
			return nil, &Failure{classifier.NotRun{}, err}
		}
		return nil, &Failure{classifier.MayHaveRun{}, err}
	}
	if got := response.Header.Get(RequestIDHeader); got != r.ID {
		_ = response.Body.Close() // the response is not relayed
		return nil, &Failure{classifier.MayHaveRun{}, errors.Errorf("response carries the identifier of another request: %q", got)}
	}
	return newResponse(response), nil
}

func newResponse(r *http.Response) *Response {
	return &Response{
		status: r.StatusCode, contentType: r.Header.Get("Content-Type"), body: r.Body, length: r.ContentLength,
		advice: adviser.New(adviser.Config{
			RateLimit: adviser.ParseRateLimit(r.Header.Values(RequestLimitHeader)),
			Leaving:   slices.Equal(r.Header.Values(LeavingHeader), []string{LeavingValue}),
		}),
	}
}

// ReadAll reads the whole body and closes it. A body that is shorter than its
// Content-Length is an error.
func (r *Response) ReadAll() ([]byte, error) {
	defer func() { _ = r.body.Close() }() // the body is not read any further
	data, err := io.ReadAll(io.LimitReader(r.body, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response body")
	}
	if len(data) > maxResponseBytes {
		return nil, errors.Errorf("response body is larger than %d bytes", maxResponseBytes)
	}
	return data, nil
}

// UsageRecord is the state and the usage of one request, as its target reports
// them.
type UsageRecord struct {
	known    bool
	finished bool
	status   int
	usage    pricer.Usage
}

// Known reports whether the target has received the request.
func (r UsageRecord) Known() bool { return r.known }

// Finished reports whether the target has finished the request.
func (r UsageRecord) Finished() bool { return r.finished }

// Status returns the HTTP status of the target's response, or zero if there is none.
func (r UsageRecord) Status() int { return r.status }

// Usage returns the tokens that the request has consumed so far.
func (r UsageRecord) Usage() pricer.Usage { return r.usage }

type jsonUsageRecord struct {
	Finished         bool  `json:"finished"`
	Status           int   `json:"status"`
	PromptTokens     int64 `json:"promptTokens"`
	CompletionTokens int64 `json:"completionTokens"`
}

// FetchUsage asks a target for its record of a request, on a new connection. If
// the target has not received the request, the record is not Known.
func (f *Forwarder) FetchUsage(ctx context.Context, address, requestID string) (UsageRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/usage/"+requestID, nil)
	if err != nil {
		return UsageRecord{}, errors.Wrap(err, "create request for usage record")
	}
	response, err := f.queryClient.Do(r)
	if err != nil {
		return UsageRecord{}, errors.Wrap(err, "fetch usage record")
	}
	defer func() { _ = response.Body.Close() }() // the body is not read any further
	switch response.StatusCode {
	case http.StatusNotFound:
		return UsageRecord{}, nil
	case http.StatusOK:
	default:
		return UsageRecord{}, errors.Errorf("fetch usage record: unexpected status %d", response.StatusCode)
	}
	var w jsonUsageRecord
	if err := json.NewDecoder(io.LimitReader(response.Body, maxQueryResponseBytes)).Decode(&w); err != nil {
		return UsageRecord{}, errors.Wrap(err, "decode usage record")
	}
	usage, err := pricer.NewUsage(w.PromptTokens, w.CompletionTokens)
	return UsageRecord{known: true, finished: w.Finished, status: w.Status, usage: usage}, err
}

// FetchAnnouncement requests the announcement of a target from the target itself.
func (f *Forwarder) FetchAnnouncement(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/announcement", nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request for announcement")
	}
	response, err := f.queryClient.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "fetch announcement")
	}
	defer func() { _ = response.Body.Close() }() // the body is not read any further
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("fetch announcement: unexpected status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxQueryResponseBytes))
	return data, errors.Wrap(err, "read announcement")
}

// openStream requests the events of a stream from the event with the given index on,
// over a new connection.
func (f *Forwarder) openStream(ctx context.Context, address, requestID string, from int) (*Response, error) {
	url := "http://" + address + "/v1/streams/" + requestID
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request to resume stream")
	}
	query := r.URL.Query()
	query.Set("from", strconv.Itoa(from))
	r.URL.RawQuery = query.Encode()
	response, err := f.queryClient.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "resume stream")
	}
	if response.StatusCode != http.StatusOK || response.Header.Get(RequestIDHeader) != requestID {
		_ = response.Body.Close() // the response is not relayed
		return nil, errors.Errorf("resume stream: status %d, or the response carries the identifier of another request", response.StatusCode)
	}
	return newResponse(response), nil
}

// NewFailure returns a failure with the verdict and the cause.
func NewFailure(verdict classifier.Verdict, cause error) *Failure { return &Failure{verdict, cause} }
