package entry

import (
	"encoding/hex"
	"io"
	"net/http"
	"os"
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

// Headers of requests and answers.
const (
	// HeaderTimeout is the request's time limit, counted from its arrival, as a duration
	// such as "30s" or a number of seconds.
	HeaderTimeout = "X-Request-Timeout"
	// HeaderIdempotencyKey identifies a call that runs at most once among the calls of its
	// client account.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID carries the identifier that the entry gave to the request. Every answer
	// to a model or service request has it.
	HeaderRequestID = "X-Request-Id"
)

// modelNameHeadroomBytes is the spare capacity of a body, for a model name that is longer
// than the route name that it replaces.
const modelNameHeadroomBytes = 128

// call is the state of one request from its arrival to its answer.
type call struct {
	id        [16]byte
	startedAt time.Time
	deadline  time.Time
	account   config.Account
	route     config.Route
	method    string
	path      string
	header    map[string]string
	body      []byte
	// bodyComplete is set once the whole body has been read, and bodyFailed once a read of it has
	// failed.
	bodyComplete, bodyFailed bool
	// memory is the part of the entry's memory budget that the request holds.
	memory *stream.Reservation
	// digest is a hash of the content, for at-most-once execution and quarantine.
	digest uint64
	// timeoutHeader is the value of HeaderTimeout, or empty.
	timeoutHeader string
	// idempotencyKey is the value of HeaderIdempotencyKey, or empty. atMostOnce is set for a
	// call that must not run twice.
	idempotencyKey string
	atMostOnce     bool
	// routing is the input to the choice of an endpoint. Its PromptTokens is an upper bound.
	routing route.Request
	// forecast is the time that admission predicted. promptBytes is the prompt's length.
	forecast    admit.Forecast
	promptBytes int
	// expectedPromptTokens is the likely length of the prompt, in tokens.
	expectedPromptTokens int
	// alone is set while the call must run with no other request on its endpoint.
	alone bool
	// notBefore is the end of the latest backoff, and backoffs counts them.
	notBefore time.Time
	backoffs  int
	// uncertainAttempts counts the attempts that ended without proof that they did not run.
	uncertainAttempts int
	// granted is set once the sidecar has granted the latest attempt, and retryGranted once that
	// attempt may be followed by another one.
	granted, retryGranted bool
	// controlSilentSince is when control first gave no answer to the request for a permit; zero if
	// it has answered since.
	controlSilentSince time.Time
	// probe is set for the call of a probe.
	probe bool
	// reservedQuota is the part of its account's limits that the request reserves while it
	// runs.
	reservedQuota quota.Cost
	// usage is the number of tokens that the engine reported for the answer.
	usage usage
	// attempts counts the attempts so far. endpoint names the endpoint of the latest.
	attempts uint32
	endpoint string
	// firstByteAt is when the first bytes of an answer arrived from an endpoint.
	firstByteAt time.Time
}

// newCall returns the call for r, with the default deadline.
func (e *Entry) newCall(r *http.Request) *call {
	now := e.clock.Now()
	return &call{
		id:             uuid.New(),
		startedAt:      now,
		deadline:       now.Add(e.Deadline.Std()),
		method:         r.Method,
		path:           r.URL.Path,
		timeoutHeader:  r.Header.Get(HeaderTimeout),
		idempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		header:         requestHeader(r),
	}
}

// requestHeader returns the headers that are forwarded to endpoints. The Authorization
// header is not among them, because it holds the key of the client account.
func requestHeader(r *http.Request) map[string]string {
	h := map[string]string{}
	for _, name := range []string{"Content-Type", "Accept", HeaderIdempotencyKey} {
		if v := r.Header.Get(name); v != "" {
			h[name] = v
		}
	}
	return h
}

// freeMemory returns the memory that the request holds to the budget.
func (e *Entry) freeMemory(c *call) {
	if c.memory != nil {
		c.memory.Close()
	}
}

// nextAttempt counts another attempt and returns its identifier.
func (c *call) nextAttempt() wire.Attempt {
	c.attempts++
	return wire.Attempt{Request: c.id, Number: c.attempts}
}

// logFields returns the key-value pairs of a log line about the request, followed by more.
func (c *call) logFields(more ...any) []any {
	f := []any{"request", hex.EncodeToString(c.id[:]), "account", c.account.Name, "route", c.route.Name}
	return append(f, more...)
}

// readBody reads the request's body into memory reserved from the entry's budget, and sets
// the digest.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, c *call) error {
	if r.ContentLength > e.MaxBodyBytes {
		return bodyTooLarge(e.MaxBodyBytes)
	}
	body := &bodyBuffer{memory: c.memory}
	if r.ContentLength > 0 {
		if !c.memory.TryGrow(r.ContentLength) {
			return memoryLimitRefusal()
		}
		body.reserved = r.ContentLength
		// The spare capacity is for a model name that is longer than the route name.
		body.data = make([]byte, 0, r.ContentLength+modelNameHeadroomBytes)
	}
	if err := e.copyBody(w, r, c, body); err != nil {
		return err
	}
	c.body, c.bodyComplete = body.data, true
	c.digest = xxhash.Sum64(c.body)
	return nil
}

// copyBody reads the request's body until the deadline that is known before the body is parsed.
func (e *Entry) copyBody(w http.ResponseWriter, r *http.Request, c *call, body *bodyBuffer) error {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	deadline := c.deadline
	if d, err := parseTimeout(c.timeoutHeader); err == nil {
		deadline = c.startedAt.Add(d)
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(deadline); err != nil {
		return errors.Wrap(err, "set the read deadline of the body")
	}
	n, err := io.Copy(body, io.LimitReader(r.Body, e.MaxBodyBytes+1))
	switch {
	case errors.Is(err, errMemoryLimit):
		return memoryLimitRefusal()
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.bodyFailed = true
		return verdict.Refuse(verdict.ReasonDeadline, 0, "the body has not arrived in time")
	case err != nil:
		c.bodyFailed = true
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "the body broke off")
	case n > e.MaxBodyBytes:
		return bodyTooLarge(e.MaxBodyBytes)
	}
	return errors.Wrap(control.SetReadDeadline(time.Time{}), "clear the read deadline of the body")
}

// errMemoryLimit is returned by bodyBuffer.Write when the memory budget is exhausted.
var errMemoryLimit = errors.New("memory budget exhausted")

// bodyBuffer collects a request's body and reserves memory for it as it arrives.
type bodyBuffer struct {
	memory *stream.Reservation
	data   []byte
	// reserved is the number of bytes reserved in memory for data.
	reserved int64
}

// Write appends p, or returns errMemoryLimit if the memory cannot be reserved.
func (b *bodyBuffer) Write(p []byte) (int, error) {
	if excess := int64(len(b.data)+len(p)) - b.reserved; excess > 0 {
		if !b.memory.TryGrow(excess) {
			return 0, errMemoryLimit
		}
		b.reserved += excess
	}
	b.data = append(b.data, p...)
	return len(p), nil
}

// bodyTooLarge returns the refusal of a body over the configured limit.
func bodyTooLarge(limit int64) error {
	return verdict.Refuse(verdict.ReasonTooLarge, 0, "the body is over %d bytes", limit)
}

// memoryLimitRefusal returns the refusal of a request that exceeds the memory budget.
func memoryLimitRefusal() error {
	return verdict.Refuse(verdict.ReasonOverloaded, time.Second, "too many bytes are held for callers")
}

// parseTimeout parses the value of HeaderTimeout.
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

// setDeadline sets the call's deadline from its HeaderTimeout or else from its route. If
// neither is set, the default from the entry's settings stays in place.
func (c *call) setDeadline() error {
	if c.route.Deadline > 0 {
		c.deadline = c.startedAt.Add(c.route.Deadline)
	}
	if c.timeoutHeader == "" {
		return nil
	}
	d, err := parseTimeout(c.timeoutHeader)
	if err != nil {
		return err
	}
	c.deadline = c.startedAt.Add(d)
	return nil
}
