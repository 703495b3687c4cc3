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

// An engine at the published figures with 16 slots and memory for 232,000 tokens takes 2.06 ms a step when it is full, 43 of
// them between two chunks of prompts of 75 ms.
func TestLongestAnswerTimes(t *testing.T) {
	e := published()
	e.Slots, e.MemoryTokens, e.Chunk, e.Stride = 16, 232_000, 2048, 43
	e.StepTime, e.SequenceTime, e.ContextTime = 1020*time.Microsecond, 2260*time.Nanosecond, 4310*time.Nanosecond
	for _, test := range []struct {
		prompt, output int
		want           time.Duration
	}{
		{prompt: 0, output: 0, want: 0},
		{prompt: 1, output: 1, want: 2 * 166 * time.Millisecond},
		{prompt: 4960, output: 1359, want: 35 * 166 * time.Millisecond},
		{prompt: 45_000, output: 817, want: 41 * 166 * time.Millisecond},
	} {
		got, ok := e.LongestAnswerTime(test.prompt, test.output)
		if !ok {
			t.Errorf("no longest time for %d and %d tokens", test.prompt, test.output)
		}
		if diff := got - test.want; diff < -test.want/50 || diff > test.want/50 {
			t.Errorf("longest time for %d and %d tokens: %v, want %v", test.prompt, test.output, got, test.want)
		}
	}
}

func TestEngineWithoutSpeedHasNoLongestAnswerTime(t *testing.T) {
	is := is.New(t)
	for _, e := range []Engine{{}, {StepTime: time.Millisecond}, {PrefillTokensPerSecond: 1e6}} {
		_, ok := e.LongestAnswerTime(10, 10)
		is.True(!ok)
	}
}
