// Package lease implements rights that expire unless they are renewed.
//
// Permission is the right of a process to send and to accept work, which depends on a
// current configuration. Control renews it, and so do peers (with TimestampEcho) and a
// majority of the replicas of control (with Poll). Table grants named rights to one holder
// at a time, each with a fencing number.
//
// Nothing in this package locks; the caller serialises the calls.
package lease
