// Package engine holds the published HTTP interface of model engines: paths,
// headers and JSON types. The sidecar speaks it, and package standin serves it.
//
//	POST   /v1/completions, /v1/chat/completions   OpenAI style, whole or server-sent events
//	GET    /v1/load                                Load, published with a lag
//	GET    /v1/cache/events?after=N                CacheEvents, late and with gaps
//	POST   /v1/orders                              Order; 409 for an old fencing number, where checked
//	DELETE /v1/requests/{id}                       cancels a request and frees its memory
//	GET    /v1/requests/{id}?offset=N              resumes a stream from an exact byte offset
//	POST   /v1/kv/export                           KVExport; the exported cache stays in memory
//	POST   /v1/kv/import                           KVImport
//	GET    /v1/kv/{handle}                         the cache's content, for the engine that imports it
//	DELETE /v1/kv/{handle}                         frees an exported or imported cache
//	GET    /v1/kv                                  KVList, all that is held
package engine

// Paths of the interface.
const (
	PathCompletions = "/v1/completions"
	PathChat        = "/v1/chat/completions"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache/events"
	PathOrders      = "/v1/orders"
	PathRequests    = "/v1/requests/"
	PathKV          = "/v1/kv"
	PathKVExport    = "/v1/kv/export"
	PathKVImport    = "/v1/kv/import"
)

// Headers of the interface.
const (
	// HeaderRequestID names a request, for cancel and resume. The engine keeps a
	// stream that its reader left for a short time, so that it can be resumed.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority is an integer; lower runs first.
	HeaderPriority = "X-Priority"
	// HeaderOffset is the byte offset at which a resumed stream starts. On a new
	// request it continues an answer that another engine began.
	HeaderOffset = "X-Offset"
)

// Load is what an engine reports about itself, some time late.
type Load struct {
	// Boot changes each time that the engine starts.
	Boot uint64 `json:"boot"`
	// AgeMS is how old the report is, in milliseconds, as far as the engine knows.
	AgeMS int64 `json:"age_ms"`
	// TotalTokens and FreeTokens are the engine's memory in KV tokens.
	TotalTokens int64 `json:"kv_tokens_total"`
	FreeTokens  int64 `json:"kv_tokens_free"`
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	// PrefillRate and DecodeRate are recent speeds in tokens a second.
	PrefillRate float64  `json:"prefill_tokens_per_second"`
	DecodeRate  float64  `json:"decode_tokens_per_second"`
	Model       string   `json:"model"`
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters"`
	Role        string   `json:"role"`
}

// CacheEvent says that a prompt prefix was stored in or evicted from the cache.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Kind is "stored" or "evicted".
	Kind string `json:"kind"`
	// Prefix is the xxhash64 of the prefix's first PrefixBytes bytes.
	Prefix uint64 `json:"prefix"`
	Tokens int64  `json:"tokens"`
}

// PrefixBytes is the length of the prompt prefix that cache events name.
const PrefixBytes = 1024

// CacheEvents is a page of cache events. Seq may have gaps.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// Order tells an engine to load weights or change what it does.
type Order struct {
	Fence uint64 `json:"fence"`
	// Action is "load", "adapter", "version" or "role".
	Action string `json:"action"`
	Value  string `json:"value"`
}

// OrderRefused is the body of a 409: the newest fencing number seen.
type OrderRefused struct {
	Newest uint64 `json:"newest"`
}

// KVExport asks to export the cache of a prefix; the answer is a KVHandle.
type KVExport struct {
	Prefix uint64 `json:"prefix"`
}

// KVImport asks to import an exported cache from another engine.
type KVImport struct {
	Source string `json:"source"`
	Handle string `json:"handle"`
}

// KVHandle names an exported or imported cache.
type KVHandle struct {
	Handle string `json:"handle"`
	Tokens int64  `json:"tokens"`
}

// KVList is every exported or imported cache that the engine still holds.
type KVList struct {
	Held []KVHandle `json:"held"`
}

// Completion is the part of a request that matters to routing. Prompt is a
// string for completions; Messages holds the chat.
type Completion struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}
