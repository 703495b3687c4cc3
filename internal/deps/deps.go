//go:build deps

// Package deps holds the versions of libraries until packages import them.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/participle/v2"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/chzyer/readline"
	_ "github.com/google/uuid"
	_ "go.uber.org/goleak"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "pgregory.net/rapid"
)
