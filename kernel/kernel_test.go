package kernel

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

type samplePlugin struct {
	Size        int `json:"size" validate:"min=1"`
	provisioned bool
}

var _ Provisioner = (*samplePlugin)(nil)

func (s *samplePlugin) Provision(*Host) error {
	s.provisioned = true
	return nil
}

// lastSample is the test.sample plug-in that was created last.
var lastSample *samplePlugin

func init() {
	Register(PluginInfo{ID: "test.sample", New: func() any {
		lastSample = &samplePlugin{Size: 3}
		return lastSample
	}})
}

func TestLoadAllReportsEveryFaultAndProvisionsNothing(t *testing.T) {
	is := is.New(t)
	lastSample = nil
	f := &settings.File{Plugins: map[string]json.RawMessage{
		"test.sample":  json.RawMessage(`{"size":0}`),
		"test.missing": json.RawMessage(`{}`),
	}}
	h := NewHost(f, hclog.NewNullLogger())
	err := h.LoadAll(f)
	faults, ok := err.(settings.Faults)
	is.True(ok)
	is.Equal(len(faults), 2)
	is.Equal(faults[0].Path, "plugins.test.missing")
	is.Equal(faults[1].Path, "plugins.test.sample.size")
	is.True(!lastSample.provisioned)
}

func TestCheckRequiresTLSSettingsForPlugin(t *testing.T) {
	is := is.New(t)
	Register(PluginInfo{ID: "test.identity", RequiresTLS: true, New: func() any { return &samplePlugin{Size: 1} }})
	f := &settings.File{Plugins: map[string]json.RawMessage{"test.identity": json.RawMessage(`{}`)}}
	faults, ok := Check(f).(settings.Faults)
	is.True(ok)
	is.Equal(faults[0].Path, "tls")
	f.TLS = &settings.TLS{}
	is.NoErr(Check(f))
}

func TestPoolCloseRunsQueuedTasks(t *testing.T) {
	is := is.New(t)
	p := NewPool(1, 2)
	release := make(chan struct{})
	ran := make(chan int, 3)
	is.NoErr(p.Submit(func() { <-release; ran <- 1 }))
	for p.Submit(func() { ran <- 2 }) == nil { // until the worker is busy and the queue is full
	}
	is.Equal(p.Submit(func() {}), ErrPoolFull)
	close(release)
	is.NoErr(p.Close(context.Background()))
	is.Equal(<-ran, 1)
	is.Equal(<-ran, 2)
	is.True(p.Submit(func() {}) != nil)
}

func TestLoadAllKeepsDefaults(t *testing.T) {
	is := is.New(t)
	f := &settings.File{Plugins: map[string]json.RawMessage{"test.sample": json.RawMessage(`{}`)}}
	h := NewHost(f, hclog.NewNullLogger())
	is.NoErr(h.LoadAll(f))
	is.Equal(lastSample.Size, 3)
	is.True(lastSample.provisioned)
}
