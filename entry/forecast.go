package entry

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/admit"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// assumedTokenTime is the time between two tokens before any was measured.
	assumedTokenTime = 31 * time.Millisecond
	// speedWeight is the weight of a new measurement in a target's speed.
	speedWeight = 0.1
)

// usage is the tokens that an engine reported for a call.
type usage struct {
	prompt int
	output int
}

// speeds learns the time between two tokens of each target's answers.
type speeds struct {
	tokenTime map[string]time.Duration
}

func newSpeeds() *speeds { return &speeds{tokenTime: map[string]time.Duration{}} }

func (s *speeds) observe(target string, took time.Duration, tokens int) {
	if tokens < 2 || took <= 0 {
		return
	}
	measured := took / time.Duration(tokens-1)
	old, ok := s.tokenTime[target]
	if !ok {
		s.tokenTime[target] = measured
		return
	}
	s.tokenTime[target] = old + time.Duration(speedWeight*float64(measured-old))
}

func (s *speeds) output(target string, tokens int) time.Duration {
	perToken, ok := s.tokenTime[target]
	if !ok {
		perToken = assumedTokenTime
	}
	return perToken * time.Duration(tokens)
}

// forecast predicts what the call takes: its wait at the entry follows from the
// work ahead of it and the speed of the endpoints. The caller holds the lock.
func (d *dispatcher) forecast(c *call, view []route.Endpoint, choice route.Choice, refusal *verdict.Refusal) admit.Forecast {
	rate := 0.0
	for i := range view {
		if !view[i].Out {
			rate += view[i].Load.PrefillRate
		}
	}
	f := admit.Forecast{}
	if rate > 0 {
		f.Prefill = secondsOf(float64(c.want.PromptTokens) / (rate / float64(len(view))))
		f.Wait = secondsOf(float64(d.waiting.Tokens(c.want.Class)) / rate)
	}
	if c.want.OutputTokens > 0 {
		f.Output = d.speeds.output(c.want.Target, c.want.OutputTokens)
	}
	if refusal != nil {
		f.Wait += refusal.RetryAfter
		return f
	}
	f.Wait += max(choice.Predicted-f.Prefill, 0)
	return f
}

func secondsOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
