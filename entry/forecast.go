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

// targetQueue is the waiting calls of one model or service and the pace at which this
// entry's calls are taken by its endpoints.
type targetQueue struct {
	waiting  queue.Queue
	sendRate admit.RateMeter
}

// forecast predicts what the call takes: at the endpoint chosen, or else at a
// middling one, after the work of this entry that is ahead of it. The caller holds
// the lock.
func (d *dispatcher) forecast(now time.Time, c *call, view []route.Endpoint, choice route.Choice, refusal *verdict.Refusal) admit.Forecast {
	mean := admit.MeanTokenRates(view)
	f := mean.ForecastWithoutWait(c.routing.PromptTokens, c.routing.OutputTokens)
	if refusal == nil {
		f = admit.ForecastAt(&view[choice.Index], choice, c.routing.PromptTokens, c.routing.OutputTokens)
	} else {
		f.Wait = refusal.RetryAfter
	}
	t := d.queueOf(c.routing.Target)
	f.Wait += t.sendRate.PredictWait(now, t.waiting.Tokens(c.routing.Class), t.waiting.Share(c.routing.Class), mean.Prefill)
	return f
}
