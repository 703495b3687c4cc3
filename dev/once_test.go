package dev

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/standin"
)

// reply is the answer that a caller received. The zero value stands for a broken
// connection.
type reply struct {
	status  int
	verdict string
	body    string
}

// seal sends the non-idempotent call "POST /seal" with an idempotency key.
func seal(entry, key, body string) reply {
	res, err := post(entry, "/services/"+SmallServiceRoute+"/seal", body, map[string]string{"Idempotency-Key": key})
	if err != nil {
		return reply{}
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return reply{}
	}
	return reply{status: res.StatusCode, verdict: res.Header.Get("X-Verdict"), body: string(raw)}
}

// newKey returns an idempotency key that contains its time of creation (UUIDv7).
func newKey() string {
	id, err := uuid.NewV7()
	if err != nil {
		panic(err)
	}
	return id.String()
}

// executions returns how often the worker ran each key.
func executions(t *testing.T, d *Deployment, worker string) map[string]int {
	t.Helper()
	res, err := http.Get(d.Files.StandInURLs[worker] + standin.PathExecutions)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	var list standin.Executions
	if err := json.NewDecoder(res.Body).Decode(&list); err != nil {
		t.Fatal(err)
	}
	counts := map[string]int{}
	for _, e := range list.Executions {
		counts[e.Key] = e.Count
	}
	return counts
}

// mayHaveRun reports whether the call may have run according to at least one reply: one
// whose verdict isn't not_run. A broken connection leaves the outcome open too.
func mayHaveRun(list []reply) bool {
	for _, r := range list {
		if r.verdict != "not_run" {
			return true
		}
	}
	return false
}

// startWithService starts the small deployment and waits until its service executes
// calls.
func startWithService(t *testing.T) *Deployment {
	t.Helper()
	d := startDeployment(t, Small(t.TempDir()))
	eventually(t, "service executes calls", func() bool { return seal(d.Files.Entries[0], newKey(), "{}").status == http.StatusOK })
	return d
}

func TestRetriedCallRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	d := startWithService(t)
	entries := d.Files.Entries

	key := newKey()
	first := seal(entries[0], key, `{"capsule":7}`)
	is.Equal(first.status, http.StatusOK)
	retried := seal(entries[1], key, `{"capsule":7}`)
	is.Equal(retried, first) // the stored result, through the other entry

	other := seal(entries[1], key, `{"capsule":8}`)
	is.Equal(other.status, http.StatusConflict)
	is.Equal(other.verdict, "not_run")

	var wg sync.WaitGroup
	concurrentKey := newKey()
	for i := range 12 {
		wg.Go(func() { seal(entries[i%2], concurrentKey, "{}") })
	}
	wg.Wait()
	eventually(t, "call with concurrent retries is answered", func() bool { return seal(entries[0], concurrentKey, "{}").status == http.StatusOK })

	counts := executions(t, d, "desk-1")
	is.Equal(counts[key], 1)
	is.Equal(counts[concurrentKey], 1)
}

func TestCallWithoutIdempotencyKeyIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	d := startWithService(t)
	res, err := post(d.Files.Entries[0], "/services/"+SmallServiceRoute+"/seal", "{}", nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusBadRequest)
	is.Equal(res.Header.Get("X-Verdict"), "not_run")
	is.NoErr(res.Body.Close())
}

// A sidecar that restarts during calls has lost its records of the calls that it
// admitted. A retry must not run such a call again, and a call with the verdict
// not_run must not have run.
func TestCallRunsAtMostOnceWhileSidecarsAndEntriesRestart(t *testing.T) {
	is := is.New(t)
	d := startWithService(t)
	entries := d.Files.Entries
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	replies := map[string][]reply{}
	for worker := range 6 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				key := newKey()
				for try := range 3 {
					r := seal(entries[(worker+try)%2], key, fmt.Sprintf(`{"n":%d}`, n))
					mu.Lock()
					replies[key] = append(replies[key], r)
					mu.Unlock()
				}
			}
		})
	}
	for range 3 {
		is.NoErr(d.StopProcess("desk-1"))
		is.NoErr(d.StartProcess("desk-1"))
		time.Sleep(200 * time.Millisecond)
		is.NoErr(d.StopProcess("entry-2"))
		is.NoErr(d.StartProcess("entry-2"))
	}
	close(stop)
	wg.Wait()
	counts := executions(t, d, "desk-1")
	for key, list := range replies {
		is.True(counts[key] <= 1)
		is.Equal(mayHaveRun(list) || counts[key] == 0, true) // a call that ran has a reply other than not_run
		for _, r := range list {
			is.True(r.status != http.StatusOK || counts[key] == 1) // an answered call ran
		}
	}
	is.True(len(counts) > 0)
}
