// Package standin serves small stand-ins of model engines, application workers
// and the weight store at their published interfaces.
//
// An Engine models what matters to a serving layer: continuous batching, memory
// in KV tokens, a prefix cache, cold starts, late reports and orders. It runs no
// model. Its output is derived from the prompt, so that a caller can check that
// it received the whole answer to its own request.
package standin
