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

// MemorySample is the memory in use at one time of a run.
type MemorySample struct {
	// At is in model time from the part's start.
	At time.Duration
	// Bytes is the resident memory of the entries if they are separate processes,
	// otherwise the stacks and the live heap after the last garbage collection of this
	// process.
	Bytes int64
	// Held is the number of bytes that the system holds for callers, as reported by
	// System.Held.
	Held int64
}

// memorySamples is the number of samples taken in a part.
const memorySamples = 60

// residentMetric is the standard Prometheus metric of a process's resident memory.
const residentMetric = "process_resident_memory_bytes"

// sampleMemory samples the memory at regular intervals until ctx ends.
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

// systemMemory returns the memory described at MemorySample.Bytes.
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

// scrapeResidentBytes reads the resident memory from a Prometheus page. It returns 0 on
// failure.
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

// MemoryUse summarizes the memory samples of a part with slow readers.
type MemoryUse struct {
	// Readers is the number of slow readers whose streams began.
	Readers int
	// Before is the last sample of MemorySample.Bytes before the first slow reader, and
	// Peak the largest one after it.
	Before int64
	Peak   int64
	// HeldPeak is the largest sample of MemorySample.Held after the first slow reader.
	HeldPeak int64
}

// memoryUse summarizes samples of a part whose first slow reader is due at from.
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
