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

// processorTime is the processor time that this process has used, user and system.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// heapBytes is the memory in use by the heap and the stacks after a collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// allocatedBytes is the heap memory allocated since the start, freed or not.
func allocatedBytes() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.TotalAlloc)
}

// residentBytes is the memory of the process that the kernel keeps in place.
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
