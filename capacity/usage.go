package capacity

import (
	"bytes"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// processorTime returns the user and system processor time that this process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// heapBytes returns the memory in use by the heap and the stacks after a garbage
// collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// allocatedBytes returns the heap memory allocated since the start of the process,
// whether freed or not.
func allocatedBytes() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.TotalAlloc)
}

// residentBytes returns the resident memory of the process.
func residentBytes() (float64, error) {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, errors.Wrap(err, "read resident memory")
	}
	fields := bytes.Fields(raw)
	if len(fields) < 2 {
		return 0, errors.Errorf("resident memory is missing in %q", raw)
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	return float64(pages) * float64(os.Getpagesize()), errors.Wrap(err, "parse resident memory")
}
