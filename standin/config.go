package standin

import (
	"math"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

// EngineConfig holds the settings of one stand-in engine.
type EngineConfig struct {
	// Listen is the engine's address when it runs as a plug-in.
	Listen settings.Addr `json:"listen,omitempty"`
	// Name identifies the engine in logs.
	Name string `json:"name,omitempty"`
	// Model is the loaded model. Requests for another model are refused.
	Model string `json:"model" validate:"required"`
	// Version is the version of the loaded model.
	Version string `json:"version,omitempty"`
	// Role is the engine's initial role, such as "serve". It appears in load reports.
	Role string `json:"role,omitempty"`
	// KVTokens is the size of the engine's KV memory in tokens.
	KVTokens int64 `json:"kv_tokens" validate:"min=1"`
	// CacheTokens is the maximum size of the prefix cache in tokens. The cache uses
	// only memory that is not used by requests.
	CacheTokens int64 `json:"cache_tokens" validate:"min=0"`
	// PrefillRate is the prefill rate of the engine in tokens per second. All prompts
	// share it.
	PrefillRate float64 `json:"prefill_tokens_per_second" validate:"gt=0"`
	// PrefillOrder says how prompts of one priority share the prefill rate: "equal"
	// gives each the same share, "arrival" processes them one after another.
	PrefillOrder string `json:"prefill_order,omitempty" validate:"omitempty,oneof=equal arrival"`
	// DecodeRate is the output rate of a request that runs alone, in tokens per second.
	DecodeRate float64 `json:"decode_tokens_per_second" validate:"gt=0"`
	// BatchSlowdown lowers the decode rate for each further running request: with n
	// requests, the rate is divided by 1 + (n-1)*BatchSlowdown.
	BatchSlowdown float64 `json:"batch_slowdown" validate:"min=0"`
	// PrefillInterference is the share of the decode rate that is lost during prefill.
	PrefillInterference float64 `json:"prefill_interference" validate:"min=0,max=1"`
	// MaxBatch is the maximum number of requests that run at once; others wait.
	MaxBatch int `json:"max_batch" validate:"min=1"`
	// TimeScale makes the engine run faster than real time: token rates are multiplied
	// by it, and the engine's times and delays, except Step, are divided by it.
	TimeScale float64 `json:"time_scale" validate:"gt=0"`
	// TokensPerByte converts prompt bytes to tokens, rounded up.
	TokensPerByte float64 `json:"tokens_per_byte" validate:"gt=0"`
	// OutputTokens is the minimum output length, in tokens, of a request that sets no
	// maximum. The length depends on the prompt and is at most twice this value.
	OutputTokens int `json:"output_tokens" validate:"min=1"`
	// ColdStart says how the engine warms up after a start.
	ColdStart ColdStart `json:"cold_start"`
	// RestartDelay is how long the engine is unreachable after a crash.
	RestartDelay settings.Duration `json:"restart_delay"`
	// LoadLag is the minimum age of the load samples that the engine publishes.
	LoadLag settings.Duration `json:"load_lag"`
	// EventLag is the delay with which cache events are published.
	EventLag settings.Duration `json:"event_lag"`
	// EventLossShare is the share of cache events that are lost, from 0 to 1.
	EventLossShare float64 `json:"event_gap" validate:"min=0,max=1"`
	// ResumeWindow is how long a request with an ID can be resumed after its reader
	// has disconnected.
	ResumeWindow settings.Duration `json:"resume_keep"`
	// ChecksFence makes the engine refuse orders whose fencing number is lower than
	// the highest one it has seen.
	ChecksFence bool `json:"checks_fence"`
	// WeightStore is the base URL of the weight store. When it is empty, loading a
	// model takes no time.
	WeightStore string `json:"weight_store,omitempty" validate:"omitempty,url"`
	// WeightBytes is the size of a model's weights, in bytes, that the engine reads
	// from the weight store.
	WeightBytes int64 `json:"weight_bytes" validate:"min=0"`
	// Step is the interval between scheduling steps, in real time.
	Step settings.Duration `json:"step" validate:"gt=0"`
}

// ColdStart describes how an engine warms up: its token rates and the number of
// tokens that its requests may hold rise linearly from the share Capacity to their
// full values within Duration.
type ColdStart struct {
	// Duration is the time to warm up; with zero, the engine starts warm.
	Duration settings.Duration `json:"duration"`
	// Capacity is the share of its full capacity that an engine has at its start.
	Capacity float64 `json:"capacity" validate:"min=0,max=1"`
	// WarmFirst makes the engine warm at the start of its process, but not after a
	// crash or reload.
	WarmFirst bool `json:"warm_first"`
}

// Values of EngineConfig.PrefillOrder.
const (
	prefillEqual   = "equal"
	prefillArrival = "arrival"
)

// DefaultEngineConfig returns the settings of a medium-sized engine that starts warm.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		Model:               "model",
		Version:             "1",
		Role:                "serve",
		KVTokens:            500_000,
		CacheTokens:         200_000,
		PrefillRate:         20_000,
		PrefillOrder:        prefillEqual,
		DecodeRate:          60,
		BatchSlowdown:       0.03,
		PrefillInterference: 0.5,
		MaxBatch:            32,
		TimeScale:           1,
		TokensPerByte:       0.25,
		OutputTokens:        32,
		ColdStart:           ColdStart{Capacity: 0.1},
		RestartDelay:        settings.Duration(time.Second),
		ResumeWindow:        settings.Duration(5 * time.Second),
		Step:                settings.Duration(5 * time.Millisecond),
	}
}

// PromptTokens returns the number of tokens of a prompt with the given length in
// bytes.
func (c *EngineConfig) PromptTokens(bytes int) int64 {
	return int64(math.Ceil(float64(bytes) * c.TokensPerByte))
}

// scaled converts a duration of the simulated engine to real time.
func (c *EngineConfig) scaled(d settings.Duration) time.Duration {
	return time.Duration(float64(d) / c.TimeScale)
}
