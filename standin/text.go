package standin

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

// CrashMarker is a text that crashes every engine which runs a prompt with it.
const CrashMarker = "<<crash-the-engine>>"

// onsets and vowels are the parts of the syllables of output words.
var (
	onsets = [16]string{"b", "d", "f", "g", "k", "l", "m", "n", "p", "r", "s", "t", "v", "z", "br", "tr"}
	vowels = [8]string{"a", "e", "i", "o", "u", "ai", "ou", "en"}
)

// PromptText returns the text of a request's prompt: the prompt of a completion, or
// the contents of a chat's messages, separated by newlines.
func PromptText(c *engine.Completion) string {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	if len(c.Messages) == 1 {
		return c.Messages[0].Content
	}
	var b strings.Builder
	for i, m := range c.Messages {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(m.Content)
	}
	return b.String()
}

// PromptDigest returns the digest of a prompt, from which the output is derived.
func PromptDigest(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// ExpectedText returns the output of n tokens for a prompt's digest.
func ExpectedText(promptDigest uint64, n int) string {
	return tokenText(promptDigest, 0, n)
}

// tokenText returns the output tokens with the numbers from (inclusive) to to
// (exclusive).
func tokenText(digest uint64, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		writeToken(&b, digest, i)
	}
	return b.String()
}

// writeToken appends output token i: a word of two syllables and a space.
func writeToken(b *strings.Builder, digest uint64, i int) {
	h := mix(digest + uint64(i)*0x9e3779b97f4a7c15)
	for range 2 {
		b.WriteString(onsets[h&15])
		b.WriteString(vowels[h>>4&7])
		h >>= 8
	}
	b.WriteByte(' ')
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// prefixBlocks splits a prompt into blocks of engine.PrefixBytes bytes and returns
// their chained hashes: each depends on its block and all blocks before it. The first
// hash identifies the prefix in cache events.
func prefixBlocks(prompt string) []uint64 {
	blocks := make([]uint64, 0, 1+len(prompt)/engine.PrefixBytes)
	var chain uint64
	for start := 0; start == 0 || start < len(prompt); start += engine.PrefixBytes {
		end := min(start+engine.PrefixBytes, len(prompt))
		h := xxhash.Sum64String(prompt[start:end])
		if start > 0 {
			h = mix(chain ^ h)
		}
		blocks = append(blocks, h)
		chain = h
	}
	return blocks
}
