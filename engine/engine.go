// Package engine defines the public HTTP interface of model engines: paths, headers and
// JSON types. The sidecar is its client, and package standin implements a server.
//
//	POST   /v1/completions, /v1/chat/completions   OpenAI-compatible, as one JSON answer or server-sent events
//	GET    /v1/load                                Load, published with a delay
//	GET    /v1/cache/events?after=N                CacheEvents after sequence number N, delayed and with gaps
//	POST   /v1/orders                              Order; 409 for an old fencing number, if the engine checks it
//	DELETE /v1/requests/{id}                       cancels a request and frees its memory
//	GET    /v1/requests/{id}?offset=N              resumes a stream from an exact byte offset
//	POST   /v1/kv/export                           KVExport; the exported cache stays in memory
//	POST   /v1/kv/import                           KVImport
//	GET    /v1/kv/{handle}                         content of an exported cache, for the engine that imports it
//	DELETE /v1/kv/{handle}                         frees an exported or imported cache
//	GET    /v1/kv                                  KVList, all exported and imported caches
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
	// HeaderRequestID identifies a request, so that it can be cancelled or resumed. After
	// the reader of a stream has disconnected, the engine keeps the stream for a short
	// time.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority is an integer. Lower values run first.
	HeaderPriority = "X-Priority"
	// HeaderOffset is the byte offset at which a resumed stream starts. In a new request
	// it asks the engine to continue an answer that another engine has begun.
	HeaderOffset = "X-Offset"
)

// Load is the load report of an engine. It describes the engine as of AgeMS ago.
type Load struct {
	// Boot changes with each start of the engine.
	Boot uint64 `json:"boot"`
	// AgeMS is the age of the report in milliseconds, by the engine's own measurement.
	AgeMS int64 `json:"age_ms"`
	// TotalTokens and FreeTokens are the total and the free memory of the engine, in KV
	// tokens.
	TotalTokens int64 `json:"kv_tokens_total"`
	FreeTokens  int64 `json:"kv_tokens_free"`
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	// PrefillRate and DecodeRate are the recent rates, in tokens per second.
	PrefillRate float64  `json:"prefill_tokens_per_second"`
	DecodeRate  float64  `json:"decode_tokens_per_second"`
	Model       string   `json:"model"`
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters"`
	Role        string   `json:"role"`
}

// CacheEvent reports that a prompt prefix was stored in the cache or evicted from it.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Kind is "stored" or "evicted".
	Kind string `json:"kind"`
	// Prefix is the xxHash64 of the first PrefixBytes bytes of the prompt.
	Prefix uint64 `json:"prefix"`
	Tokens int64  `json:"tokens"`
}

// PrefixBytes is the length of the prompt prefix that identifies a cache entry.
const PrefixBytes = 1024

// CacheEvents is a page of cache events. Their Seq may have gaps. Next is the value of
// the parameter after for the next page.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// Order makes an engine load weights or an adapter, or change its version or role.
// Fence is its fencing number.
type Order struct {
	Fence uint64 `json:"fence"`
	// Action is "load", "adapter", "version" or "role".
	Action string `json:"action"`
	Value  string `json:"value"`
}

// OrderRefused is the body of an answer with status 409. Newest is the newest fencing
// number that the engine has seen.
type OrderRefused struct {
	Newest uint64 `json:"newest"`
}

// KVExport asks an engine to export the cache of a prefix. The answer is a KVHandle.
type KVExport struct {
	Prefix uint64 `json:"prefix"`
}

// KVImport asks an engine to import the cache with this handle from the engine with the
// base URL Source.
type KVImport struct {
	Source string `json:"source"`
	Handle string `json:"handle"`
}

// KVHandle identifies an exported or imported cache. Tokens is its size.
type KVHandle struct {
	Handle string `json:"handle"`
	Tokens int64  `json:"tokens"`
}

// KVList lists all exported and imported caches that the engine holds.
type KVList struct {
	Held []KVHandle `json:"held"`
}

// Completion holds the fields of a request that affect routing. Prompt is set for
// PathCompletions, and Messages for PathChat.
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
