package standin

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Usage is the token counts of an answer.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Choice is one choice of an answer; the stand-in makes one.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Content `json:"delta,omitempty"`
	Message      *Content `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Content is a chat message or a part of one.
type Content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Answer is a complete answer or one event of a stream, in OpenAI format.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// doneEvent ends a stream.
const doneEvent = "data: [DONE]\n\n"

// answer generates the bytes of the answer to one request. The output depends on
// the request alone, so that a byte offset is valid on every engine.
type answer struct {
	digest       uint64
	model        string
	chat         bool
	stream       bool
	promptTokens int64
	// tokens is the number of output tokens.
	tokens int
}

// event returns the server-sent event of token i. The event of the last token also
// carries the usage and is followed by doneEvent.
func (a *answer) event(i int) []byte {
	part := a.newAnswer("text_completion", "chat.completion.chunk")
	text := tokenText(a.digest, i, i+1)
	if a.chat {
		part.Choices[0].Delta = &Content{Content: text}
	} else {
		part.Choices[0].Text = text
	}
	if i == a.tokens-1 {
		a.setFinish(&part)
	}
	body, _ := json.Marshal(part)
	out := fmt.Appendf(nil, "data: %s\n\n", body)
	if i == a.tokens-1 {
		out = append(out, doneEvent...)
	}
	return out
}

// nonStreaming returns the complete answer as one JSON body.
func (a *answer) nonStreaming() []byte {
	part := a.newAnswer("text_completion", "chat.completion")
	text := tokenText(a.digest, 0, a.tokens)
	if a.chat {
		part.Choices[0].Message = &Content{Role: "assistant", Content: text}
	} else {
		part.Choices[0].Text = text
	}
	a.setFinish(&part)
	body, _ := json.Marshal(part)
	return append(body, '\n')
}

// newAnswer returns an Answer with one empty choice. Its object type is chat for a
// chat request and completion otherwise.
func (a *answer) newAnswer(completion, chat string) Answer {
	object := completion
	if a.chat {
		object = chat
	}
	return Answer{ID: fmt.Sprintf("cmpl-%016x", a.digest), Object: object, Model: a.model, Choices: []Choice{{}}}
}

// setFinish adds the finish reason and the usage to part.
func (a *answer) setFinish(part *Answer) {
	reason := "length"
	part.Choices[0].FinishReason = &reason
	n := int64(a.tokens)
	part.Usage = &Usage{PromptTokens: a.promptTokens, CompletionTokens: n, TotalTokens: a.promptTokens + n}
}

// tokensBefore returns the number of tokens whose events lie entirely within the
// first offset bytes of a streamed answer, and 0 for an answer that is not streamed.
func (a *answer) tokensBefore(offset int64) int {
	if !a.stream {
		return 0
	}
	var bytes int64
	for i := range a.tokens {
		bytes += int64(len(a.event(i)))
		if bytes > offset {
			return i
		}
	}
	return a.tokens
}

// Text returns the output text of an answer or event.
func (a *Answer) Text() string {
	var b strings.Builder
	for _, c := range a.Choices {
		b.WriteString(c.Text)
		if c.Delta != nil {
			b.WriteString(c.Delta.Content)
		}
		if c.Message != nil {
			b.WriteString(c.Message.Content)
		}
	}
	return b.String()
}
