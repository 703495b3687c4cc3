// Package once records claims of non-idempotent calls, so that each runs at most once.
package once
