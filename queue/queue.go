// Package queue orders waiting requests by length class and client account, so that none starves.
package queue
