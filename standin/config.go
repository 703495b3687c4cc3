package standin

import (
	"math"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

// EngineConfig is the settings of one stand-in engine.
type EngineConfig struct {
	// Listen is the engine's address when it runs as a plug-in.
	Listen settings.Addr `json:"listen,omitempty"`
	// Name tells engines of one process apart in logs.
	Name string `json:"name,omitempty"`
	// Model is the model that is loaded. Requests for another are refused.
	Model string `json:"model" validate:"required"`
	// Version is the version of the model that is loaded.
	Version string `json:"version,omitempty"`
	// Role is what the engine does, such as "serve".
	Role string `json:"role,omitempty"`
	// KVTokens is the engine's memory in KV tokens.
	KVTokens int64 `json:"kv_tokens" validate:"min=1"`
	// CacheTokens bounds the prefix cache, which uses memory that no request holds.
	CacheTokens int64 `json:"cache_tokens" validate:"min=0"`
	// PrefillRate is the prompt speed of the whole engine in tokens a second.
	PrefillRate float64 `json:"prefill_tokens_per_second" validate:"gt=0"`
	// PrefillOrder is how prompts of one priority share the prefill speed: "equal"
	// parts for all, or by "arrival", so that one waits for those before it.
	PrefillOrder string `json:"prefill_order,omitempty" validate:"omitempty,oneof=equal arrival"`
	// DecodeRate is the output speed of one request alone, in tokens a second.
	DecodeRate float64 `json:"decode_tokens_per_second" validate:"gt=0"`
	// BatchSlowdown is by how much each further running request slows decoding.
	BatchSlowdown float64 `json:"batch_slowdown" validate:"min=0"`
	// PrefillInterference is the share of decode speed lost while prompts are processed.
	PrefillInterference float64 `json:"prefill_interference" validate:"min=0,max=1"`
	// MaxBatch is the count of requests that run together; others wait.
	MaxBatch int `json:"max_batch" validate:"min=1"`
	// TimeScale speeds the engine up: rates are multiplied and its own times divided by it.
	TimeScale float64 `json:"time_scale" validate:"gt=0"`
	// TokensPerByte converts prompt bytes to tokens, rounded up.
	TokensPerByte float64 `json:"tokens_per_byte" validate:"gt=0"`
	// OutputTokens is the shortest default output; the longest is twice as long.
	OutputTokens int `json:"output_tokens" validate:"min=1"`
	// ColdStart says what a cold engine bears.
	ColdStart ColdStart `json:"cold_start"`
	// RestartDelay is for how long a fallen engine answers nothing.
	RestartDelay settings.Duration `json:"restart_delay"`
	// LoadLag is the age of load reports.
	LoadLag settings.Duration `json:"load_lag"`
	// EventLag is the delay of cache events.
	EventLag settings.Duration `json:"event_lag"`
	// EventLossShare is the share of cache events that are lost.
	EventLossShare float64 `json:"event_gap" validate:"min=0,max=1"`
	// ResumeWindow is for how long a stream that its reader left can be resumed.
	ResumeWindow settings.Duration `json:"resume_keep"`
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool `json:"checks_fence"`
	// WeightStore is the base URL of the weight store. Empty loads at once.
	WeightStore string `json:"weight_store,omitempty" validate:"omitempty,url"`
	// WeightBytes is the size of a model's weights in the weight store.
	WeightBytes int64 `json:"weight_bytes" validate:"min=0"`
	// Step is the real time between two scheduling steps.
	Step settings.Duration `json:"step" validate:"gt=0"`
}

// ColdStart says how an engine warms up: its speed and the tokens that it can
// hold rise in a line from Capacity to all within Duration.
type ColdStart struct {
	// Duration is the time to warm up; zero starts warm.
	Duration settings.Duration `json:"duration"`
	// Capacity is the share of full load that an engine bears at its start.
	Capacity float64 `json:"capacity" validate:"min=0,max=1"`
	// WarmFirst makes the first start of a process warm.
	WarmFirst bool `json:"warm_first"`
}

// Orders of prefill.
const (
	prefillEqual   = "equal"
	prefillArrival = "arrival"
)

// DefaultEngineConfig returns the settings of a middling engine that starts warm.
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

// PromptTokens returns the tokens of a prompt of the given bytes.
func (c *EngineConfig) PromptTokens(bytes int) int64 {
	return int64(math.Ceil(float64(bytes) * c.TokensPerByte))
}

// scaled divides a time of the engine by the time scale.
func (c *EngineConfig) scaled(d settings.Duration) time.Duration {
	return time.Duration(float64(d) / c.TimeScale)
}
