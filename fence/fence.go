// Package fence refuses orders that carry a fencing number older than the newest one seen.
package fence
