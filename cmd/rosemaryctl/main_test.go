package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/cli"
	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control"
	"github.com/rosemaryproxy/rosemaryproxy/examples"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/operator"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// ctl runs rosemaryctl with args and returns its output, with the error if it fails, and its exit
// code.
func ctl(stdin string, args ...string) (string, int) {
	var out bytes.Buffer
	root := newRoot()
	root.SetArgs(args)
	root.SetIn(strings.NewReader(stdin))
	root.SetOut(&out)
	root.SetErr(&out)
	if err := root.ExecuteContext(context.Background()); err != nil {
		return out.String() + err.Error(), exitCode(err)
	}
	return out.String(), 0
}

// startControl starts one replica of control with the configuration of the Kerlouan example. It
// returns the flags with which rosemaryctl connects to the replica.
func startControl(t *testing.T) []string {
	is := is.New(t)
	dir := t.TempDir()
	d := examples.Kerlouan()
	is.NoErr(d.Write(dir))
	keys := filepath.Join(dir, "keys")
	f := &settings.File{
		Node: settings.Node{Name: "control-1", Region: d.Region, Zone: d.Zones[0]},
		TLS: &settings.TLS{
			CA:   filepath.Join(keys, "ca.pem"),
			Cert: filepath.Join(keys, "control-1.pem"),
			Key:  filepath.Join(keys, "control-1.key"),
		},
	}
	raw, err := json.Marshal(map[string]any{
		"listen": "127.0.0.1:0", "id": 1, "replicas": map[string]string{"1": "127.0.0.1:1"},
		"data": filepath.Join(dir, "data"), "bootstrap": filepath.Join(dir, "bootstrap.json"),
	})
	is.NoErr(err)
	p, err := kernel.NewHost(f, hclog.NewNullLogger()).Load("control", raw)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.(*control.Plugin).Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return []string{"--control", p.(*control.Plugin).Addr(), "--tls", keys, "--timeout", time.Minute.String()}
}

func TestStatementsAgainstControl(t *testing.T) {
	is := is.New(t)
	flags := startControl(t)
	run := func(stdin string, words ...string) (string, int) { return ctl(stdin, append(flags, words...)...) }

	out, code := run("", "show", "zones", "where", "zone", "=", "kerlouan-hall")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "kerlouan-hall  leon-coast  in"))

	out, code = run("", "--json", "take zone kerlouan-hall out expecting revision 1")
	is.Equal(code, 0)
	var accepted operator.Accepted
	is.NoErr(json.Unmarshal([]byte(out), &accepted))
	is.Equal(accepted.Revision, uint64(2))

	out, code = run("", "--id", accepted.ID, "take", "zone", "kerlouan-hall", "out")
	is.Equal(code, 0)
	is.True(strings.HasPrefix(out, "accepted before as revision 2: zone kerlouan-hall: out"))

	out, code = run("", "bring", "zone", "kerlouan-hall", "in", "expecting", "revision", "1")
	is.Equal(code, exitConflict)
	is.True(strings.Contains(out, "revision 2 by operator: zone kerlouan-hall: out"))

	out, code = run("bring zone kerlouan-hall in\ntake zone nowhere out\n", "run", "-")
	is.Equal(code, exitUsage)
	is.True(strings.Contains(out, "accepted as revision 3"))
	is.True(strings.Contains(out, `line 2, column 11: no zone "nowhere"`))

	_, code = run("", "wait", "revision", "99", "for", "1ms")
	is.Equal(code, exitFailed)
}

func TestExitCodes(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	_, err := wire.NewAuthority(dir)
	is.NoErr(err)
	_, code := ctl("", "keys", "issue", dir, "operator", "--role", "operator")
	is.Equal(code, 0)
	tests := []struct {
		name string
		args []string
		want int
	}{
		{"nothing", nil, 0},
		{"version", []string{"version"}, 0},
		{"statements", []string{"statements"}, 0},
		{"statement with a fault", []string{"show", "shoes"}, exitUsage},
		{"no address", []string{"show", "zones"}, exitUsage},
		{"host name", []string{"--control", "localhost:1", "show", "zones"}, exitUsage},
		{"unknown flag", []string{"--colour", "show", "zones"}, exitUsage},
		{"no keys", []string{"--control", "127.0.0.1:1", "--tls", filepath.Join(dir, "none"), "show", "zones"}, exitUsage},
		{"no script", []string{"run", filepath.Join(dir, "none")}, exitUsage},
		{"too few arguments", []string{"run"}, exitUsage},
		{"unreachable", []string{"--control", "127.0.0.1:1", "--tls", dir, "--timeout", "50ms", "show", "zones"}, exitUnreachable},
		{"bad identifier", []string{"--control", "127.0.0.1:1", "--tls", dir, "--id", "x", "drop", "route", "r"}, exitUsage},
		{"identifier of a script", []string{"--id", "x", "run", "-"}, exitUsage},
		{"unknown example", []string{"example", "paris", dir}, exitUsage},
		{"unknown role", []string{"keys", "issue", dir, "x", "--role", "king"}, exitUsage},
		{"name outside the folder", []string{"keys", "issue", dir, "../x", "--role", "entry"}, exitUsage},
		{"existing authority", []string{"keys", "authority", dir}, exitFailed},
		{"existing key", []string{"keys", "issue", dir, "operator", "--role", "operator"}, exitFailed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			out, code := ctl("", test.args...)
			t.Log(out)
			is.Equal(code, test.want)
		})
	}
	is.Equal(exitCode(&operator.UncertainError{Err: verdict.Uncertain(verdict.ReasonNoQuorum, 0, "x")}), exitUnreachable)
	is.Equal(exitCode(errors.New("x")), exitFailed)
}

func TestFailuresAsJSON(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	_, fault := operator.Compile("take zone hall")
	report(&out, fault, true)
	report(&out, &operator.UncertainError{ID: "7", Err: verdict.Uncertain(verdict.ReasonNoQuorum, 0, "x")}, true)
	is.Equal(out.String(), `{"error":{"code":2,"message":"expected \"out\", found the end of the statement","column":16}}`+"\n"+
		`{"error":{"code":4,"message":"no answer to order 7; it may have been accepted: look for it in \"history\", or give it again with --id 7 (may_have_run: no_quorum: x)","verdict":"may_have_run","reason":"no_quorum","id":"7"}}`+"\n")
	out.Reset()
	report(&out, fault, false)
	is.Equal(out.String(), "rosemaryctl: "+fault.Error()+"\n")
}

func TestRotateKeepsTheRoleAndChangesTheKey(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	_, code := ctl("", "keys", "authority", dir)
	is.Equal(code, 0)
	_, code = ctl("", "keys", "issue", dir, "entry-1", "--role", "entry")
	is.Equal(code, 0)
	before, err := os.ReadFile(filepath.Join(dir, "entry-1.key"))
	is.NoErr(err)
	out, code := ctl("", "keys", "rotate", dir, "entry-1")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "with role entry"))
	after, err := os.ReadFile(filepath.Join(dir, "entry-1.key"))
	is.NoErr(err)
	is.True(!bytes.Equal(before, after))
	_, code = ctl("", "keys", "rotate", dir, "entry-2")
	is.Equal(code, exitFailed)
}

func TestKeyHash(t *testing.T) {
	is := is.New(t)
	out, code := ctl("demo-notaries\n", "key", "hash")
	is.Equal(code, 0)
	is.Equal(out, config.HashKey("demo-notaries")+"\n")
	_, code = ctl("", "key", "hash")
	is.Equal(code, exitUsage)
}

func TestWordsAreJoinedToAStatement(t *testing.T) {
	is := is.New(t)
	is.Equal(statement([]string{"show zones where a = b"}), "show zones where a = b")
	is.Equal(statement([]string{"show", "routes", "where", "non_idempotent", "=", "POST /seal"}), `show routes where non_idempotent = "POST /seal"`)
}

func TestSettingsPageIsCurrent(t *testing.T) {
	is := is.New(t)
	var want bytes.Buffer
	is.NoErr(cli.WriteSettingsReference(&want, filepath.Join("..", "..")))
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operations", "settings.md"))
	is.NoErr(err)
	if !bytes.Equal(page, want.Bytes()) {
		t.Error("docs/operations/settings.md is not current; run: go run ./cmd/rosemaryctl settings-reference --source . > docs/operations/settings.md")
	}
}
