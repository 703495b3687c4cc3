// Package admit decides whether a request can finish within its deadline.
package admit
