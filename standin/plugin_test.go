package standin

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

func TestPluginsStartAndStop(t *testing.T) {
	is := is.New(t)
	f := &settings.File{Plugins: map[string]json.RawMessage{
		"standin.engine":       json.RawMessage(`{"listen":"127.0.0.1:0","model":"scribe"}`),
		"standin.worker":       json.RawMessage(`{"listen":"127.0.0.1:0"}`),
		"standin.weight_store": json.RawMessage(`{"listen":"127.0.0.1:0"}`),
		"standin.fleet":        json.RawMessage(`{"engines":[{"listen":"127.0.0.1:0","model":"a"}],"workers":[{"listen":"127.0.0.1:0"}]}`),
	}}
	h := kernel.NewHost(f, hclog.NewNullLogger())
	is.NoErr(h.LoadAll(f))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	cancel()
	is.NoErr(<-done)
}

func TestPluginSettingsAreChecked(t *testing.T) {
	cases := []struct{ plugin, raw, fault string }{
		{"standin.engine", `{"listen":"127.0.0.1:0","model":"a","kv_tokens":0}`, "kv_tokens"},
		{"standin.engine", `{"listen":"127.0.0.1:0","model":"a","speed":1}`, "speed"},
		{"standin.engine", `{"listen":"localhost:1","model":"a"}`, "IP address"},
		{"standin.worker", `{"listen":"127.0.0.1:0","duration":5}`, "duration"},
		{"standin.weight_store", `{"listen":"127.0.0.1:0","bytes_per_second":0}`, "bytes_per_second"},
		{"standin.fleet", `{"engines":[{"listen":"127.0.0.1:0","model":""}]}`, "engines[0].model"},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			f := &settings.File{Plugins: map[string]json.RawMessage{c.plugin: json.RawMessage(c.raw)}}
			err := kernel.Check(f)
			is.New(t).True(err != nil && strings.Contains(err.Error(), c.fault))
		})
	}
}
