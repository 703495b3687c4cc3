package standin

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

// phase is the state of a request in the engine. The values up to finished are in the
// order in which a request reaches them; finished and aborted are final.
type phase int

const (
	waiting phase = iota
	prefilling
	decoding
	finished
	aborted
)

// request is a request that the engine knows. The engine's lock guards it.
type request struct {
	// id is the client's ID of the request; empty without one.
	id string
	// seq numbers the requests in order of arrival.
	seq uint64
	// priority is lowest for the most urgent requests.
	priority int
	phase    phase
	// promptTokens occupy memory from admission until the request ends.
	promptTokens int64
	// remainingPrefill is the number of tokens that still need prefill.
	remainingPrefill float64
	// decoded is the number of output tokens generated; its integer part occupies memory.
	decoded float64
	// crashes is set when the prompt contains CrashMarker.
	crashes bool
	// blocks are the block hashes of the prompt.
	blocks []uint64
	answer answer
	// progress has a buffer of one and wakes the reader.
	progress chan struct{}
	// readerSeq counts the readers that have attached; only the newest may read.
	readerSeq uint64
	// detached is set while no reader is attached, since detachedAt.
	detached   bool
	detachedAt time.Time
}

// newRequest returns a waiting request with the output length that c or the
// engine's settings say.
func newRequest(c *engine.Completion, cfg *EngineConfig) *request {
	prompt := PromptText(c)
	digest := PromptDigest(prompt)
	tokens := c.MaxTokens
	if tokens <= 0 {
		tokens = cfg.OutputTokens + int(digest%uint64(cfg.OutputTokens+1))
	}
	r := &request{
		promptTokens: cfg.PromptTokens(len(prompt)),
		blocks:       prefixBlocks(prompt),
		progress:     make(chan struct{}, 1),
	}
	r.answer = answer{
		digest:       digest,
		model:        c.Model,
		chat:         len(c.Messages) > 0,
		stream:       c.Stream,
		promptTokens: r.promptTokens,
		tokens:       tokens,
	}
	r.remainingPrefill = float64(r.promptTokens)
	return r
}

// generated returns the number of complete output tokens generated so far.
func (r *request) generated() int { return int(r.decoded) }

// held returns the memory that the request uses, in KV tokens.
func (r *request) held() int64 {
	if r.ended() {
		return 0
	}
	return r.promptTokens + int64(r.generated())
}

func (r *request) ended() bool { return r.phase == finished || r.phase == aborted }

// signal wakes the reader. It doesn't block.
func (r *request) signal() {
	select {
	case r.progress <- struct{}{}:
	default:
	}
}

// resumeAt makes the request continue after the tokens that lie within the first
// offset bytes of its answer. These tokens need prefill, like those of the prompt.
func (r *request) resumeAt(offset int64) {
	n := r.answer.tokensBefore(offset)
	r.decoded = float64(n)
	r.remainingPrefill += float64(n)
}
