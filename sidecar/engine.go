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
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	engineConns     = 512
	engineQuiet     = 5 * time.Second
	maxReportBytes  = 1 << 20
	idleEngineConns = 90 * time.Second
)

// engineClient speaks to the endpoint over HTTP. Calls that run at most once go
// through a client of their own: net/http sends a request again when a reused
// connection breaks and the request has an Idempotency-Key, so that client
// reuses no connection.
type engineClient struct {
	base string
	// many serves idempotent calls on kept connections.
	many *http.Client
	// single serves calls that run at most once.
	single *http.Client
}

func newEngineClient(base string) *engineClient {
	return &engineClient{
		base: strings.TrimSuffix(base, "/"),
		many: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: engineConns,
			IdleConnTimeout:     idleEngineConns,
			DisableCompression:  true,
		}, CheckRedirect: keepRedirect},
		single: &http.Client{Transport: &http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
		}, CheckRedirect: keepRedirect},
	}
}

// keepRedirect passes a redirect on to the caller: following one would run the
// call again.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// call sends the attempt's request with body to the endpoint.
func (c *engineClient) call(ctx context.Context, d *wire.Dispatch, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, d.Method, c.base+d.Path, onlyReader{body})
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	req.ContentLength = d.BodyBytes
	for k, v := range d.Header {
		req.Header.Set(k, v)
	}
	req.Header.Set(engine.HeaderRequestID, engineRequestID(d.Attempt))
	req.Header.Set(engine.HeaderPriority, strconv.Itoa(d.Priority))
	client := c.many
	if d.Claim != nil {
		client = c.single
	}
	res, err := client.Do(req)
	return res, asDialError(err)
}

// onlyReader hides a body's other methods, so that net/http cannot rewind it and
// send it again.
type onlyReader struct{ io.Reader }

// load reads the engine's report.
func (c *engineClient) load(ctx context.Context) (engine.Load, error) {
	var l engine.Load
	ctx, cancel := context.WithTimeout(ctx, engineQuiet)
	defer cancel()
	return l, c.get(ctx, engine.PathLoad, &l)
}

func (c *engineClient) get(ctx context.Context, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	return c.do(req, out)
}

func (c *engineClient) do(req *http.Request, out any) error {
	res, err := c.many.Do(req)
	if err != nil {
		return errors.Wrap(err, "ask engine")
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReportBytes))
	if err != nil {
		return errors.Wrap(err, "read engine's answer")
	}
	if !httpStatusOK(res.StatusCode) {
		return &engineStatus{status: res.StatusCode, body: body}
	}
	if out == nil || len(bytes.TrimSpace(body)) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(body, out), "decode engine's answer")
}

// engineStatus is an answer of the engine that is not a success.
type engineStatus struct {
	status int
	body   []byte
}

func (e *engineStatus) Error() string { return "engine answered " + strconv.Itoa(e.status) }

// held lists the exported and imported caches that the engine holds.
func (c *engineClient) held(ctx context.Context) (engine.KVList, error) {
	var list engine.KVList
	ctx, cancel := context.WithTimeout(ctx, engineQuiet)
	defer cancel()
	return list, c.get(ctx, engine.PathKV, &list)
}

// order gives the engine an order and waits until it is carried out.
func (c *engineClient) order(ctx context.Context, o engine.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+engine.PathOrders, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	req.Header.Set("Content-Type", "application/json")
	return c.do(req, nil)
}

// refusedByEngine reports whether the engine will never carry the order out.
func refusedByEngine(err error) bool {
	var status *engineStatus
	return errors.As(err, &status) && status.status >= http.StatusBadRequest && status.status < http.StatusInternalServerError
}

// cancel cancels the request called id at the engine, which frees its memory.
func (c *engineClient) cancel(ctx context.Context, id string) error {
	return c.remove(ctx, engine.PathRequests+id)
}

// freeKV frees the exported or imported cache called handle.
func (c *engineClient) freeKV(ctx context.Context, handle string) error {
	return c.remove(ctx, engine.PathKV+"/"+handle)
}

// remove deletes path at the engine. What is not there counts as deleted.
func (c *engineClient) remove(ctx context.Context, path string) error {
	ctx, stop := context.WithTimeout(ctx, engineQuiet)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.base+path, nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	err = c.do(req, nil)
	var status *engineStatus
	if errors.As(err, &status) && status.status == http.StatusNotFound {
		return nil
	}
	return err
}
