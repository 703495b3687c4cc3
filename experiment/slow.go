package experiment

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
)

// slowFirstBytes is what a slow reader reads before it stops reading.
const slowFirstBytes = 512

// runSlowReaders opens streams whose callers stop reading and keeps them until
// ctx ends. It returns how many were still open then.
func runSlowReaders(ctx context.Context, s *Scenario, r *SlowReaders, c *client, clock kernel.Clock) int {
	select {
	case <-clock.After(s.real(r.At.Std())):
	case <-ctx.Done():
		return 0
	}
	item := &Item{Name: "slow reader", Prompt: &Prompt{Model: r.Model}, Deadline: s.Duration * 10}
	var open sync.WaitGroup
	var mu sync.Mutex
	held := 0
	for i := range r.Count {
		a := &Arrival{
			Number:       i,
			Item:         item,
			Account:      &s.Accounts[i%len(s.Accounts)],
			PromptTokens: r.PromptTokens,
			OutputTokens: r.OutputTokens,
			Entry:        i,
			name:         fmt.Sprintf("slow reader %d", i),
		}
		open.Go(func() {
			if holdStream(ctx, c, a) {
				mu.Lock()
				held++
				mu.Unlock()
			}
		})
	}
	open.Wait()
	return held
}

// holdStream reads the start of a stream and then nothing until ctx ends. It
// reports whether the stream began.
func holdStream(ctx context.Context, c *client, a *Arrival) bool {
	deadline := c.start.Add(c.scenario.real(c.scenario.deadline(a.Item)))
	req, err := c.request(ctx, a, &Result{}, deadline)
	if err != nil {
		return false
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	_, err = resp.Body.Read(make([]byte, slowFirstBytes))
	<-ctx.Done()
	return err == nil
}
