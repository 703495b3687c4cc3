package standin

import (
	"cmp"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

const (
	// PathExecutions is the path of the list of a worker's executions.
	PathExecutions = "/executions"
	// HeaderIdempotencyKey carries the key of a call that may run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// resultTokens is the length of a call's result, in words.
	resultTokens = 8
)

// WorkerConfig holds the settings of a stand-in application worker.
type WorkerConfig struct {
	// Listen is the worker's address when it runs as a plug-in.
	Listen settings.Addr `json:"listen,omitempty"`
	// Name identifies the worker in logs and answers.
	Name string `json:"name,omitempty"`
	// Duration is how long a call runs.
	Duration settings.Duration `json:"duration"`
	// RestartDelay is how long the worker is unreachable after a crash.
	RestartDelay settings.Duration `json:"restart_delay"`
}

// DefaultWorkerConfig returns the settings of a worker whose calls take 5 ms.
func DefaultWorkerConfig() WorkerConfig {
	return WorkerConfig{
		Duration:     settings.Duration(5 * time.Millisecond),
		RestartDelay: settings.Duration(100 * time.Millisecond),
	}
}

// Execution is the number of times that a worker ran the call with a key.
type Execution struct {
	Key   string `json:"key"`
	Count int    `json:"count"`
}

// Executions is the body of an answer at PathExecutions.
type Executions struct {
	Executions []Execution `json:"executions"`
}

// Result is the body of a call's answer.
type Result struct {
	Worker string `json:"worker"`
	Key    string `json:"key,omitempty"`
	// Execution counts the runs of the key on this worker, from 1; 0 without a key.
	Execution int `json:"execution,omitempty"`
	// Result is what ExpectedResult returns for the call.
	Result string `json:"result"`
}

// WorkerFault is a fault that a worker shows in a call.
type WorkerFault int

// The faults of a worker.
const (
	// CrashBefore crashes the worker before it executes a call.
	CrashBefore WorkerFault = iota + 1
	// CrashAfter crashes the worker after it has executed a call and before it answers.
	CrashAfter
	// LoseAnswer makes the worker execute a call and never answer.
	LoseAnswer
)

// Worker is a stand-in of an application worker, a plain HTTP service. It executes
// a call with HeaderIdempotencyKey each time that it arrives, without deduplication,
// and counts the executions by key. All other calls are lookups, which are not
// counted.
type Worker struct {
	cfg       WorkerConfig
	clock     kernel.Clock
	closed    chan struct{}
	closeOnce sync.Once

	mu              sync.Mutex
	executionCounts map[string]int
	pendingFaults   []WorkerFault
	extraDuration   time.Duration
	downUntil       time.Time
}

// NewWorker returns a worker. The caller has to call Close when it isn't needed any more.
func NewWorker(cfg WorkerConfig, clock kernel.Clock) *Worker {
	return &Worker{cfg: cfg, clock: clock, closed: make(chan struct{}), executionCounts: map[string]int{}}
}

// Close aborts the calls that wait after a LoseAnswer fault.
func (k *Worker) Close() { k.closeOnce.Do(func() { close(k.closed) }) }

// InjectFault makes the next n calls with an idempotency key fail with fault.
func (k *Worker) InjectFault(fault WorkerFault, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for range n {
		k.pendingFaults = append(k.pendingFaults, fault)
	}
}

// Slow adds extra to the duration of each call.
func (k *Worker) Slow(extra time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.extraDuration = extra
}

// TakeDown makes the worker unreachable for the duration d.
func (k *Worker) TakeDown(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.downUntil = k.clock.Now().Add(d)
}

// Executions returns how often each key was executed, sorted by key. The counts are
// kept when the worker crashes.
func (k *Worker) Executions() []Execution {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]Execution, 0, len(k.executionCounts))
	for key, n := range k.executionCounts {
		list = append(list, Execution{Key: key, Count: n})
	}
	slices.SortFunc(list, func(a, b Execution) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// ExpectedResult returns the result of a call.
func ExpectedResult(method, path, body string) string {
	return ExpectedText(PromptDigest(method+" "+path+"\n"+body), resultTokens)
}

// Handler returns the worker's HTTP interface: every path but PathExecutions is a call.
func (k *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathExecutions, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, Executions{Executions: k.Executions()})
	})
	mux.HandleFunc("/", k.serveCall)
	return mux
}

func (k *Worker) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		fail := httpError{http.StatusBadRequest, "bad_request", err.Error()}
		fail.write(w)
		return
	}
	k.abortIfDown()
	key := r.Header.Get(HeaderIdempotencyKey)
	fault := k.nextFault(key)
	if fault == CrashBefore {
		k.crash()
	}
	if !k.simulateWork(r) {
		return
	}
	result := Result{Worker: k.cfg.Name, Key: key, Result: ExpectedResult(r.Method, r.URL.Path, string(body))}
	result.Execution = k.execute(key)
	switch fault {
	case CrashAfter:
		k.crash()
	case LoseAnswer:
		k.hang(r)
	}
	writeJSON(w, http.StatusOK, result)
}

// nextFault removes and returns the next injected fault for a call with a key, or 0.
func (k *Worker) nextFault(key string) WorkerFault {
	k.mu.Lock()
	defer k.mu.Unlock()
	if key == "" || len(k.pendingFaults) == 0 {
		return 0
	}
	fault := k.pendingFaults[0]
	k.pendingFaults = k.pendingFaults[1:]
	return fault
}

// simulateWork waits for the duration of a call. It reports false when the caller
// disconnects before that.
func (k *Worker) simulateWork(r *http.Request) bool {
	k.mu.Lock()
	d := k.cfg.Duration.Std() + k.extraDuration
	k.mu.Unlock()
	if d <= 0 {
		return true
	}
	select {
	case <-k.clock.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// execute counts an execution of key and returns the count, or 0 without a key.
func (k *Worker) execute(key string) int {
	if key == "" {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.executionCounts[key]++
	return k.executionCounts[key]
}

// crash aborts the connection and makes the worker unreachable for RestartDelay.
func (k *Worker) crash() {
	k.mu.Lock()
	k.downUntil = k.clock.Now().Add(k.cfg.RestartDelay.Std())
	k.mu.Unlock()
	panic(http.ErrAbortHandler)
}

// abortIfDown aborts the connection while the worker is unreachable.
func (k *Worker) abortIfDown() {
	k.mu.Lock()
	down := k.clock.Now().Before(k.downUntil)
	k.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
}

// hang leaves the call without an answer until the caller disconnects or the worker
// is closed.
func (k *Worker) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-k.closed:
	}
	panic(http.ErrAbortHandler)
}
