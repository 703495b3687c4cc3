package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/framing"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	maxIdleConns = 512
	// engineTimeout bounds a request to the engine that is neither a call nor an order,
	// and the registration of an incarnation with control.
	engineTimeout = 5 * time.Second
	// maxReportBytes is the number of bytes that are read of the engine's answer to a request
	// other than a call; the rest is ignored.
	maxReportBytes  = 1 << 20
	idleConnTimeout = 90 * time.Second
)

// engineClient is the HTTP client of the endpoint. Calls that run at most once use a
// separate client that reuses no connection: net/http retries a request with an
// Idempotency-Key if a reused connection breaks.
type engineClient struct {
	base string
	// pooled reuses connections. It is for all calls that may run more than once.
	pooled *http.Client
	// unpooled opens a new connection for each call. It is for calls that run at most
	// once.
	unpooled *http.Client
}

func newEngineClient(base string) *engineClient {
	return &engineClient{
		base: strings.TrimSuffix(base, "/"),
		pooled: &http.Client{Transport: framing.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		}), CheckRedirect: returnRedirect},
		unpooled: &http.Client{Transport: framing.NewTransport(&http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
		}), CheckRedirect: returnRedirect},
	}
}

// returnRedirect makes the client return a redirect as the answer, which is passed to the
// caller. Following the redirect would run the call again.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// call sends the request of an attempt to the endpoint. The error is a *dialError if no
// connection was established.
func (c *engineClient) call(ctx context.Context, d *wire.Dispatch, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, d.Method, c.base+d.Path, onlyReader{body})
	if err != nil {
		return nil, errors.Wrap(err, "build request to engine")
	}
	req.ContentLength = d.BodyBytes
	for k, v := range d.Header {
		req.Header.Set(k, v)
	}
	req.Header.Set(engine.HeaderRequestID, engineRequestID(d.Attempt))
	req.Header.Set(engine.HeaderPriority, strconv.Itoa(d.Priority))
	client := c.pooled
	if d.Claim != nil {
		client = c.unpooled
	}
	res, err := client.Do(req)
	return res, asDialError(err)
}

// onlyReader hides the other methods of a body, so that net/http cannot rewind the body
// and retry the request.
type onlyReader struct{ io.Reader }

// load reads the engine's load report.
func (c *engineClient) load(ctx context.Context) (engine.Load, error) {
	var l engine.Load
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return l, c.get(ctx, engine.PathLoad, &l)
}

func (c *engineClient) get(ctx context.Context, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return errors.Wrap(err, "build request to engine")
	}
	return c.do(req, out)
}

// do sends req and decodes the JSON answer into out, unless out is nil or the answer is
// empty. An answer other than 2xx is returned as a *statusError.
func (c *engineClient) do(req *http.Request, out any) error {
	res, err := c.pooled.Do(req)
	if err != nil {
		return errors.Wrap(err, "send request to engine")
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReportBytes))
	if err != nil {
		return errors.Wrap(err, "read engine's answer")
	}
	if !httpStatusOK(res.StatusCode) {
		return &statusError{status: res.StatusCode, body: body}
	}
	if out == nil || len(bytes.TrimSpace(body)) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(body, out), "decode engine's answer")
}

// statusError is an answer of the engine with a status other than 2xx.
type statusError struct {
	status int
	body   []byte
}

func (e *statusError) Error() string { return "engine answered with status " + strconv.Itoa(e.status) }

// listKV returns the exported and imported caches that the engine holds.
func (c *engineClient) listKV(ctx context.Context) (engine.KVList, error) {
	var list engine.KVList
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return list, c.get(ctx, engine.PathKV, &list)
}

// order sends an order to the engine and waits until it is carried out.
func (c *engineClient) order(ctx context.Context, o engine.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+engine.PathOrders, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request to engine")
	}
	req.Header.Set("Content-Type", "application/json")
	return c.do(req, nil)
}

// refusedByEngine reports whether err is an answer with status 4xx, after which the order
// is not tried again.
func refusedByEngine(err error) bool {
	var status *statusError
	return errors.As(err, &status) && status.status >= http.StatusBadRequest && status.status < http.StatusInternalServerError
}

// cancel cancels the request with this ID at the engine, which frees its memory.
func (c *engineClient) cancel(ctx context.Context, id string) error {
	return c.remove(ctx, engine.PathRequests+id)
}

// freeKV frees the exported or imported cache with this handle.
func (c *engineClient) freeKV(ctx context.Context, handle string) error {
	return c.remove(ctx, engine.PathKV+"/"+handle)
}

// remove deletes path at the engine. An answer with status 404 counts as success.
func (c *engineClient) remove(ctx context.Context, path string) error {
	ctx, stop := context.WithTimeout(ctx, engineTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.base+path, nil)
	if err != nil {
		return errors.Wrap(err, "build request to engine")
	}
	err = c.do(req, nil)
	var status *statusError
	if errors.As(err, &status) && status.status == http.StatusNotFound {
		return nil
	}
	return err
}
