package costmodel

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// published returns the published figures of the engine in both deployments, without
// the step time between chunks.
func published() *Engine {
	return &Engine{PrefillTokensPerSecond: 206_000, TimePerMegapair: 138 * time.Microsecond}
}

func TestPrefillTimes(t *testing.T) {
	tests := map[int]time.Duration{ // by tokens; the figures are worked out by hand
		5_000:   26 * time.Millisecond,
		24_000:  156 * time.Millisecond,
		45_000:  358 * time.Millisecond,
		110_000: 1369 * time.Millisecond,
		133_000: 1866 * time.Millisecond,
		160_000: 2543 * time.Millisecond,
		232_000: 4840 * time.Millisecond,
		600_000: 27_753 * time.Millisecond,
	}
	for tokens, want := range tests {
		got := published().PrefillTime(tokens)
		if diff := got - want; diff < -2*time.Millisecond || diff > 2*time.Millisecond {
			t.Errorf("prefill time of %d tokens: %v, want %v", tokens, got, want)
		}
	}
}

func TestPrefillTimeIncludesSteps(t *testing.T) {
	is := is.New(t)
	e := published()
	e.Chunk, e.StepTime = 2048, time.Millisecond
	is.Equal(e.PrefillTime(20480)-published().PrefillTime(20480), 10*time.Millisecond)
}

func TestEnginesWithinLimit(t *testing.T) {
	is := is.New(t)
	e := published()
	for _, tokens := range []int{1_000, 45_000, 133_000, 600_000} {
		n := e.EnginesWithin(tokens, 100*time.Millisecond)
		is.True(e.SharedPrefillTime(tokens, n) <= 100*time.Millisecond)
		is.True(n == 1 || e.SharedPrefillTime(tokens, n-1) > 100*time.Millisecond)
	}
	is.Equal(e.EnginesWithin(600_000, 0), 1) // no limit
	is.Equal((&Engine{}).PrefillTime(1000), time.Duration(0))
}

// An engine at the published figures with 16 slots and memory for 232,000 tokens takes 2.056 ms a step when it is full.
func TestFullDecodeTimes(t *testing.T) {
	e := published()
	e.Slots, e.MemoryTokens, e.Stride = 16, 232_000, 43
	e.StepTime, e.SequenceTime, e.ContextTime = 1020*time.Microsecond, 2260*time.Nanosecond, 4310*time.Nanosecond
	for tokens, runs := range map[int]time.Duration{0: 0, 1: 1, 43: 1, 44: 2, 1359: 32, 3397: 79} {
		got, ok := e.FullDecodeTime(tokens)
		want := runs * 43 * 2056 * time.Microsecond
		if diff := got - want; !ok || diff < -runs*time.Millisecond || diff > runs*time.Millisecond {
			t.Errorf("decode time of %d tokens: %v, want %v", tokens, got, want)
		}
	}
	_, ok := (&Engine{PrefillTokensPerSecond: 1e6}).FullDecodeTime(10)
	if ok {
		t.Error("an engine that states no step time has a decode time")
	}
}
