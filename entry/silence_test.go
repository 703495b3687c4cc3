package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/quarantine"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// recordingControl grants every claim and counts the reports of lost endpoints.
type recordingControl struct {
	fakeControl
	losses atomic.Int64
	// silent is set while control answers no request for a permit.
	silent atomic.Bool
}

func (f *recordingControl) Claim(context.Context, string, command.Claim) (command.Claimed, error) {
	return command.Claimed{Fence: 1}, nil
}

func (f *recordingControl) Do(_ context.Context, name, _ string, _, out any) error {
	switch name {
	case command.NameSuspect:
		f.losses.Add(1)
	case command.NamePermit:
		if f.silent.Load() {
			return verdict.Uncertain(verdict.ReasonNoQuorum, time.Second, "control gave no answer")
		}
		*out.(*command.Permitted) = command.Permitted{Status: uint8(quarantine.Suspect), Granted: true}
	}
	return nil
}

// pausingSidecar serves dispatches over QUIC. Between pause and resume it sends nothing.
type pausingSidecar struct {
	mu sync.Mutex
	// going is closed while the sidecar is not paused.
	going chan struct{}
}

func (p *pausingSidecar) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.going = make(chan struct{})
}

func (p *pausingSidecar) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.going)
}

// await waits until the sidecar is not paused.
func (p *pausingSidecar) await() {
	p.mu.Lock()
	going := p.going
	p.mu.Unlock()
	<-going
}

// pausingLoad is the load that the sidecar reports.
var pausingLoad = wire.Load{FreeTokens: 9000, CapacityTokens: 9000, PrefillRate: 1e6, DecodeRate: 1e6, RampTokens: -1}

// serve answers one dispatch in two parts. It sends the second one of a "long" request
// after a while, or when it goes on.
func (p *pausingSidecar) serve(s wire.Stream) {
	m, err := s.Recv()
	d, ok := m.(*wire.Dispatch)
	if err != nil || !ok {
		return
	}
	p.await()
	if s.Send(&wire.Grant{Attempt: d.Attempt, Load: pausingLoad}) != nil {
		return
	}
	m, err = s.Recv()
	body, ok := m.(*wire.Body)
	if err != nil || !ok {
		return
	}
	kind := "application/json"
	if strings.Contains(string(body.Data), `"stream":true`) {
		kind = "text/event-stream"
	}
	parts := []string{"data: 1\n\n", "data: 2\n\n"}
	if s.Send(&wire.Head{Attempt: d.Attempt, Status: 200, Header: map[string]string{"Content-Type": kind}}) != nil {
		return
	}
	var offset int64
	for i, part := range parts {
		if i > 0 && strings.Contains(string(body.Data), "long") {
			time.Sleep(100 * time.Millisecond)
			p.await()
		}
		if s.Send(&wire.Chunk{Attempt: d.Attempt, Seq: uint64(i + 1), Offset: offset, Data: []byte(part)}) != nil {
			return
		}
		offset += int64(len(part))
	}
	_ = s.Send(&wire.End{Attempt: d.Attempt, Chunks: uint64(len(parts)), Bytes: offset, Load: pausingLoad})
	_ = s.CloseSend()
}

// relayPackets forwards packets between the entry and the sidecar at addr, and returns the address for
// the entry. Between pause and resume it holds them, as if the VM of the sidecar were paused.
func (p *pausingSidecar) relayPackets(t *testing.T, addr string) string {
	t.Helper()
	is := is.New(t)
	entrySide, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = entrySide.Close() })
	server, err := net.ResolveUDPAddr("udp", addr)
	is.NoErr(err)
	go func() {
		sidecarSides := map[string]net.Conn{}
		packet := make([]byte, 64<<10)
		for {
			n, from, err := entrySide.ReadFrom(packet)
			if err != nil {
				for _, c := range sidecarSides {
					_ = c.Close()
				}
				return
			}
			c := sidecarSides[from.String()]
			if c == nil {
				if c, err = net.DialUDP("udp", nil, server); err != nil {
					return
				}
				sidecarSides[from.String()] = c
				go p.relayBack(c, entrySide, from)
			}
			p.await()
			_, _ = c.Write(packet[:n])
		}
	}()
	return entrySide.LocalAddr().String()
}

// relayBack forwards the packets of the sidecar.
func (p *pausingSidecar) relayBack(from net.Conn, to net.PacketConn, entry net.Addr) {
	packet := make([]byte, 64<<10)
	for {
		n, err := from.Read(packet)
		if err != nil {
			return
		}
		p.await()
		_, _ = to.WriteTo(packet[:n], entry)
	}
}

// newPausingEntry returns an entry whose endpoints have one sidecar, which it reaches over QUIC.
func newPausingEntry(t *testing.T, holdPackets bool) (*Entry, *recordingControl, *pausingSidecar) {
	t.Helper()
	is := is.New(t)
	e := newEntry(t, nil)
	control := &recordingControl{fakeControl: *e.control.(*fakeControl)}
	e.control, e.suspects = control, session.NewSuspects(control, e.clock)
	sidecar := &pausingSidecar{going: make(chan struct{})}
	sidecar.resume()
	open := func(name string, role wire.Role) *wire.Identity {
		id, err := wire.OpenIdentity(&settings.TLS{Trust: settings.TrustNetwork}, settings.Node{Name: name}, role)
		is.NoErr(err)
		return id
	}
	server, err := wire.Listen("127.0.0.1:0", open("scribe-1", wire.RoleSidecar), &wire.Traffic{}, sidecar.serve)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx) }()
	dispatching := make(chan error, 1)
	go func() { dispatching <- e.dispatcher.run(ctx) }()
	pool, err := wire.NewPool(open("entry-1", wire.RoleEntry), wire.PoolOptions{
		StreamWindow: answerWindowBytes, KeepAlive: sidecarKeepAlive, IdleTimeout: sidecarIdleTimeout,
	}, &wire.Traffic{})
	is.NoErr(err)
	e.pool = pool
	t.Cleanup(func() { pool.Close(); cancel(); is.NoErr(<-served); is.NoErr(<-dispatching) })
	addr := server.Addr()
	if holdPackets {
		addr = sidecar.relayPackets(t, addr)
	}
	for _, name := range []string{"scribe-1", "desk-1"} {
		endpoint, _ := e.dispatcher.findEndpoint(name)
		endpoint.Addr = addr
		e.dispatcher.updateEndpoints(control.doc, []wire.Endpoint{endpoint}, nil, false)
	}
	return e, control, sidecar
}

// Each missing grant closed the connection to its sidecar after a second, with all answers on it, and
// was reported as the loss of an endpoint under the request.
func TestSilentSecondOfASidecarEndsNoRequest(t *testing.T) {
	for _, silence := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
		for name, test := range map[string]struct {
			budget      *route.RetryBudget
			holdPackets bool
		}{
			"retries allowed":                  {route.NewRetryBudget(), false},
			"no retry left":                    {&route.RetryBudget{}, false},
			"no packets either":                {route.NewRetryBudget(), true},
			"no packets either, no retry left": {&route.RetryBudget{}, true},
		} {
			t.Run(fmt.Sprint(silence, ", ", name), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				e, control, sidecar := newPausingEntry(t, test.holdPackets)
				e.dispatcher.retries = test.budget
				srv := httptest.NewServer(e.handler())
				defer srv.Close()
				send := func(path, body string) (*http.Response, error) {
					req, err := http.NewRequest(http.MethodPost, srv.URL+path, strings.NewReader(body))
					is.NoErr(err)
					for k, v := range withKey(HeaderTimeout, "20s", HeaderIdempotencyKey, "k") {
						req.Header.Set(k, v)
					}
					return http.DefaultClient.Do(req)
				}
				begun, err := send("/v1/completions", `{"model":"scribe","prompt":"long","max_tokens":4,"stream":true}`)
				is.NoErr(err)
				defer func() { _ = begun.Body.Close() }()
				read := bufio.NewReader(begun.Body)
				first, err := read.ReadString('\n')
				is.NoErr(err)
				sidecar.pause()
				var wg sync.WaitGroup
				answers := make(chan string, 4)
				for what, r := range map[string][2]string{
					"stream":    {"/v1/completions", `{"model":"scribe","prompt":"a","max_tokens":4,"stream":true}`},
					"call":      {"/v1/completions", `{"model":"scribe","prompt":"b","max_tokens":4}`},
					"call once": {"/services/desk/seal", `{}`},
				} {
					wg.Go(func() {
						res, err := send(r[0], r[1])
						if err != nil {
							answers <- what + ": " + err.Error()
							return
						}
						defer func() { _ = res.Body.Close() }()
						body, err := io.ReadAll(res.Body)
						answers <- fmt.Sprintf("%s: %d %q %v", what, res.StatusCode, body, err)
					})
				}
				time.Sleep(silence)
				sidecar.resume()
				rest, err := io.ReadAll(read)
				answers <- fmt.Sprintf("begun stream: %d %q %v", begun.StatusCode, first+string(rest), err)
				wg.Wait()
				close(answers)
				for answer := range answers {
					if !strings.HasSuffix(answer, `: 200 "data: 1\n\ndata: 2\n\n" <nil>`) {
						t.Error(answer)
					}
				}
				is.Equal(control.losses.Load(), int64(0)) // no request is suspected of crashing endpoints
			})
		}
	}
}

// A sidecar that stops for good must not hold what another endpoint can serve.
func TestRequestMovesOnFromASidecarThatStaysSilent(t *testing.T) {
	is := is.New(t)
	e, _, sidecar := newPausingEntry(t, false)
	sidecar.pause()
	defer sidecar.resume()
	endpoint, _ := e.dispatcher.findEndpoint("scribe-1")
	c := e.newProbe(&endpoint)
	c.probe = false
	a := newAnswer(discardWriter{header: http.Header{}}, c, time.Second, e.clock)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := e.runAttempt(ctx, c, e.dispatcher.reissueTicket(c, &ticket{endpoint: endpoint}), a)
	is.True(verdict.IsReason(err, verdict.ReasonEndpointLost))
	is.NoErr(ctx.Err())
	is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
	is.True(e.shouldRetry(ctx, c, a, err))
}

// A request that needed a permit was refused at once if control gave no answer, as while it elects
// a leader.
func TestSuspectRequestOutlastsASilentControl(t *testing.T) {
	for _, test := range []struct {
		silence time.Duration
		served  bool
	}{{0, true}, {300 * time.Millisecond, true}, {1200 * time.Millisecond, true}, {time.Hour, false}} {
		t.Run(fmt.Sprint(test.silence), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e, control, _ := newPausingEntry(t, false)
			endpoint, _ := e.dispatcher.findEndpoint("scribe-1")
			c := e.newProbe(&endpoint)
			c.digest = 7
			e.suspects.RecordLoss(c.digest)
			control.silent.Store(test.silence > 0)
			time.AfterFunc(test.silence, func() { control.silent.Store(false) })
			ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
			defer cancel()
			err := e.perform(ctx, c, newAnswer(discardWriter{header: http.Header{}}, c, time.Second, e.clock))
			if test.served {
				is.NoErr(err)
				return
			}
			is.Equal(verdict.From(err).Reason, verdict.ReasonNoQuorum)
			is.NoErr(ctx.Err())
		})
	}
}
