package wire

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

func TestStreamCarriesMessagesBothWays(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ca, err := NewAuthority(dir)
	is.NoErr(err)
	serverFiles, err := ca.Issue(dir, "sidecar-1", RoleSidecar)
	is.NoErr(err)
	clientFiles, err := ca.Issue(dir, "entry-1", RoleEntry)
	is.NoErr(err)
	serverID, err := LoadIdentity(serverFiles)
	is.NoErr(err)
	clientID, err := LoadIdentity(clientFiles)
	is.NoErr(err)

	peers := make(chan Peer, 1)
	srv, err := Listen("127.0.0.1:0", serverID, &Traffic{}, func(s Stream) {
		peers <- s.Peer()
		m, err := s.Recv()
		if err != nil {
			return
		}
		_ = s.Send(&Grant{Attempt: m.(*Dispatch).Attempt})
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ctx) }()

	pool, err := NewPool(clientID, PoolOptions{}, &Traffic{})
	is.NoErr(err)
	open, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	s, err := pool.Open(open, srv.Addr())
	is.NoErr(err)
	is.NoErr(s.Send(&Dispatch{Attempt: Attempt{Number: 7}}))
	m, err := s.Recv()
	is.NoErr(err)
	is.Equal(m.(*Grant).Attempt.Number, uint32(7))
	_, err = s.Recv()
	is.Equal(err, io.EOF)
	is.Equal(<-peers, Peer{Name: "entry-1", Role: RoleEntry})

	pool.Close()
	cancel()
	is.NoErr(<-served)
}

// A text that is not UTF-8 was encoded, and the stream on which it was sent ended at the receiver.
func TestForeignTextEndsAStream(t *testing.T) {
	texts := []string{"", "hall", "é", "i-\xff\xfe", "a\xc3(", strings.Repeat("a", 30), strings.Repeat("a", 300) + "\xff", strings.Repeat("a", 70_000), "\x80"}
	for _, text := range texts {
		is := is.New(t)
		sent := &Update{
			Leader: "1", Endpoints: []Endpoint{{Name: text, Load: Load{PrefillRate: 1.5, FreeTokens: 1 << 40, RampTokens: -1}, Direct: true}},
			Removed: []string{"x", text}, Snapshot: &config.Document{Publication: &config.Publication{Content: []byte("\xff\x7f")}},
		}
		var frame bytes.Buffer
		_, err := WriteMessage(&frame, sent)
		is.NoErr(err)
		got, _, err := ReadMessage(&frame)
		is.NoErr(err)
		is.Equal(got.(*Update).Removed, sent.Removed)
		is.Equal(got.(*Update).Endpoints, sent.Endpoints)

		raw, err := Marshal(sent)
		is.Equal(err == nil, utf8.ValidString(text)) // what is replicated or stored can be decoded
		if err == nil {
			is.NoErr(Unmarshal(raw, &Update{}))
		}
	}
}

// TestIdentityReloadsRotatedKeys checks that an identity uses replaced files for the next
// connection, without a restart, and keeps the old ones while the new ones cannot be
// read.
func TestIdentityReloadsRotatedKeys(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ca, err := NewAuthority(dir)
	is.NoErr(err)
	files, err := ca.Issue(dir, "entry-1", RoleEntry)
	is.NoErr(err)
	id, err := LoadIdentity(files)
	is.NoErr(err)
	old, _ := id.current()
	_, err = ca.Issue(dir, "entry-1", RoleEntry)
	is.NoErr(err)
	later := time.Now().Add(time.Minute) // file systems may store modification times in whole seconds
	is.NoErr(os.Chtimes(files.Cert, later, later))
	id.lastChecked = time.Time{}
	rotated, _ := id.current()
	is.True(!bytes.Equal(old.Certificate[0], rotated.Certificate[0]))

	is.NoErr(os.WriteFile(files.Cert, []byte("half a fi"), 0o600))
	id.lastChecked = time.Time{}
	kept, _ := id.current()
	is.Equal(kept, rotated) // a partly written file changes nothing
}

func TestReadMessageRefusesDamagedFrames(t *testing.T) {
	var complete bytes.Buffer
	if _, err := WriteMessage(&complete, &End{Chunks: 3, Bytes: 9}); err != nil {
		t.Fatal(err)
	}
	tests := map[string][]byte{
		"cut in the body":   complete.Bytes()[:complete.Len()-1],
		"cut in the header": complete.Bytes()[:3],
		"length of zero":    {0, 0, 0, 0, 1},
		"length too large":  {0xff, 0xff, 0xff, 0xff, 1},
		"unknown kind":      {0, 0, 0, 2, 0xee, 0xa0},
		"body is not CBOR":  {0, 0, 0, 2, byte(KindEnd), 0xff},
	}
	for name, frame := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := ReadMessage(bytes.NewReader(frame))
			is.True(err != nil)
		})
	}
}

func FuzzReadMessage(f *testing.F) {
	var seed bytes.Buffer
	_, _ = WriteMessage(&seed, &Dispatch{Route: "assistant-llm", Path: "/v1/completions"})
	f.Add(seed.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		m, _, err := ReadMessage(bytes.NewReader(data))
		if err == nil && m == nil {
			t.Fatal("no message and no error")
		}
	})
}

// A process behind address translation listens on its own address and names the translated one.
func TestProcessBindsToAnotherAddressThanItNames(t *testing.T) {
	is := is.New(t)
	trusted := &settings.TLS{Trust: settings.TrustNetwork}
	id, err := OpenIdentity(trusted, settings.Node{Name: "control-1", BindIP: "127.0.0.2"}, RoleControl)
	is.NoErr(err)
	srv, err := Listen("127.0.0.3:0", id, &Traffic{}, func(s Stream) {})
	is.NoErr(err)
	defer srv.close()
	bound := srv.packet.LocalAddr().(*net.UDPAddr)
	is.Equal(bound.IP.String(), "127.0.0.2")
	is.Equal(srv.Addr(), net.JoinHostPort("127.0.0.3", strconv.Itoa(bound.Port)))
	pool, err := NewPool(id, PoolOptions{}, &Traffic{})
	is.NoErr(err)
	defer pool.Close()
	is.Equal(pool.transport.Conn.LocalAddr().(*net.UDPAddr).IP.String(), "127.0.0.2")
	_, err = id.BindAddr("no address")
	is.True(err != nil)
}

// A process that stops must not wait for a peer that does not answer.
func TestPoolClosesAtOnceWhileAPeerDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	trusted := &settings.TLS{Trust: settings.TrustNetwork}
	id, err := OpenIdentity(trusted, settings.Node{Name: "control-1", BindIP: "127.0.0.1"}, RoleControl)
	is.NoErr(err)
	mute, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = mute.Close() }()
	pool, err := NewPool(id, PoolOptions{}, &Traffic{})
	is.NoErr(err)
	opened := make(chan error, 1)
	go func() {
		_, err := pool.Open(context.Background(), mute.LocalAddr().String())
		opened <- err
	}()
	_, _, err = mute.ReadFrom(make([]byte, 1500)) // the pool is dialing
	is.NoErr(err)
	startedAt := time.Now()
	pool.Close()
	is.True(time.Since(startedAt) < handshakeTimeout/3)
	is.True(<-opened != nil)
}

// A stream lost what its reader had not read yet, if the peer had ended it and the pool replaced or
// closed its connection.
func TestReplacedConnectionServesItsStreamsToTheEnd(t *testing.T) {
	is := is.New(t)
	trusted := &settings.TLS{Trust: settings.TrustNetwork}
	open := func(name string, role Role) *Identity {
		id, err := OpenIdentity(trusted, settings.Node{Name: name, BindIP: "127.0.0.1"}, role)
		is.NoErr(err)
		return id
	}
	ended := make(chan struct{})
	srv, err := Listen("127.0.0.1:0", open("sidecar-1", RoleSidecar), &Traffic{}, func(s Stream) {
		if _, err := s.Recv(); err == nil {
			_ = s.Send(&Grant{})
		}
		ended <- struct{}{}
	})
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ctx) }()
	pool, err := NewPool(open("entry-1", RoleEntry), PoolOptions{}, &Traffic{})
	is.NoErr(err)
	first, err := pool.Open(ctx, srv.Addr())
	is.NoErr(err)
	pool.mu.Lock()
	old := pool.conns[srv.Addr()]
	pool.mu.Unlock()
	pool.Replace(srv.Addr())
	second, err := pool.Open(ctx, srv.Addr())
	is.NoErr(err)
	for _, s := range []Stream{first, second} {
		is.NoErr(s.Send(&Dispatch{}))
		<-ended
		<-s.Context().Done() // the peer reads nothing more
	}
	for _, s := range []Stream{first, second} {
		_, err = s.Recv()
		is.NoErr(err)
		_, err = s.Recv()
		is.Equal(err, io.EOF)
	}
	<-old.conn.Context().Done()
	pool.mu.Lock()
	is.Equal(pool.conns[srv.Addr()].conn.Context().Err(), nil)
	pool.mu.Unlock()
	pool.Close()
	cancel()
	is.NoErr(<-served)
}
