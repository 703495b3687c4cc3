// Package health detects endpoints that fail slowly.
package health
