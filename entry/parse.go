package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// defaultOutputTokens is the maximum length of an output for which neither the request
	// nor the route sets one.
	defaultOutputTokens = 1024
)

// textSummary is the length and the prefix hash of a JSON value, computed without copying it.
// The hash covers the first engine.PrefixBytes bytes. The quotes of a string do not count.
type textSummary struct {
	bytes  int
	prefix uint64
}

// UnmarshalJSON computes the length and the hash of b.
func (s *textSummary) UnmarshalJSON(b []byte) error {
	text := b
	if len(b) > 1 && b[0] == '"' {
		text = b[1 : len(b)-1]
	}
	s.bytes = len(text)
	s.prefix = xxhash.Sum64(text[:min(len(text), engine.PrefixBytes)])
	return nil
}

// locatedString is a JSON string that remembers its position in the decoded body.
type locatedString struct {
	value string
	raw   []byte
}

// UnmarshalJSON decodes b and keeps it. b is a slice of the body.
func (p *locatedString) UnmarshalJSON(b []byte) error {
	p.raw = b
	return json.Unmarshal(b, &p.value)
}

// replace returns body with this string replaced by value. encoding/json passes slices of the
// body itself to UnmarshalJSON, so the difference of the capacities is the string's offset.
// If the bytes at that offset are not the string, ok is false and body is unchanged.
func (p *locatedString) replace(body []byte, value string) (replaced []byte, ok bool) {
	start := cap(body) - cap(p.raw)
	end := start + len(p.raw)
	if start < 0 || end > len(body) || !bytes.Equal(body[start:end], p.raw) {
		return body, false
	}
	quoted, err := json.Marshal(value)
	if err != nil {
		return body, false
	}
	return slices.Replace(body, start, end, quoted...), true
}

// completionRequest is the part of a request's body that routing needs. The text of the
// prompt is not copied out of the body.
type completionRequest struct {
	Model     *locatedString `json:"model"`
	Prompt    *textSummary   `json:"prompt"`
	Messages  *textSummary   `json:"messages"`
	MaxTokens *int           `json:"max_tokens"`
	Stream    bool           `json:"stream"`
}

// parsePrompt parses the body of a request to a model, authorizes the caller for its route and
// sets the call's deadline and routing input.
func (e *Entry) parsePrompt(c *call) error {
	var p completionRequest
	if err := json.Unmarshal(c.body, &p); err != nil {
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "the body is not the JSON of a completion: %v", err)
	}
	text := p.Prompt
	if text == nil {
		text = p.Messages
	}
	switch {
	case p.Model == nil || p.Model.value == "":
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "the body names no model")
	case text == nil:
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "the body has neither prompt nor messages")
	case p.MaxTokens != nil && *p.MaxTokens <= 0:
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "max_tokens has to be above 0")
	}
	if err := authorize(e.control.Config(), c, p.Model.value); err != nil {
		return err
	}
	if c.route.Kind != config.ModelRoute {
		return verdict.Refuse(verdict.ReasonUnknownRoute, 0, "route %q leads to a service", c.route.Name)
	}
	if err := c.setDeadline(); err != nil {
		return err
	}
	// Callers name a route, but the engine expects the name of its model.
	body, ok := p.Model.replace(c.body, c.route.Target)
	if !ok {
		return verdict.Refuse(verdict.ReasonInternal, 0, "the model's name could not be set")
	}
	c.body = body
	estimate := e.dispatcher.estimate(c.route.Name, text.bytes)
	c.expectedPromptTokens = estimate.Tokens
	c.routing = route.Request{
		Target:       c.route.Target,
		PromptTokens: estimate.Bound,
		OutputTokens: outputBound(c.route, p.MaxTokens),
		Prefix:       text.prefix,
		Zone:         e.node.Zone,
		Deadline:     c.deadline,
	}
	c.promptBytes = text.bytes
	c.routing.Class = route.ClassOf(estimate.Tokens)
	return nil
}

// outputBound returns the maximum length of the output in tokens: the requested one, or else
// the route's, or else defaultOutputTokens.
func outputBound(r config.Route, asked *int) int {
	bound := defaultOutputTokens
	if r.MaxOutputTokens > 0 {
		bound = r.MaxOutputTokens
	}
	if asked != nil {
		bound = *asked
	}
	return bound
}

// parseService authorizes the caller for the route of a call to a plain service, and sets the
// call's path, deadline, digest and routing input.
func (e *Entry) parseService(c *call, r *http.Request) error {
	if err := authorize(e.control.Config(), c, r.PathValue("route")); err != nil {
		return err
	}
	if c.route.Kind != config.ServiceRoute {
		return verdict.Refuse(verdict.ReasonUnknownRoute, 0, "route %q leads to a model", c.route.Name)
	}
	if err := c.setDeadline(); err != nil {
		return err
	}
	path := "/" + r.PathValue("path")
	c.path = path
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	c.atMostOnce = c.route.AtMostOnce(c.method, path)
	if c.atMostOnce && c.idempotencyKey == "" {
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "%s %s runs at most once and wants a header %s", c.method, path, HeaderIdempotencyKey)
	}
	if !utf8.ValidString(c.idempotencyKey) {
		// Control stores the key as text.
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "header %s has the value %.80q, which is not UTF-8", HeaderIdempotencyKey, c.idempotencyKey)
	}
	c.digest = xxhash.Sum64String(strings.Join([]string{c.method, c.path, string(c.body)}, "\x00"))
	c.routing = route.Request{Target: c.route.Target, Zone: e.node.Zone, Deadline: c.deadline}
	return nil
}
