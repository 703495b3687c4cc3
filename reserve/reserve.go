// Package reserve keeps the reservations of an engine's memory in KV tokens.
package reserve
