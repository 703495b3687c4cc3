// Package stream checks that an answer is whole and bounds the memory held for slow readers.
package stream
