package experiment

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slowFirstBytes is how many bytes a slow reader reads before it stops reading.
	slowFirstBytes = 512
	// slowSocketBytes is the receive buffer of a slow reader's socket. It is small so
	// that the system under test, and not the operating system, has to hold the rest of
	// the answer.
	slowSocketBytes = 8 << 10
)

// newSlowClient returns a copy of c whose sockets have small receive buffers.
func newSlowClient(c *client) *client {
	slow := *c
	transport := &http.Transport{
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetReadBuffer(slowSocketBytes)
			}
			return conn, err
		},
	}
	slow.http = &http.Client{Transport: transport}
	return &slow
}

// runSlowReaders opens streams whose callers stop reading, and keeps them open until
// ctx ends. It returns how many streams began.
func (d *driver) runSlowReaders(ctx context.Context, r *SlowReaders) int {
	s := d.scenario
	c := newSlowClient(d.client)
	defer c.close()
	item := &Item{Name: "slow reader", Prompt: &Prompt{Model: r.Model}, Deadline: s.Duration * 10}
	var open sync.WaitGroup
	var began atomic.Int64
	for i := range r.Count {
		a := &Arrival{
			Due:          r.At.Std() + r.Over.Std()*time.Duration(i)/time.Duration(r.Count),
			Number:       i,
			Item:         item,
			Account:      &s.Accounts[i%len(s.Accounts)],
			PromptTokens: r.PromptTokens,
			OutputTokens: r.OutputTokens,
			Entry:        i,
			uniqueText:   fmt.Sprintf("slow reader %d", i),
		}
		if !d.sleepUntil(ctx, c.due(a)) {
			break
		}
		open.Go(func() {
			if holdStream(ctx, c, a, r.Quick) {
				began.Add(1)
			}
		})
	}
	open.Wait()
	return int(began.Load())
}

// holdStream reads the start of a stream and holds it open until ctx ends, or, if
// quick, reads the complete stream. It reports whether the stream began.
func holdStream(ctx context.Context, c *client, a *Arrival, quick bool) bool {
	deadline := c.due(a).Add(c.scenario.real(c.scenario.deadline(a.Item)))
	req, err := c.request(ctx, a, &Result{}, deadline)
	if err != nil {
		return false
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	_, err = resp.Body.Read(make([]byte, slowFirstBytes))
	if quick {
		_, _ = io.Copy(io.Discard, resp.Body)
		return err == nil
	}
	<-ctx.Done()
	return err == nil
}
