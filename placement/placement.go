// Package placement decides which models, versions and roles endpoints are ordered to take.
package placement
