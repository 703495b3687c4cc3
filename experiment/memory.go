package experiment

import (
	"bufio"
	"context"
	"net/http"
	"runtime/metrics"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
)

// MemorySample is the memory at one time of a run.
type MemorySample struct {
	// At is in model time from the part's start.
	At time.Duration
	// Bytes is the resident memory of the entries where they are processes of
	// their own; else the stacks of this whole process and the heap that its last
	// garbage collection found alive.
	Bytes int64
	// Held is what the system says that it holds for callers.
	Held int64
}

// memorySamples is the count of samples in a part.
const memorySamples = 60

const residentMetric = "process_resident_memory_bytes"

// sampleMemory samples until ctx ends.
func sampleMemory(ctx context.Context, s *Scenario, p *Part, sys *System, clock kernel.Clock) []MemorySample {
	start := clock.Now()
	pause := max(s.real(s.duration(p))/memorySamples, time.Millisecond)
	var list []MemorySample
	for {
		select {
		case <-ctx.Done():
			return list
		case <-clock.After(pause):
		}
		sample := MemorySample{At: s.model(clock.Now().Sub(start)), Bytes: systemMemory(ctx, sys)}
		if sys.Held != nil {
			sample.Held = sys.Held()
		}
		list = append(list, sample)
	}
}

func systemMemory(ctx context.Context, sys *System) int64 {
	if len(sys.Metrics) == 0 {
		return processMemory()
	}
	var sum int64
	for _, url := range sys.Metrics {
		sum += scrapeResidentBytes(ctx, url)
	}
	return sum
}

// processMemory returns the bytes of this process's live heap and stacks.
func processMemory() int64 {
	samples := []metrics.Sample{
		{Name: "/gc/heap/live:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"},
	}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() + samples[1].Value.Uint64())
}

// scrapeResidentBytes reads the scrapeResidentBytes memory from a Prometheus page; 0 when it fails.
func scrapeResidentBytes(ctx context.Context, url string) int64 {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if rest, ok := strings.CutPrefix(lines.Text(), residentMetric+" "); ok {
			bytes, _ := strconv.ParseFloat(rest, 64)
			return int64(bytes)
		}
	}
	return 0
}

// MemoryUse sums the memory of a part with slow readers up.
type MemoryUse struct {
	// Readers is how many slow readers had their streams open at the end.
	Readers int
	// Before is the last sample before the slow readers came, and Peak the largest
	// one after.
	Before   int64
	Peak     int64
	HeldPeak int64
}

func memoryUse(list []MemorySample, from time.Duration) MemoryUse {
	var u MemoryUse
	for _, m := range list {
		if m.At < from {
			u.Before = m.Bytes
			continue
		}
		u.Peak = max(u.Peak, m.Bytes)
		u.HeldPeak = max(u.HeldPeak, m.Held)
	}
	return u
}
