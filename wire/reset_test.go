package wire

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

// identityWithSecret returns the identity of a process that has started with the file at path.
func identityWithSecret(t *testing.T, path string) *Identity {
	t.Helper()
	id, err := OpenIdentity(&settings.TLS{Trust: settings.TrustNetwork}, settings.Node{Name: "control-1", BindIP: "127.0.0.1"}, RoleControl)
	if err != nil {
		t.Fatal(err)
	}
	if err := id.KeepResetSecret(path); err != nil {
		t.Fatal(err)
	}
	return id
}

// TestKilledServerEndsItsConnectionsAfterItsRestart guards against peers that waited for answers over a
// connection which the server, killed and started again, did not know.
func TestKilledServerEndsItsConnectionsAfterItsRestart(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "secret")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	silent := func(s Stream) { <-s.Context().Done() }
	first, err := Listen("127.0.0.1:0", identityWithSecret(t, path), &Traffic{}, silent)
	is.NoErr(err)
	addr := first.Addr()
	first.kill()
	serve := func() *Server {
		server, err := Listen(addr, identityWithSecret(t, path), &Traffic{}, silent)
		is.NoErr(err)
		go func() { _ = server.Serve(ctx) }()
		return server
	}
	before := serve()
	pool, err := NewPool(identityWithSecret(t, filepath.Join(t.TempDir(), "client")), PoolOptions{}, &Traffic{})
	is.NoErr(err)
	defer pool.Close()
	s, err := pool.Open(ctx, addr)
	is.NoErr(err)
	is.NoErr(s.Send(&Dispatch{}))
	before.kill()
	serve()
	ended := make(chan error, 1)
	go func() {
		// Packets that are as short as a reset, such as keep-alives, are not answered.
		for seq := uint64(time.Now().UnixMilli()); s.Send(&Heartbeat{Seq: seq, Revision: 1}) == nil; seq++ {
			time.Sleep(100 * time.Millisecond)
		}
		_, err := s.Recv()
		ended <- err
	}()
	select {
	case err := <-ended:
		is.True(err != nil)
	case <-time.After(idleTimeout / 2):
		t.Fatal("the stream of before the restart has not ended")
	}
	again, err := pool.Open(ctx, addr)
	is.NoErr(err)
	is.NoErr(again.Send(&Dispatch{}))
}

// kill closes the server's socket without a word to its peers, as the end of its process does.
func (s *Server) kill() { _ = s.packet.Close() }

func TestResetKeyIsSecretAndLasts(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "secret")
	keyOf := func(path, addr string) string {
		key, err := identityWithSecret(t, path).resetKey(addr)
		is.NoErr(err)
		return string(key[:])
	}
	key := keyOf(path, "127.0.0.1:1")
	is.Equal(keyOf(path, "127.0.0.1:1"), key)       // after a restart
	is.True(keyOf(path, "127.0.0.1:2") != key)      // of another server with the same secret
	is.True(keyOf(path+"-2", "127.0.0.1:1") != key) // of another process
	is.NoErr(os.Truncate(path, resetSecretBytes/2)) // a write was cut short
	is.True(keyOf(path, "127.0.0.1:1") != key)      // the process goes on with a new one
	info, err := os.Stat(path)
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(resetSecretMode))
	without, err := OpenIdentity(&settings.TLS{Trust: settings.TrustNetwork}, settings.Node{Name: "entry-1"}, RoleEntry)
	is.NoErr(err)
	none, err := without.resetKey("127.0.0.1:1")
	is.NoErr(err)
	is.True(none == nil)
}
