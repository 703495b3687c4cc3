package standin

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

// phase is where a request stands in the engine.
type phase int

const (
	waiting phase = iota
	prefilling
	decoding
	finished
	aborted
)

// request is one request that an engine knows. The engine's lock guards it.
type request struct {
	id       string
	seq      uint64
	priority int
	phase    phase
	// promptTokens are held from arrival until the request ends.
	promptTokens int64
	remainingPrefill  float64
	// decoded counts output tokens; its whole part is held in memory.
	decoded float64
	crashes bool
	blocks  []uint64
	answer  answer
	// progress has room for one signal to the reader.
	progress chan struct{}
	// readerSeq counts attached readers; only the newest may read.
	readerSeq uint64
	detached   bool
	detachedAt time.Time
}

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

// generated returns the count of output tokens made so far.
func (r *request) generated() int { return int(r.decoded) }

// held returns the memory that the request holds, in tokens.
func (r *request) held() int64 {
	if r.ended() {
		return 0
	}
	return r.promptTokens + int64(r.generated())
}

func (r *request) ended() bool { return r.phase == finished || r.phase == aborted }

func (r *request) signal() {
	select {
	case r.progress <- struct{}{}:
	default:
	}
}

// resumeAt makes the request continue after the output that the first offset
// bytes of its answer hold: that output is processed like prompt.
func (r *request) resumeAt(offset int64) {
	n := r.answer.tokensBefore(offset)
	r.decoded = float64(n)
	r.remainingPrefill += float64(n)
}
