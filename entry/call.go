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

// modelNameHeadroomBytes is the room for a model's name that is longer than its route's.
const modelNameHeadroomBytes = 128

// call is one request on its way.
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
	memory    *stream.Reservation
	// digest identifies the content, for at-most-once and quarantine.
	digest uint64
	// timeoutHeader is the caller's HeaderTimeout.
	timeoutHeader string
	// idempotencyKey is the idempotency idempotencyKey; once is set for a call that runs at most once.
	idempotencyKey string
	atMostOnce     bool
	// what the choice of endpoint depends on
	routing route.Request
	// forecast is what admission predicted, and promptBytes the prompt's length.
	forecast    admit.Forecast
	promptBytes int
	// expectedPromptTokens is the prompt's likely length in tokens; want holds its bound.
	expectedPromptTokens int
	// alone is set for an attempt that runs with nothing else on its endpoint.
	alone bool
	// notBefore is the end of the latest pause, and pauses counts them.
	notBefore time.Time
	backoffs  int
	// uncertainAttempts counts the attempts that ended without proof that they have not run.
	uncertainAttempts int
	// reservedQuota is what the request takes of its account's limits while it runs.
	reservedQuota quota.Cost
	// usage is what the engine reported for the answer.
	usage usage
	// attempts counts the tries so far; endpoint names the latest one's.
	attempts     uint32
	lastEndpoint string
	// firstByteAt is when the first byte went to the caller.
	firstByteAt time.Time
}

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

// freeMemory frees what the request holds.
func (e *Entry) freeMemory(c *call) {
	if c.memory != nil {
		c.memory.Close()
	}
}

// nextAttempt names the next try.
func (c *call) nextAttempt() wire.Attempt {
	c.attempts++
	return wire.Attempt{Request: c.id, Number: c.attempts}
}

// logFields returns the key=value pairs of a log line about the request.
func (c *call) logFields(more ...any) []any {
	f := []any{"request", hex.EncodeToString(c.id[:]), "account", c.account.Name, "route", c.route.Name}
	return append(f, more...)
}

// readBody reads the whole body once, into memory that the budget allows.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, c *call) error {
	if r.ContentLength > e.MaxBodyBytes {
		return bodyTooLarge(e.MaxBodyBytes)
	}
	r.Body = http.MaxBytesReader(w, r.Body, e.MaxBodyBytes)
	body := &bodyBuffer{memory: c.memory}
	if r.ContentLength > 0 {
		if !c.memory.TryGrow(r.ContentLength) {
			return memoryLimitRefusal()
		}
		body.taken = r.ContentLength
		// The room beyond the body is for a longer name of the model.
		body.data = make([]byte, 0, r.ContentLength+modelNameHeadroomBytes)
	}
	_, err := io.Copy(body, r.Body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return bodyTooLarge(e.MaxBodyBytes)
	case errors.Is(err, errMemoryLimit):
		return memoryLimitRefusal()
	case err != nil:
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "the body broke off")
	}
	c.body = body.data
	c.digest = xxhash.Sum64(c.body)
	return nil
}

var errMemoryLimit = errors.New("held bytes are full")

// bodyBuffer collects a body and takes its bytes from the budget as they come.
type bodyBuffer struct {
	memory *stream.Reservation
	data   []byte
	taken  int64
}

// Write adds p, or fails when the budget is full.
func (b *bodyBuffer) Write(p []byte) (int, error) {
	if over := int64(len(b.data)+len(p)) - b.taken; over > 0 {
		if !b.memory.TryGrow(over) {
			return 0, errMemoryLimit
		}
		b.taken += over
	}
	b.data = append(b.data, p...)
	return len(p), nil
}

func bodyTooLarge(limit int64) error {
	return verdict.Refuse(verdict.ReasonTooLarge, 0, "the body is over %d bytes", limit)
}

func memoryLimitRefusal() error {
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
