package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rosemaryproxy/rosemaryproxy/standin"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// maxRefusalBytes is how much of a refusal's body is read.
	maxRefusalBytes = 64 << 10
	// maxAnswerBytes is how much of an unstreamed answer is read.
	maxAnswerBytes = 64 << 20
	// maxEventBytes is the longest line of an event stream that is read.
	maxEventBytes = 64 << 10
)

// refusalBody is the part of a refusal that the client reads.
type refusalBody struct {
	Error struct {
		Verdict string `json:"verdict"`
		Reason  string `json:"reason"`
	} `json:"error"`
}

// readRefusal reads an answer whose status is not 200, and the verdict in its body.
func readRefusal(ctx context.Context, resp *http.Response) attempt {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	if err != nil {
		return connectionFailure(ctx, "connection")
	}
	return parseRefusal(raw, resp.Status)
}

// parseRefusal decodes the verdict of a refusal. An answer without a verdict counts
// as Failed, because the request may have run.
func parseRefusal(raw []byte, status string) attempt {
	var body refusalBody
	t := attempt{outcome: Failed, reason: status}
	if json.Unmarshal(raw, &body) != nil || body.Error.Verdict == "" {
		return t
	}
	t.verdict, t.reason = body.Error.Verdict, body.Error.Reason
	if t.verdict == verdict.NotRun.String() {
		t.outcome = Refused
	}
	return t
}

// readCall reads the answer of a plain service and compares it with the expected one.
func (c *client) readCall(ctx context.Context, resp *http.Response, a *Arrival, res *Result) attempt {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return connectionFailure(ctx, "connection")
	}
	t := attempt{outcome: Completed, verdict: verdict.Ran.String(), first: c.clock.Now()}
	body := ""
	if a.Item.Call.Method != http.MethodGet {
		body = a.uniqueText
	}
	var got standin.Result
	want := standin.ExpectedResult(a.Item.Call.Method, a.Item.Call.path(a), body)
	if json.Unmarshal(raw, &got) != nil || got.Result != want || got.Key != res.key {
		t.outcome, t.reason = Wrong, "the answer is not the call's own"
	}
	return t
}

// readPrompt reads the answer of a model and compares it with the expected text.
func (c *client) readPrompt(ctx context.Context, resp *http.Response, a *Arrival, digest uint64) attempt {
	if a.Item.Prompt.Unstreamed {
		return c.readUnstreamed(ctx, resp, a, digest)
	}
	s := streamReader{want: standin.ExpectedText(digest, a.OutputTokens), tokens: a.OutputTokens}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventBytes)
	var t attempt
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			s.readField(lines.Bytes())
			continue
		}
		if t.first.IsZero() {
			t.first = c.clock.Now()
		}
		s.readData(data)
	}
	return s.conclude(ctx, t)
}

// readUnstreamed reads the answer to a prompt that did not ask for a stream.
func (c *client) readUnstreamed(ctx context.Context, resp *http.Response, a *Arrival, digest uint64) attempt {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return connectionFailure(ctx, "connection")
	}
	t := attempt{outcome: Completed, verdict: verdict.Ran.String(), first: c.clock.Now()}
	var got standin.Answer
	if json.Unmarshal(raw, &got) != nil || got.Text() != standin.ExpectedText(digest, a.OutputTokens) {
		t.outcome, t.reason = Wrong, "the answer is not the prompt's own"
	}
	return t
}

// streamReader compares a stream with the expected text, event by event.
type streamReader struct {
	// want is the expected text, and tokens the number of its tokens.
	want   string
	tokens int
	// got is the number of bytes of text received.
	got int
	// wrong is set when the stream differs from the expected one.
	wrong bool
	// done is set once the end marker has been received.
	done bool
	// refused holds the refusal of an error event; nil if there was none.
	refused *attempt
	// inErrorEvent is set from an "event: error" line on. All following data are decoded
	// as a refusal.
	inErrorEvent bool
}

// readField processes a line of the event stream that is not a data field.
func (s *streamReader) readField(line []byte) {
	if bytes.Equal(line, []byte("event: error")) {
		s.inErrorEvent = true
	}
}

// readData processes the data field of an event. Any data after the end marker makes
// the stream wrong.
func (s *streamReader) readData(data []byte) {
	if bytes.Equal(data, []byte("[DONE]")) {
		s.wrong = s.wrong || s.done
		s.done = true
		return
	}
	if s.inErrorEvent {
		t := parseRefusal(data, "error event")
		t.outcome = Failed
		s.refused = &t
		return
	}
	var a standin.Answer
	if json.Unmarshal(data, &a) != nil || s.done {
		s.wrong = true
		return
	}
	text := a.Text()
	end := s.got + len(text)
	if end > len(s.want) || s.want[s.got:end] != text {
		s.wrong = true
	}
	s.got = end
	if a.Usage != nil && a.Usage.CompletionTokens != int64(s.tokens) {
		s.wrong = true
	}
}

// conclude fills in the outcome of the stream. A stream that has its end marker but
// not the complete expected text is Wrong; one without the end marker was cut and is
// Failed or Late.
func (s *streamReader) conclude(ctx context.Context, t attempt) attempt {
	switch {
	case s.wrong || s.done && s.got != len(s.want):
		t.outcome, t.reason = Wrong, "the answer is not the prompt's own"
	case s.done:
		t.outcome, t.verdict = Completed, verdict.Ran.String()
	case s.refused != nil:
		t.outcome, t.verdict, t.reason = s.refused.outcome, s.refused.verdict, s.refused.reason
	default:
		end := connectionFailure(ctx, "cut stream")
		t.outcome, t.reason = end.outcome, end.reason
	}
	return t
}
