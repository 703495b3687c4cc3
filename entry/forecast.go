package entry

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/admit"
	"github.com/rosemaryproxy/rosemaryproxy/queue"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// usage is the number of tokens in a prompt and its output, as reported by the engine.
type usage struct {
	prompt int
	output int
}

// targetQueue holds the waiting calls of one target, which is a model or a service, and the
// rate at which this entry sends calls to its endpoints.
type targetQueue struct {
	waiting  queue.Queue
	sendRate admit.RateMeter
}

// forecast predicts the time that the call takes at the chosen endpoint. If refusal is not
// nil, no endpoint was chosen, and forecast assumes one of mean speed that takes the call after
// the refusal's retry delay. In both cases it adds the wait behind the calls of the same class
// in the queue of this entry. The caller holds the lock.
func (d *callDispatcher) forecast(now time.Time, c *call, view []route.Endpoint, choice route.Choice, refusal *verdict.Refusal) admit.Forecast {
	mean := admit.MeanTokenRates(view)
	f := mean.ForecastWithoutWait(c.routing.PromptTokens, c.routing.OutputTokens)
	if refusal == nil {
		f = admit.ForecastAt(&view[choice.Index], choice, c.routing.PromptTokens, c.routing.OutputTokens)
	} else {
		f.Wait = refusal.RetryAfter
	}
	t := d.targetQueue(c.routing.Target)
	f.Wait += t.sendRate.Wait(now, t.waiting.Tokens(c.routing.Class), t.waiting.Share(c.routing.Class), mean.Prefill)
	return f
}
