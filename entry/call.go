package entry

import (
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/admit"
	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/quota"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/stream"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// Headers of callers.
const (
	// HeaderTimeout is the time in which the request finishes or fails, as a
	// duration such as "30s" or a number of seconds.
	HeaderTimeout = "X-Request-Timeout"
	// HeaderIdempotencyKey names a call that runs at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID carries the request's identifier in every answer.
	HeaderRequestID = "X-Request-Id"
)

// modelRoomBytes is the room for a model's name that is longer than its route's.
const modelRoomBytes = 128

// call is one request on its way.
type call struct {
	id       [16]byte
	started  time.Time
	deadline time.Time
	account  config.Account
	route    config.Route
	method   string
	path     string
	header   map[string]string
	body     []byte
	held     *stream.Reservation
	// digest identifies the content, for at-most-once and quarantine.
	digest uint64
	// timeout is the caller's HeaderTimeout.
	timeout string
	// key is the idempotency key; once is set for a call that runs at most once.
	key  string
	once bool
	// what the choice of endpoint depends on
	want route.Request
	// forecast is what admission predicted, and promptBytes the prompt's length.
	forecast    admit.Forecast
	promptBytes int
	// expected is the prompt's likely length in tokens; want holds its bound.
	expected int
	// alone is set for an attempt that runs with nothing else on its endpoint.
	alone bool
	// notBefore is the end of the latest pause, and pauses counts them.
	notBefore time.Time
	pauses    int
	// runs counts the attempts that ended without proof that they have not run.
	runs int
	// booked is what the request takes of its account's limits while it runs.
	booked quota.Cost
	// usage is what the engine reported for the answer.
	usage usage
	// attempts counts the tries so far; endpoint names the latest one's.
	attempts uint32
	endpoint string
	// firstByte is when the first byte went to the caller.
	firstByte time.Time
}

func (e *Entry) newCall(r *http.Request) *call {
	now := e.clock.Now()
	return &call{
		id:       uuid.New(),
		started:  now,
		deadline: now.Add(e.Deadline.Std()),
		method:   r.Method,
		path:     r.URL.Path,
		timeout:  r.Header.Get(HeaderTimeout),
		key:      r.Header.Get(HeaderIdempotencyKey),
		header:   requestHeader(r),
	}
}

// requestHeader returns the headers that endpoints see. The key of the client
// account is not among them.
func requestHeader(r *http.Request) map[string]string {
	h := map[string]string{}
	for _, name := range []string{"Content-Type", "Accept", HeaderIdempotencyKey} {
		if v := r.Header.Get(name); v != "" {
			h[name] = v
		}
	}
	return h
}

// finish frees what the request holds.
func (e *Entry) finish(c *call) {
	if c.held != nil {
		c.held.Close()
	}
}

// attempt names the next try.
func (c *call) attempt() wire.Attempt {
	c.attempts++
	return wire.Attempt{Request: c.id, Number: c.attempts}
}

// fields returns the key=value pairs of a log line about the request.
func (c *call) fields(more ...any) []any {
	f := []any{"request", hex.EncodeToString(c.id[:]), "account", c.account.Name, "route", c.route.Name}
	return append(f, more...)
}

// readBody reads the whole body once, into memory that the budget allows.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, c *call) error {
	if r.ContentLength > e.MaxBodyBytes {
		return tooLarge(e.MaxBodyBytes)
	}
	r.Body = http.MaxBytesReader(w, r.Body, e.MaxBodyBytes)
	body := &heldBody{held: c.held}
	if r.ContentLength > 0 {
		if !c.held.TryGrow(r.ContentLength) {
			return heldFull()
		}
		body.taken = r.ContentLength
		// The room beyond the body is for a longer name of the model.
		body.data = make([]byte, 0, r.ContentLength+modelRoomBytes)
	}
	_, err := io.Copy(body, r.Body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge(e.MaxBodyBytes)
	case errors.Is(err, errHeldFull):
		return heldFull()
	case err != nil:
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "the body broke off")
	}
	c.body = body.data
	c.digest = xxhash.Sum64(c.body)
	return nil
}

var errHeldFull = errors.New("held bytes are full")

// heldBody collects a body and takes its bytes from the budget as they come.
type heldBody struct {
	held  *stream.Reservation
	data  []byte
	taken int64
}

// Write adds p, or fails when the budget is full.
func (b *heldBody) Write(p []byte) (int, error) {
	if over := int64(len(b.data)+len(p)) - b.taken; over > 0 {
		if !b.held.TryGrow(over) {
			return 0, errHeldFull
		}
		b.taken += over
	}
	b.data = append(b.data, p...)
	return len(p), nil
}

func tooLarge(limit int64) error {
	return verdict.Refuse(verdict.ReasonTooLarge, 0, "the body is over %d bytes", limit)
}

func heldFull() error {
	return verdict.Refuse(verdict.ReasonOverloaded, time.Second, "too many bytes are held for callers")
}

// parseTimeout reads a HeaderTimeout.
func parseTimeout(s string) (time.Duration, error) {
	if seconds, err := strconv.ParseFloat(s, 64); err == nil && seconds > 0 {
		return time.Duration(seconds * float64(time.Second)), nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 {
		return 0, verdict.Refuse(verdict.ReasonBadRequest, 0, "%s wants a duration such as 30s", HeaderTimeout)
	}
	return d, nil
}

// setDeadline takes the request's own deadline, else the route's, else ours.
func (c *call) setDeadline() error {
	if c.route.Deadline > 0 {
		c.deadline = c.started.Add(c.route.Deadline)
	}
	if c.timeout == "" {
		return nil
	}
	d, err := parseTimeout(c.timeout)
	if err != nil {
		return err
	}
	c.deadline = c.started.Add(d)
	return nil
}
