// Package e2e tests the built programs as separate processes on one machine.
package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/dev"
)

// programs maps the ID of a plug-in to the program that contains it.
var programs = map[string]string{
	"control":        "rosemary-control",
	"entry":          "rosemary-entry",
	"sidecar":        "rosemary-sidecar",
	"standin.engine": "rosemary-standin",
	"standin.worker": "rosemary-standin",
}

// system is a deployment of separate processes.
type system struct {
	t *testing.T
	// bin is the folder of the programs, and dir that of keys, settings and data.
	bin   string
	dir   string
	files *dev.Files
	// procs are the running processes and logs the log outputs of all processes, by
	// name of the process.
	procs map[string]*exec.Cmd
	logs  map[string]*bytes.Buffer
}

// build builds all programs and returns their folder.
func build(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", bin+"/", "../cmd/...").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// newSystem builds the programs and starts every process of p.
func newSystem(t *testing.T, p *dev.Plan) *system {
	t.Helper()
	s := &system{t: t, bin: build(t), dir: t.TempDir(), procs: map[string]*exec.Cmd{}, logs: map[string]*bytes.Buffer{}}
	p.Dir = s.dir
	files, err := p.Settings()
	if err != nil {
		t.Fatal(err)
	}
	if err := files.Write(s.dir); err != nil {
		t.Fatal(err)
	}
	s.files = files
	t.Cleanup(s.stopAll)
	for name := range files.Settings {
		s.start(name)
	}
	return s
}

// program returns the path of the program that runs the process with the given name.
func (s *system) program(name string) string {
	for plugin := range s.files.Settings[name].Plugins {
		return filepath.Join(s.bin, programs[plugin])
	}
	return ""
}

func (s *system) start(name string) { s.startTo(name, nil) }

// startTo starts a process with this standard output, or none.
func (s *system) startTo(name string, stdout io.Writer) {
	s.t.Helper()
	c := exec.Command(s.program(name), "--settings", filepath.Join(s.dir, name+".json"))
	if s.logs[name] == nil {
		s.logs[name] = &bytes.Buffer{}
	}
	c.Stdout, c.Stderr = stdout, s.logs[name]
	if err := c.Start(); err != nil {
		s.t.Fatalf("start %s: %v", name, err)
	}
	s.procs[name] = c
}

// stop stops a process gracefully, with SIGTERM, and returns its exit error.
func (s *system) stop(name string) error {
	c := s.procs[name]
	delete(s.procs, name)
	_ = c.Process.Signal(syscall.SIGTERM)
	return c.Wait()
}

// kill ends a process with SIGKILL.
func (s *system) kill(name string) {
	c := s.procs[name]
	delete(s.procs, name)
	_ = c.Process.Kill()
	_ = c.Wait()
}

// stopAll kills all processes, and logs the ends of their log outputs when the test
// has failed.
func (s *system) stopAll() {
	for name := range s.procs {
		s.kill(name)
	}
	if s.t.Failed() {
		for name, log := range s.logs {
			s.t.Logf("--- %s\n%s", name, tail(log.String(), 4000))
		}
	}
}

// tail returns the last n bytes of s.
func tail(s string, n int) string { return s[max(0, len(s)-n):] }

// eventually polls ok until it returns true. It fails the test after 90 s.
func (s *system) eventually(what string, ok func() bool) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	for !ok() {
		select {
		case <-ctx.Done():
			s.t.Fatalf("condition not reached within the timeout: %s", what)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// answer is the answer that a caller received; err is set when the connection broke.
type answer struct {
	status  int
	verdict string
	body    string
	err     error
}

// post sends a request of the small deployment's client account to an entry.
func post(entry, path, body string, header map[string]string) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+entry+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+dev.SmallKey)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, verdict: res.Header.Get("X-Verdict"), body: string(raw), err: err}
}

// postPrompt sends a prompt to an entry.
func postPrompt(entry, text string, stream bool) answer {
	return post(entry, "/v1/completions", fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":16,"stream":%v}`, dev.SmallRoute, text, stream), nil)
}

// complete reports whether a is a successful and complete answer to a prompt.
func (a answer) complete(stream bool) bool {
	if a.err != nil || a.status != http.StatusOK {
		return false
	}
	return !stream || strings.HasSuffix(strings.TrimSpace(a.body), "data: [DONE]")
}

func TestSeparateProcessesServePromptsAndStopGracefully(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, dev.Small(""))
	for _, entry := range s.files.Entries {
		s.eventually("entry serves", func() bool { return postPrompt(entry, "hello", false).complete(false) })
	}
	for i := range 20 {
		entry := s.files.Entries[i%2]
		is.True(postPrompt(entry, fmt.Sprintf("letter %d", i), i%3 == 0).complete(i%3 == 0))
	}
	for _, name := range []string{"entry-1", "entry-2", "scribe-1", "scribe-2", "scribe-3"} {
		is.NoErr(s.stop(name))
	}
}

func TestSettingsCheckReportsErrorsAndExitsWithTwo(t *testing.T) {
	is := is.New(t)
	bin := build(t)
	file := filepath.Join(t.TempDir(), "entry.json")
	is.NoErr(os.WriteFile(file, []byte(`{"node":{"name":"e"},"plugins":{"entry":{"listen":"localhost:1","colour":2}}}`), 0o644))
	c := exec.Command(filepath.Join(bin, "rosemary-entry"), "check", "--settings", file)
	out, err := c.CombinedOutput()
	is.True(err != nil)
	is.Equal(c.ProcessState.ExitCode(), 2)
	for _, path := range []string{"node.region", "node.zone"} {
		is.True(strings.Contains(string(out), path))
	}
}
