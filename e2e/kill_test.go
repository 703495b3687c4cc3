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

// readJSON reads a stand-in's listing.
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

// freeTokens returns the freeTokens memory of each engine, in KV tokens.
func (s *system) freeTokens() map[string]int64 {
	tokens := map[string]int64{}
	for _, name := range []string{"scribe-1", "scribe-2", "scribe-3"} {
		var load engine.Load
		readJSON(s.t, s.files.StandInURLs[name]+engine.PathLoad, &load)
		tokens[name] = load.FreeTokens
	}
	return tokens
}

// callers send streamed prompts and seals until they are stopped.
type callers struct {
	s       *system
	stop    chan struct{}
	wg      sync.WaitGroup
	answers atomic.Int64
	failed  atomic.Int64
	mu      sync.Mutex
	seals   map[string]answer
}

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

func (c *callers) awaitAnswers(n int64) {
	from := c.answers.Load()
	c.s.eventually("prompts are answered", func() bool { return c.answers.Load() >= from+n })
}

func (c *callers) stopAndWait() {
	close(c.stop)
	c.wg.Wait()
}

// Processes are killed without warning among prompts and seals. Afterwards every
// engine has all of its memory back, no seal ran twice, and none that was answered
// or refused as not run was told wrongly.
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
	s.eventually("every engine has its memory back", func() bool { return fmt.Sprint(s.freeTokens()) == fmt.Sprint(start) })
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
	t.Logf("%d prompts whole, %d not, %d seals", c.answers.Load(), c.failed.Load(), len(c.seals))
}
