package dev

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rosemaryproxy/rosemaryproxy/cli"
	"github.com/rosemaryproxy/rosemaryproxy/internal/loopback"
)

const (
	// defaultEntry is the default address of the first entry.
	defaultEntry = "127.0.0.1:8080"
	// readyTimeout limits how long the demo may take.
	readyTimeout = 30 * time.Second
	// readyPollInterval is the pause between two attempts of the demo.
	readyPollInterval = 100 * time.Millisecond
)

// options holds the flags of rosemary-dev.
type options struct {
	dir      string
	entry    string
	logLevel string
}

// Command returns the command line of rosemary-dev.
func Command() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:           "rosemary-dev",
		Short:         "Run a small deployment with stand-in engines in one process",
		Long:          "Run control, entries, sidecars and stand-ins in one process, with the settings and\ncode of separate processes, until SIGINT or SIGTERM.",
		Version:       cli.Version,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(c *cobra.Command, _ []string) error { return o.serve(c.OutOrStdout()) },
	}
	root.PersistentFlags().StringVar(&o.dir, "dir", "", "folder for keys, settings and data (default: a new temporary folder)")
	root.PersistentFlags().StringVar(&o.entry, "listen", defaultEntry, "address of the first entry")
	root.PersistentFlags().StringVar(&o.logLevel, "log", "warn", "log level: debug, info, warn or error")
	root.AddCommand(&cobra.Command{
		Use:   "demo",
		Short: "Start, stream one answer into the terminal, show what runs where, and stop",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return o.demo(c.OutOrStdout()) },
	}, &cobra.Command{
		Use:   "settings DIR",
		Short: "Write the settings and keys of every process to DIR, to be started one by one",
		Args:  cobra.ExactArgs(1),
		RunE:  func(c *cobra.Command, args []string) error { return o.writeSettings(c.OutOrStdout(), args[0]) },
	})
	return root
}

// plan returns the small deployment in the folder of --dir, and a function that
// removes the folder if it is a temporary one.
func (o *options) plan() (*Plan, func(), error) {
	clean := func() {}
	if o.dir == "" {
		dir, err := os.MkdirTemp("", "rosemary-dev-")
		if err != nil {
			return nil, nil, errors.Wrap(err, "make folder")
		}
		o.dir = dir
		clean = func() { _ = os.RemoveAll(dir) }
	}
	p := Small(o.dir)
	p.LogLevel = o.logLevel
	secondAddr, err := loopback.Addrs(1)
	if err != nil {
		return nil, nil, err
	}
	p.EntryAddrs = []string{o.entry, secondAddr[0]}
	return p, clean, nil
}

// start starts the deployment. The function that it returns stops it and removes a
// temporary folder.
func (o *options) start() (*Deployment, func(), error) {
	p, clean, err := o.plan()
	if err != nil {
		return nil, nil, err
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "rosemary-dev", Level: hclog.LevelFromString(o.logLevel)})
	d, err := Start(p, log)
	if err != nil {
		clean()
		return nil, nil, err
	}
	return d, func() { d.Stop(); clean() }, nil
}

// serve runs the deployment until SIGINT or SIGTERM.
func (o *options) serve(w io.Writer) error {
	d, stop, err := o.start()
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	_, _ = fmt.Fprintf(w, "entries: %s\ncontrol: %s\nkeys:    %s\n\ntry:\n  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' \\\n    -d '{\"model\":%q,\"prompt\":\"Summarise the letter.\",\"stream\":true}'\n",
		strings.Join(d.Files.Entries, " "), strings.Join(d.Files.Control, " "), filepath.Join(o.dir, "keys"), d.Files.Entries[0], SmallKey, SmallRoute)
	<-ctx.Done()
	return nil
}

// writeSettings writes keys and settings to dir and starts nothing.
func (o *options) writeSettings(w io.Writer, dir string) error {
	o.dir = dir
	p, _, err := o.plan()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "make folder")
	}
	files, err := p.Settings()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "entries: %s\ncontrol: %s\n", strings.Join(files.Entries, " "), strings.Join(files.Control, " "))
	return files.Write(dir)
}

// demo starts the deployment, writes one streamed answer and the list of endpoints to
// w, and stops.
func (o *options) demo(w io.Writer) error {
	d, stop, err := o.start()
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for {
		err = streamTo(ctx, w, d.Files.Entries[0])
		if err == nil || ctx.Err() != nil {
			break
		}
		time.Sleep(readyPollInterval)
	}
	if err != nil {
		return errors.Wrap(err, "no answer to the prompt of the demo")
	}
	return showEndpoints(ctx, w, d.Files)
}

// event is a server-sent event of a completion, without the fields that the demo
// doesn't show.
type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// streamTo sends a prompt to an entry and writes the streamed answer to w as it
// arrives.
func streamTo(ctx context.Context, w io.Writer, entry string) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":"Summarise the letter of 1911.","max_tokens":40,"stream":true}`, SmallRoute)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+SmallKey)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("entry answered with status %s", res.Status)
	}
	_, _ = fmt.Fprintln(w, "> Summarise the letter of 1911.")
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			_, _ = fmt.Fprintln(w)
			return nil
		}
		var e event
		if json.Unmarshal([]byte(data), &e) == nil && len(e.Choices) > 0 {
			_, _ = fmt.Fprint(w, e.Choices[0].Text)
		}
	}
	return errors.New("answer of the entry ended before [DONE]")
}
