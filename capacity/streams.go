package capacity

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// tokensPerRequest is the length of a short answer in tokens.
const tokensPerRequest = 4

// paths measures requests and open streams on each of the three request paths.
func paths(dir string, o Options) ([]*Table, error) {
	p, err := startTestbed(dir)
	if err != nil {
		return nil, err
	}
	defer p.stop()
	var tables []*Table
	for _, t := range p.targets {
		requests, err := p.requestTable(t, o)
		if err != nil {
			return nil, err
		}
		tables = append(tables, requests)
	}
	for _, t := range p.targets {
		streams, err := p.streamTable(t, o)
		if err != nil {
			return nil, err
		}
		tables = append(tables, streams)
	}
	return tables, nil
}

// requestTable measures short requests of one caller, sent one after the other. An
// answer that is cut off counts as broken and does not end the measurement.
func (p *testbed) requestTable(t target, o Options) (*Table, error) {
	table := &Table{
		Name:    "requests: " + t.name,
		Method:  "one caller, one after the other, 4 tokens each; processor time and allocations of all parts in this process, caller and engine included",
		X:       "requests",
		Columns: []string{"cpu ms", "allocated KB", "p50 ms", "p99 ms", "broken"},
	}
	for _, n := range o.Requests {
		allocated := allocatedBytes()
		processor, err := processorTime()
		if err != nil {
			return nil, err
		}
		broken := 0
		times, err := sortedTimes(n, func() error {
			err := p.readAnswer(t, tokensPerRequest)
			if errors.Is(err, io.ErrUnexpectedEOF) {
				broken++
				return nil
			}
			return err
		})
		if err != nil {
			return nil, err
		}
		after, err := processorTime()
		if err != nil {
			return nil, err
		}
		table.add(float64(n), milliseconds(after-processor), (allocatedBytes()-allocated)/1024,
			milliseconds(quantile(times, 0.5)), milliseconds(quantile(times, 0.99)), float64(broken))
	}
	return table, nil
}

// streamTable measures streams that are open at the same time, with 10 tokens per
// second each.
func (p *testbed) streamTable(t target, o Options) (*Table, error) {
	table := &Table{
		Name:    "open streams: " + t.name,
		Method:  "10 tokens a second on each; processor time and memory of all parts in this process, caller and engine included",
		X:       "streams",
		Columns: []string{"messages/s", "cpu %", "heap KB", "resident KB"},
	}
	s := &streams{testbed: p, target: t}
	defer s.close()
	for _, n := range o.Streams {
		if err := s.grow(n); err != nil {
			return nil, err
		}
		time.Sleep(settleTime / 3)
		heap := heapBytes()
		resident, err := residentBytes()
		if err != nil {
			return nil, err
		}
		read := s.read.Load()
		w, err := observe(nil, o.Window)
		if err != nil {
			return nil, err
		}
		rate := float64(s.read.Load()-read) / w.span.Seconds()
		table.add(float64(n), rate, w.cpuPercent(), heap/1024, resident/1024)
	}
	return table, nil
}

// streams are open streamed answers that are read as they arrive.
type streams struct {
	testbed *testbed
	target  target
	open    int
	// read counts the reads that returned data.
	read    atomic.Int64
	reading sync.WaitGroup
}

// openConcurrency is the number of streams that are opened concurrently.
const openConcurrency = 16

// grow opens streams until there are n of them.
func (s *streams) grow(n int) error {
	pending := make(chan struct{}, n)
	for ; s.open < n; s.open++ {
		pending <- struct{}{}
	}
	close(pending)
	results := make(chan error, openConcurrency)
	for range openConcurrency {
		go func() {
			for range pending {
				if err := s.start(); err != nil {
					results <- err
					return
				}
			}
			results <- nil
		}()
	}
	var err error
	for range openConcurrency {
		if e := <-results; e != nil {
			err = e
		}
	}
	return err
}

// start opens one stream and reads it in the background.
func (s *streams) start() error {
	res, err := s.testbed.open(s.target, pacedPrompt, tokensPerRequest)
	if err != nil {
		return err
	}
	s.reading.Go(func() { s.drain(res) })
	return nil
}

// drain reads the answer and counts the reads until it ends.
func (s *streams) drain(res *http.Response) {
	defer func() { _ = res.Body.Close() }()
	part := make([]byte, 1024)
	for {
		n, err := res.Body.Read(part)
		if n > 0 {
			s.read.Add(1)
		}
		if err != nil {
			return
		}
	}
}

// close ends all streams and waits for their readers.
func (s *streams) close() {
	s.testbed.engine.release()
	s.reading.Wait()
}
