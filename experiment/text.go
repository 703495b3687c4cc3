package experiment

import (
	"bytes"
	"fmt"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryproxy/rosemaryproxy/standin"
)

// bytesPerToken is the length in bytes of one token of prompt text.
const bytesPerToken = 4

// filler is the text with which prompts are filled up to their length. All requests
// share it, so that a prompt of a million tokens needs no memory of its own.
var filler = strings.Repeat("the capsule of the commune lies below the old hall and the notary keeps its seal; ", 1<<16)

// promptText is a prompt as three parts: its start, shared filler, and its end.
type promptText struct {
	parts [3]string
	bytes int
}

// newPromptText returns the prompt of an arrival. Prompts of the same document and
// length differ only at the end; other prompts differ from the start, so that they
// share no cached prefix.
func newPromptText(a *Arrival) promptText {
	start := a.uniqueText
	if a.Document > 0 {
		start = fmt.Sprintf("document %d of %s", a.Document, a.Item.Name)
	}
	start += ": "
	end := " " + a.uniqueText
	if a.Item.Prompt.Crashes {
		end += " " + standin.CrashMarker
	}
	want := max(a.PromptTokens*bytesPerToken, len(start)+len(end))
	fill := min(want-len(start)-len(end), len(filler))
	return promptText{parts: [3]string{start, filler[:fill], end}, bytes: len(start) + fill + len(end)}
}

// digest returns the same value as standin.PromptDigest of the joined text.
func (t *promptText) digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, p := range t.parts {
		_, _ = d.WriteString(p)
	}
	return d.Sum64()
}

// body returns the JSON body of the request and its length. The text contains no
// characters that JSON escapes.
func (t *promptText) body(a *Arrival) (io.Reader, int64) {
	p := a.Item.Prompt
	opening, closing := `"prompt":"`, `"`
	if p.Chat {
		opening, closing = `"messages":[{"role":"user","content":"`, `"}]`
	}
	head := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,%s`, p.Model, a.OutputTokens, !p.Unstreamed, opening)
	tail := closing + "}"
	length := len(head) + t.bytes + len(tail)
	return io.MultiReader(
		bytes.NewReader([]byte(head)),
		strings.NewReader(t.parts[0]),
		strings.NewReader(t.parts[1]),
		strings.NewReader(t.parts[2]),
		strings.NewReader(tail),
	), int64(length)
}
