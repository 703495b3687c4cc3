package framing

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	ping    = "GET /ping HTTP/1.1\r\nHost: a\r\n\r\n"
	sized   = "POST /sized HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"
	chunked = "POST /chunked HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;ext=1\r\nhello\r\n0\r\nTrailer: x\r\n\r\n"
	twofold = "POST /twofold HTTP/1.1\r\nHost: a\r\ncontent-length: 3\r\nTRANSFER-ENCODING: chunked\r\n\r\n0\r\n\r\n"
)

func TestScannerFollowsTheFramingOfAConnection(t *testing.T) {
	tests := map[string]struct {
		stream string
		want   []bool
	}{
		"no body":                         {ping + ping, []bool{false, false}},
		"a length":                        {sized + ping, []bool{false, false}},
		"chunks":                          {chunked + sized, []bool{false, false}},
		"both":                            {twofold, []bool{true}},
		"both after others":               {sized + chunked + twofold, []bool{false, false, true}},
		"both, in the bytes of a body":    {"POST / HTTP/1.1\r\nContent-Length: 91\r\n\r\n" + twofold + ping, []bool{false, false}},
		"empty lines between requests":    {sized + "\r\n\r\n" + ping, []bool{false, false}},
		"lines without carriage return":   {strings.ReplaceAll(twofold, "\r\n", "\n"), []bool{true}},
		"length of nothing beside chunks": {strings.Replace(twofold, "3", "0", 1), []bool{true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, step := range []int{1, 7, len(test.stream)} {
				var s scanner
				for rest := test.stream; rest != ""; {
					n := min(step, len(rest))
					s.take([]byte(rest[:n]))
					rest = rest[n:]
				}
				is.New(t).Equal(s.requests, test.want)
			}
		})
	}
}

func TestScannerGivesUpWhatIsNoFraming(t *testing.T) {
	tests := map[string]string{
		"size of a chunk is a word":  "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfive\r\nhello\r\n",
		"size of a chunk is below 0": "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\nhello\r\n",
		"a line without end":         "GET /" + strings.Repeat("x", maxLineBytes+1),
		"too many requests ahead":    strings.Repeat(ping, maxAhead+1),
	}
	for name, stream := range tests {
		t.Run(name, func(t *testing.T) {
			var s scanner
			s.take([]byte(stream))
			is.New(t).Equal(s.state, lost)
		})
	}
}

// serve runs a protected server that answers with the path and the body.
func serve(t *testing.T) (addr string, refused chan string) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	refused = make(chan string, 1)
	followed := make(chan net.Conn, 16)
	s := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			_, _ = io.WriteString(w, r.URL.Path+" "+string(body))
		}),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			followed <- c
			return ctx
		},
	}
	Protect(s, func(remote string) { refused <- remote })
	go func() { _ = s.Serve(Listen(l)) }()
	t.Cleanup(func() {
		_ = s.Close()
		_, ok := (<-followed).(*net.TCPConn)
		is.True(ok) // the server's own hook sees the connection itself
	})
	return l.Addr().String(), refused
}

func TestTwofoldFramingIsRefusedAndItsConnectionClosed(t *testing.T) {
	is := is.New(t)
	addr, refused := serve(t)
	conn, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, sized+chunked+twofold+ping)
	is.NoErr(err)
	in := bufio.NewReader(conn)
	for _, want := range []string{"/sized hello", "/chunked hello"} {
		res, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		body, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
		is.Equal(string(body), want)
	}
	res, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusBadRequest)
	is.True(res.Close)
	_, err = io.ReadAll(res.Body)
	is.NoErr(err)
	_, err = in.ReadByte() // the request after it is not served
	is.True(err != nil)
	is.Equal(<-refused, conn.LocalAddr().String())
}

// FuzzScanner feeds the same bytes in one piece and one by one.
func FuzzScanner(f *testing.F) {
	for _, seed := range []string{ping, sized, chunked, twofold, sized + chunked + twofold} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, stream string) {
		var whole, bytewise scanner
		whole.take([]byte(stream))
		for i := range len(stream) {
			bytewise.take([]byte{stream[i]})
		}
		is := is.New(t)
		is.Equal(whole.state, bytewise.state)
		is.Equal(whole.requests, bytewise.requests)
	})
}
