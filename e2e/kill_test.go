package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/dev"
	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/standin"
)

// readJSON decodes the answer of a stand-in at url into out.
func readJSON(t *testing.T, url string, out any) {
	t.Helper()
	res, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if err := json.NewDecoder(res.Body).Decode(out); err != nil {
		t.Fatal(err)
	}
}

// freeTokens returns the free memory of each engine, in KV tokens, by endpoint.
func (s *system) freeTokens() map[string]int64 {
	tokens := map[string]int64{}
	for _, name := range []string{"scribe-1", "scribe-2", "scribe-3"} {
		var load engine.Load
		readJSON(s.t, s.files.StandInURLs[name]+engine.PathLoad, &load)
		tokens[name] = load.FreeTokens
	}
	return tokens
}

// callers send streamed prompts and non-idempotent calls until they are stopped.
type callers struct {
	s    *system
	stop chan struct{}
	wg   sync.WaitGroup
	// answers counts the prompts with a complete answer, and failed the others.
	answers atomic.Int64
	failed  atomic.Int64
	// mu guards seals, which holds the answers to calls of "POST /seal" by idempotency
	// key.
	mu    sync.Mutex
	seals map[string]answer
}

// startCallers starts n callers, each of which sends its requests one after another.
func (s *system) startCallers(n int) *callers {
	c := &callers{s: s, stop: make(chan struct{}), seals: map[string]answer{}}
	for i := range n {
		c.wg.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-c.stop:
					return
				default:
				}
				c.send(s.files.Entries[k%2], i, k)
			}
		})
	}
	return c
}

// send sends request k of caller i: every fourth one is a call, the others are prompts.
func (c *callers) send(entry string, i, k int) {
	if k%4 == 3 {
		key := uuid.Must(uuid.NewV7()).String()
		a := post(entry, "/services/"+dev.SmallServiceRoute+"/seal", `{"capsule":1}`, map[string]string{"Idempotency-Key": key})
		c.mu.Lock()
		c.seals[key] = a
		c.mu.Unlock()
		return
	}
	a := postPrompt(entry, fmt.Sprintf("letter %d of caller %d", k, i), true)
	if a.complete(true) {
		c.answers.Add(1)
	} else {
		c.failed.Add(1)
	}
}

// awaitAnswers waits until n more prompts have complete answers.
func (c *callers) awaitAnswers(n int64) {
	from := c.answers.Load()
	c.s.eventually("prompts are answered", func() bool { return c.answers.Load() >= from+n })
}

// stopAndWait stops the callers and waits for their requests.
func (c *callers) stopAndWait() {
	close(c.stop)
	c.wg.Wait()
}

// Processes are killed during prompts and non-idempotent calls. Afterwards all engine
// memory is free again, no call has run twice, every call that was answered has run,
// and none with the verdict not_run has.
func TestKilledProcessesLeakNoMemoryAndRepeatNoCall(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, dev.Small(""))
	for _, entry := range s.files.Entries {
		s.eventually("entry serves", func() bool { return postPrompt(entry, "hello", false).complete(false) })
	}
	start := s.freeTokens()
	c := s.startCallers(6)
	for _, name := range []string{"scribe-1", "entry-2", "control-1", "desk-1", "scribe-2-standin", "control-2", "entry-1"} {
		c.awaitAnswers(20)
		s.kill(name)
		s.start(name)
	}
	c.awaitAnswers(20)
	c.stopAndWait()
	s.eventually("all engine memory is free", func() bool { return fmt.Sprint(s.freeTokens()) == fmt.Sprint(start) })
	var list standin.Executions
	readJSON(t, s.files.StandInURLs["desk-1"]+standin.PathExecutions, &list)
	counts := map[string]int{}
	for _, e := range list.Executions {
		counts[e.Key] = e.Count
		is.True(e.Count <= 1)
	}
	for key, a := range c.seals {
		if a.err == nil && a.status == http.StatusOK {
			is.Equal(counts[key], 1)
		}
		if a.err == nil && a.verdict == "not_run" {
			is.Equal(counts[key], 0)
		}
	}
	t.Logf("%d prompts with complete answers, %d without, %d non-idempotent calls", c.answers.Load(), c.failed.Load(), len(c.seals))
}
