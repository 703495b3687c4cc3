// Package lease grants rights that lapse by themselves, each with a fencing number.
package lease
