// Package standin provides simulated model engines, application workers and a
// simulated weight store, with the HTTP interfaces of the real ones. They replace
// these in tests, experiments and small deployments.
//
// An Engine simulates what matters to a serving layer: continuous batching, memory
// in KV tokens, a prefix cache, cold starts, delayed load reports and cache events,
// and orders. It runs no model. Its output is derived from the prompt, so that a
// caller can check that it received the complete answer to its own request.
package standin
