package entry

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/admit"
	"github.com/rosemaryproxy/rosemaryproxy/queue"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// usage is the tokens that an engine reported for a call.
type usage struct {
	prompt int
	output int
}

// target is the waiting calls of one model or service and the pace at which this
// entry's calls are taken by its endpoints.
type target struct {
	waiting queue.Queue
	pace    admit.RateMeter
}

// forecast predicts what the call takes: at the endpoint chosen, or else at a
// middling one, after the work of this entry that is ahead of it. The caller holds
// the lock.
func (d *dispatcher) forecast(now time.Time, c *call, view []route.Endpoint, choice route.Choice, refusal *verdict.Refusal) admit.Forecast {
	mean := admit.MeanTokenRates(view)
	f := mean.ForecastWithoutWait(c.want.PromptTokens, c.want.OutputTokens)
	if refusal == nil {
		f = admit.ForecastAt(&view[choice.Index], choice, c.want.PromptTokens, c.want.OutputTokens)
	} else {
		f.Wait = refusal.RetryAfter
	}
	t := d.target(c.want.Target)
	f.Wait += t.pace.PredictWait(now, t.waiting.Tokens(c.want.Class), t.waiting.Share(c.want.Class), mean.Prefill)
	return f
}
